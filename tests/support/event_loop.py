"""Coroutines of tests on the limiter's own kind of event loop."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

from lapisgrade.net import event_loop

TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.01


def on_limiter_loop(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Run a test that is a coroutine function on the limiter's event loop, for a limited time."""

    @functools.wraps(test)
    def run(**kwargs: Any) -> None:
        run_on_limiter_loop(test(**kwargs))

    return run


def run_on_limiter_loop(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run the coroutine to its end.

    Raises:
        TimeoutError: It takes longer than `TIMEOUT_S`.
    """
    with asyncio.Runner(loop_factory=event_loop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(coroutine, TIMEOUT_S))


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until the condition holds."""
    while not condition():
        await asyncio.sleep(POLL_INTERVAL_S)
