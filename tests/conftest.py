"""What holds for every test: event loops, reservations, known faults, and a quiet garbage collector."""

import asyncio
import gc
import inspect
import logging
from collections.abc import Iterator

import pytest
from support import known_red
from support.loopback_network import LoopbackNetwork, reserve_loopback_network

TIMEOUT_S = 180.0  # of a test that is a coroutine function


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that has tests run that fail because of a known fault."""
    known_red.add_option(parser)


def pytest_configure(config: pytest.Config) -> None:
    """Pass over the tests that fail because of a known fault, and print them."""
    config.pluginmanager.register(known_red.KnownRedPlugin(config), "known-red")


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run a test that is a coroutine function on an event loop of its own, in asyncio's debug mode.

    Raises:
        TimeoutError: It takes longer than `TIMEOUT_S`.
    """
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    arguments = {name: pyfuncitem.funcargs[name] for name in pyfuncitem._fixtureinfo.argnames}
    with asyncio.Runner(debug=True) as runner:
        runner.run(asyncio.wait_for(pyfuncitem.obj(**arguments), TIMEOUT_S))
    return True


@pytest.fixture(autouse=True)
def frozen_heap() -> None:
    """Keep what was made before this test out of the garbage collector's scans.

    (Guards against pauses of 0.1 to 0.4 s for a heap of many tests, which tests that measure time would take
    for the code's. What earlier tests left is collected first.)
    """
    gc.collect()
    gc.freeze()


@pytest.fixture
def loopback_network() -> Iterator[LoopbackNetwork]:
    """A loopback network that nobody else uses, for machines at fixed ports."""
    with reserve_loopback_network() as network:
        yield network


@pytest.fixture
def silent_logging() -> Iterator[None]:
    """No log lines of the code under test: faults played on purpose would fill the output."""
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)
