"""When limiters that were rejected together ask discovery again."""

import heapq
from random import Random

from lapisgrade.net.poll_backoff import PollBackoff


def test_all_callers_of_an_overloaded_discovery_get_through():
    """Found on sockets at size: of 40 limiters that came back at once, most never heard of a server again."""
    now, free, due, told = 0.0, 0.0, [], {}
    turns = {i: PollBackoff(Random(i), 40) for i in range(40)}
    for i in turns:
        heapq.heappush(due, (0.0, i))  # all are started at once, and ask at once
    calls = 0
    while due:
        now, i = heapq.heappop(due)
        assert now < 40, "some are never served"
        calls += 1
        waits = max(0.0, free - now)
        free = max(now, free) + (1 / 8 if waits < 2.2 else 0)  # it works on those too who wait no longer
        if waits < 2:
            told[i] = now + waits
        else:
            heapq.heappush(due, (now + min(waits, 2.0) + turns[i].on_rejected(), i))
    assert len(told) == 40
    assert max(told.values()) < 20
    assert calls < 100
