"""The event loop that a limiter runs on: asyncio's own, with a selector that looks less often."""

import asyncio
import selectors
import time

TURNS = 2  # that what was read takes from there to the host's task: to the one that reads, and to the queue
FRESH = 0.001  # s; after a longer turn we look at once, so that what came meanwhile goes before what fell due


class Selector(selectors.DefaultSelector):
    """Passes over a look at the sockets while work is at hand, for so many turns at the most."""

    def __init__(self) -> None:
        super().__init__()
        self._passed, self._looked = 0, 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is not None and timeout <= 0 and self._passed < TURNS:
            self._passed += 1
            if time.monotonic() - self._looked < FRESH:
                return []
        self._passed = 0
        found = super().select(timeout)
        self._looked = time.monotonic()
        return found


def new() -> asyncio.AbstractEventLoop:
    return asyncio.SelectorEventLoop(Selector())
