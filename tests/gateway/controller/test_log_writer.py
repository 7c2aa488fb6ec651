"""Failures of the log writer: no failure of the disk or of the program ends it."""

import asyncio
from concurrent.futures import ThreadPoolExecutor
from random import Random

import pytest

from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.records import DurableWrite
from lapisgrade.gateway.controller import log_writer
from lapisgrade.gateway.controller.log_writer import LogWriter
from lapisgrade.gateway.controller.metrics import ControllerMetrics


class FailingStore:
    """A log file whose first writes fail."""

    def __init__(self, errors: list[Exception]) -> None:
        self.errors = errors
        self.generations = 0

    def start_generation(self, first_record: bytes) -> None:
        if self.errors:
            raise self.errors.pop(0)
        self.generations += 1

    def append(self, records: list[bytes]) -> None:
        raise AssertionError("appended behind a write that failed")


# Guards against a controller that goes on without its log writer and never acknowledges anything again.
async def test_a_write_is_retried_after_any_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(log_writer, "RETRY_INTERVAL_S", 0.01)
    store, metrics = (
        FailingStore([OSError("full"), ValueError("unexpected"), OverflowError()]),
        ControllerMetrics(),
    )
    written: list[DurableWrite] = []
    node = Node("n", "127.0.0.1:1", Random(1), 0, {})
    with ThreadPoolExecutor(1) as executor:
        writer = LogWriter(node, store, executor, metrics, lambda batch, index, term: written.extend(batch))
        task = asyncio.create_task(writer.run())
        async with asyncio.timeout(5.0):
            while not written:
                await asyncio.sleep(0.01)
        task.cancel()
    assert (store.generations, metrics.disk_write_failures) == (1, 3)
