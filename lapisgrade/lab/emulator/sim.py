"""An event queue in simulated time, in whole microseconds.

Events at the same time run in the order in which they were scheduled.
"""

import heapq
from collections.abc import Callable
from typing import Any


class Sim:
    """The event queue: `at` and `after` schedule calls, and `run` makes them in the order of their times.

    `len()` is the number of scheduled events.

    Attributes:
        now: Current simulated time, in us.
        events: Number of events run so far, including the current one.
        after_each: Called after every event, for checks; None: nothing. Read once, when `run` starts.
    """

    __slots__ = ("_order", "_queue", "after_each", "events", "now")

    def __init__(self) -> None:
        """Create an empty queue at time 0."""
        self.now = 0
        self.events = 0
        self._order = 0
        self._queue: list[tuple[int, int, Callable, tuple]] = []
        self.after_each: Callable[[], None] | None = None

    def at(self, when_us: int, call: Callable[..., Any], *args: Any) -> None:
        """Schedule `call(*args)` at `when_us`; a time in the past means now."""
        self._order += 1
        heapq.heappush(self._queue, (max(int(when_us), self.now), self._order, call, args))

    def after(self, delay_us: float, call: Callable[..., Any], *args: Any) -> None:
        """Schedule `call(*args)` after `delay_us`, rounded to whole us; a negative delay means now."""
        self.at(self.now + max(0, round(delay_us)), call, *args)

    def run(self, until_us: int) -> None:
        """Run the events that are due by `until_us`, and advance the time to it."""
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
