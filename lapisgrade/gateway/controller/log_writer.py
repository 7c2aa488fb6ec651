"""Brings a node's records onto its disk, one write after another; several that wait go together.

After a write failed, nothing is appended until all has been written anew as the next generation of the file:
what failed may come up whole after a loss of power. What waited meanwhile is part of that generation, and is
not appended behind it (guards the log against older entries that would cut it off where they stand).
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from concurrent.futures import Executor
from typing import Protocol

import msgspec

from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.records import DurableWrite, SnapshotRecord

log = logging.getLogger("controller")

RETRY = 0.3  # s after which a disk that failed is tried again


class Store(Protocol):
    """The log's file; its calls block, and raise OSError where the records may not be on disk."""

    def renew(self, beginning: bytes) -> None: ...

    def append(self, records: list[bytes]) -> None: ...


class LogWriter:
    """`run` until it is cancelled; `written` is called with what was written, in order, and the log's last
    entry on disk: its index and term."""

    def __init__(
        self,
        node: Node,
        store: Store,
        disk: Executor,
        counts: Counter[str],
        written: Callable[[list[DurableWrite], int, int], None],
    ) -> None:
        self._node, self._store, self._disk, self._counts = node, store, disk, counts
        self._written = written
        self._queue: asyncio.Queue[DurableWrite] = asyncio.Queue()
        self._renew = True  # nothing is appended before a generation of our own has begun
        self._failed = False
        self.put(DurableWrite([node.snapshot_record()], [], node.log.last_index, node.log.last_term))

    def put(self, write: DurableWrite) -> None:
        self._queue.put_nowait(write)

    async def run(self) -> None:
        while True:
            writes = [await self._queue.get()]
            last = await self._attempt(writes)
            while last is None:
                await asyncio.sleep(RETRY)
                last = await self._attempt(writes)
            self._counts["syncs"] += 1
            self._written(writes, *last)

    async def _attempt(self, writes: list[DurableWrite]) -> tuple[int, int] | None:
        """Write those and all that wait, which are added to them; the last entry on disk, None on failure."""
        while not self._queue.empty():
            writes.append(self._queue.get_nowait())
        log_now = self._node.log
        self._renew = self._renew or any(isinstance(each.records[0], SnapshotRecord) for each in writes)
        try:
            if self._renew:
                last = log_now.last_index, log_now.last_term
                await self._call(self._store.renew, msgspec.msgpack.encode(self._node.snapshot_record()))
                self._renew = False
            else:
                last = writes[-1].last_index, writes[-1].last_term
                data = [msgspec.msgpack.encode(record) for each in writes for record in each.records]
                await self._call(self._store.append, data)
        except OSError as wrong:
            if not self._failed:
                log.warning("the disk refuses: %s", wrong)
            self._renew = self._failed = True
            self._counts["writes refused"] += 1
            return None
        self._failed = False
        return last

    async def _call(self, call: Callable, data: bytes | list[bytes]) -> None:
        await asyncio.get_running_loop().run_in_executor(self._disk, call, data)
