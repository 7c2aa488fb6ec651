"""The event loop that a limiter runs on: asyncio's own, with a selector that polls the sockets less often."""

import asyncio
import selectors
import time
from typing import Any

MAX_SKIPPED_POLLS = 2  # turns that what was read takes to the host's task: to its reader, and to the queue
# After a longer turn the sockets are polled at once, so that what came meanwhile goes before what fell due.
MAX_POLL_AGE_S = 0.001


class BatchingSelector(selectors.DefaultSelector):
    """Skips polling the sockets while callbacks are ready, for so many turns at the most."""

    def __init__(self) -> None:
        super().__init__()
        self._skipped = 0
        self._polled_at_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, Any]]:
        """As `selectors.BaseSelector.select`; empty where polling was skipped."""
        if timeout is not None and timeout <= 0 and self._skipped < MAX_SKIPPED_POLLS:
            self._skipped += 1
            if time.monotonic() - self._polled_at_s < MAX_POLL_AGE_S:
                return []
        self._skipped = 0
        found = super().select(timeout)
        self._polled_at_s = time.monotonic()
        return found


def new_event_loop() -> asyncio.AbstractEventLoop:
    """A loop for `asyncio.Runner(loop_factory=...)`."""
    return asyncio.SelectorEventLoop(BatchingSelector())
