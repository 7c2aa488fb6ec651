"""The limiter's event loop: asyncio's selector loop, with a selector that polls the sockets less often."""

import asyncio
import selectors
import time
from typing import Any

# Received data needs two turns of the loop to reach the host's task: to its reader, and to the queue.
MAX_SKIPPED_POLLS = 2
# After a longer turn the sockets are polled immediately, so that received data is handled before due timers.
MAX_POLL_AGE_S = 0.001


class BatchingSelector(selectors.DefaultSelector):
    """Skips polling the sockets while callbacks are ready, for at most `MAX_SKIPPED_POLLS` turns."""

    def __init__(self) -> None:
        super().__init__()
        self._skipped = 0  # polls skipped since the last one
        self._polled_at_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, Any]]:
        """Select as `selectors.BaseSelector.select` does; returns an empty list if polling is skipped."""
        if timeout is not None and timeout <= 0 and self._skipped < MAX_SKIPPED_POLLS:
            self._skipped += 1
            if time.monotonic() - self._polled_at_s < MAX_POLL_AGE_S:
                return []
        self._skipped = 0
        ready = super().select(timeout)
        self._polled_at_s = time.monotonic()
        return ready


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Create a loop, for `asyncio.Runner(loop_factory=...)`."""
    return asyncio.SelectorEventLoop(BatchingSelector())
