"""Tests that are coroutines, on a loop of the limiter's own kind."""

import asyncio
import functools

from lapisgrade.net import event_loop


def on_loopback(test):
    """Run a test that is a coroutine, for a while at most."""

    @functools.wraps(test)
    def run(**kwargs):
        run_on_loop(test(**kwargs))

    return run


def run_on_loop(work):
    with asyncio.Runner(loop_factory=event_loop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(work, 30))


async def until(true):
    """Wait until that holds."""
    while not true():
        await asyncio.sleep(0.01)
