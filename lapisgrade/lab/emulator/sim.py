"""An event queue in simulated time, in whole microseconds; simultaneous events run in scheduling order."""

import heapq
from collections.abc import Callable
from typing import Any


class Sim:
    """`at(when, call, *args)` schedules an event; `run(until)` runs the events in order of time.

    Attributes:
        now: Current simulated time, us.
        events: Number of the current event, from 1.
        after_each: Called after every event.
    """

    __slots__ = ("_order", "_queue", "after_each", "events", "now")

    def __init__(self) -> None:
        self.now = 0
        self.events = 0
        self._order = 0
        self._queue: list[tuple[int, int, Callable, tuple]] = []
        self.after_each: Callable[[], None] | None = None

    def at(self, when_us: int, call: Callable[..., Any], *args: Any) -> None:
        self._order += 1
        heapq.heappush(self._queue, (max(int(when_us), self.now), self._order, call, args))

    def after(self, delay_us: float, call: Callable[..., Any], *args: Any) -> None:
        self.at(self.now + max(0, round(delay_us)), call, *args)

    def run(self, until_us: int) -> None:
        queue, after_each = self._queue, self.after_each
        while queue and queue[0][0] <= until_us:
            self.now, _, call, args = heapq.heappop(queue)
            self.events += 1
            call(*args)
            if after_each is not None:
                after_each()
        self.now = max(self.now, until_us)

    def __len__(self) -> int:
        return len(self._queue)
