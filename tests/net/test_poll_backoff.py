"""Retries of many limiters whose calls discovery has rejected at the same time."""

import heapq
from random import Random

from lapisgrade.net.poll_backoff import PollBackoff


def test_all_callers_of_an_overloaded_discovery_get_through():
    """Guards against 40 limiters that retry at the same time, most of which never get a server list again."""
    now_s, idle_from_s, due_calls, answered_at_s = 0.0, 0.0, [], {}
    backoffs = {limiter: PollBackoff(Random(limiter), 40) for limiter in range(40)}
    for limiter in backoffs:
        heapq.heappush(due_calls, (0.0, limiter))  # all limiters start and call at the same time
    call_count = 0
    while due_calls:
        now_s, limiter = heapq.heappop(due_calls)
        assert now_s < 40, f"{40 - len(answered_at_s)} of 40 limiters got no answer within 40 s"
        call_count += 1
        wait_s = max(0.0, idle_from_s - now_s)
        # Discovery serves 8 calls/s, and its callers time out after 2 s. It also spends time on calls that
        # timed out less than 0.2 s ago.
        idle_from_s = max(now_s, idle_from_s) + (1 / 8 if wait_s < 2.2 else 0)
        if wait_s < 2:
            answered_at_s[limiter] = now_s + wait_s
        else:
            heapq.heappush(due_calls, (now_s + min(wait_s, 2.0) + backoffs[limiter].on_rejected(), limiter))
    assert len(answered_at_s) == 40
    assert max(answered_at_s.values()) < 20
    assert call_count < 100
