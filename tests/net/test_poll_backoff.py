"""Retries by many limiters that discovery has rejected at the same time."""

import heapq
from random import Random

from lapisgrade.net.poll_backoff import PollBackoff


def test_all_callers_of_an_overloaded_discovery_get_through():
    """Guards against a fault of 40 limiters that retried together: most never got a server list again."""
    now, idle_from, due, answered_at = 0.0, 0.0, [], {}
    backoffs = {i: PollBackoff(Random(i), 40) for i in range(40)}
    for i in backoffs:
        heapq.heappush(due, (0.0, i))  # all limiters start and call at the same time
    calls = 0
    while due:
        now, i = heapq.heappop(due)
        assert now < 40, f"{40 - len(answered_at)} of 40 limiters got no answer within 40 s"
        calls += 1
        wait_s = max(0.0, idle_from - now)
        # Discovery also spends time on calls whose callers have just timed out.
        idle_from = max(now, idle_from) + (1 / 8 if wait_s < 2.2 else 0)
        if wait_s < 2:
            answered_at[i] = now + wait_s
        else:
            heapq.heappush(due, (now + min(wait_s, 2.0) + backoffs[i].on_rejected(), i))
    assert len(answered_at) == 40
    assert max(answered_at.values()) < 20
    assert calls < 100
