"""Hooks and fixtures for all tests: event loops, loopback networks, known failures and garbage collection."""

import asyncio
import gc
import inspect
import logging
from collections.abc import Iterator

import pytest
from support import known_red
from support.loopback_network import LoopbackNetwork, reserve_loopback_network

TIMEOUT_S = 180.0  # maximum duration of an async test, in seconds


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that also runs the tests with a known failure."""
    known_red.add_option(parser)


def pytest_configure(config: pytest.Config) -> None:
    """Register the plugin that reports the tests with a known failure instead of running them."""
    config.pluginmanager.register(known_red.KnownRedPlugin(config), "known-red")


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run an async test on a new event loop in asyncio's debug mode.

    Raises:
        TimeoutError: The test runs longer than `TIMEOUT_S`.
    """
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    arguments = {name: pyfuncitem.funcargs[name] for name in pyfuncitem._fixtureinfo.argnames}
    with asyncio.Runner(debug=True) as runner:
        runner.run(asyncio.wait_for(pyfuncitem.obj(**arguments), TIMEOUT_S))
    return True


@pytest.fixture(autouse=True)
def frozen_heap() -> None:
    """Exclude objects created before this test from garbage collection.

    With the heap of many tests, a collection pauses the process for 0.1 to 0.4 s, which tests that measure
    time would attribute to the code under test. Garbage of earlier tests is collected first.
    """
    gc.collect()
    gc.freeze()


@pytest.fixture
def loopback_network() -> Iterator[LoopbackNetwork]:
    """Yield a loopback network reserved for this test, for machines at fixed ports."""
    with reserve_loopback_network() as network:
        yield network


@pytest.fixture
def logging_disabled() -> Iterator[None]:
    """Drop the log lines of all levels during a test whose injected faults would flood its output."""
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)
