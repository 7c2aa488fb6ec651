"""Writes the records of a node to disk, one batch at a time; writes that queue up share a batch.

After a failed write, nothing is appended until the complete log was rewritten as the next generation of the
file, because the records of the failed write may still be on disk after a power loss. The new generation
includes all writes that are queued by then. They are not appended behind it: older entries would truncate the
log at their index when it is read back.

    queue -> batch --(first write of this process, a snapshot, or a failed write)---------> renew
               ^   +--(else)-------------------------------------------------------------> append
               |                                                                           |
               +--- after RETRY_INTERVAL_S, until it succeeds <------- OSError ------------+---> on_written
"""

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import Executor
from typing import Any, Protocol

import msgspec

from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.records import DurableWrite, SnapshotRecord
from lapisgrade.gateway.controller.metrics import ControllerMetrics

log = logging.getLogger("controller")

RETRY_INTERVAL_S = 0.3  # delay before a failed write is retried


class Store(Protocol):
    """The log file. Calls block, and raise OSError if the records may not be on disk."""

    def start_generation(self, first_record: bytes) -> None:
        """Start the next generation with that record."""

    def append(self, records: list[bytes]) -> None:
        """Append records to the current generation."""


class LogWriter:
    """Writes the queued records; `run` must be running."""

    def __init__(
        self,
        node: Node,
        store: Store,
        executor: Executor,
        metrics: ControllerMetrics,
        on_written: Callable[[list[DurableWrite], int, int], None],
    ) -> None:
        """Queue a snapshot of the node as the first write.

        Args:
            node: The node whose records are written.
            store: The log file.
            executor: Runs the store's blocking calls.
            metrics: The counters of syncs and failures.
            on_written: Called after each batch with its writes in order, and with the index and term of the
                last log entry on disk.
        """
        self._node = node
        self._store = store
        self._executor = executor
        self._metrics = metrics
        self._on_written = on_written
        self._queue: asyncio.Queue[DurableWrite] = asyncio.Queue()
        self._must_renew = True  # true at first: never append to the generation of an earlier process
        self._last_failed = False
        self.put(DurableWrite([node.snapshot_record()], [], node.log.last_index, node.log.last_term))

    def put(self, write: DurableWrite) -> None:
        """Queue a write."""
        self._queue.put_nowait(write)

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            batch = [await self._queue.get()]
            last_entry = await self._try_write(batch)
            while last_entry is None:
                await asyncio.sleep(RETRY_INTERVAL_S)
                last_entry = await self._try_write(batch)
            self._metrics.disk_syncs += 1
            self._on_written(batch, *last_entry)

    async def _try_write(self, batch: list[DurableWrite]) -> tuple[int, int] | None:
        """Add all queued writes to the batch and write it.

        Returns:
            Index and term of the last entry on disk; None on failure.
        """
        while not self._queue.empty():
            batch.append(self._queue.get_nowait())
        if any(isinstance(write.records[0], SnapshotRecord) for write in batch):
            self._must_renew = True
        try:
            last_entry = await (self._renew() if self._must_renew else self._append(batch))
        except Exception as error:  # without its writer, a controller would never acknowledge anything again
            if not self._last_failed:
                log.warning("write to the log failed and is retried: %s", error or repr(error))
            self._must_renew = True
            self._last_failed = True
            self._metrics.disk_write_failures += 1
            return None
        self._last_failed = False
        return last_entry

    async def _renew(self) -> tuple[int, int]:
        """Start a generation with a snapshot record of the node's current state.

        Returns:
            Index and term of the record's last entry; entries added during the write are not part of it.
        """
        node_log = self._node.log
        last_entry = node_log.last_index, node_log.last_term
        await self._run_blocking(
            self._store.start_generation, msgspec.msgpack.encode(self._node.snapshot_record())
        )
        self._must_renew = False
        return last_entry

    async def _append(self, batch: list[DurableWrite]) -> tuple[int, int]:
        """Append the records of a batch; return index and term of its last entry."""
        last_entry = batch[-1].last_index, batch[-1].last_term
        records = [msgspec.msgpack.encode(record) for write in batch for record in write.records]
        await self._run_blocking(self._store.append, records)
        return last_entry

    async def _run_blocking(self, call: Callable[[Any], None], data: bytes | list[bytes]) -> None:
        await asyncio.get_running_loop().run_in_executor(self._executor, call, data)
