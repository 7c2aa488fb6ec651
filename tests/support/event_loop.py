"""Runs tests that are coroutines on the limiter's type of event loop."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

from lapisgrade.net import event_loop

TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.01


def on_limiter_loop(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Decorate a coroutine function to run as a test on the limiter's event loop, with a time-out."""

    @functools.wraps(test)
    def run(**kwargs: Any) -> None:
        run_on_limiter_loop(test(**kwargs))

    return run


def run_on_limiter_loop(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine until it completes.

    Raises:
        TimeoutError: The coroutine takes longer than `TIMEOUT_S`.
    """
    with asyncio.Runner(loop_factory=event_loop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(coroutine, TIMEOUT_S))


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until the condition holds."""
    while not condition():
        await asyncio.sleep(POLL_INTERVAL_S)
