"""A simulated disk with one log on it.

What was written and not synced may be there, missing or torn after a loss of power, and stays after a kill.
The disk may be slow, stall, refuse every write, or be wiped.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from lapisgrade.gateway.consensus.records import EntriesRecord, HardState, Record, SnapshotRecord
from lapisgrade.lab.simulation.virtual_loop import CURRENT_PROCESS, VirtualLoop

_RECORD = msgspec.msgpack.Decoder(Record)
MIN_SYNC_US = 500
MAX_SYNC_US = 6_000


class Disk:
    """The log store of one machine, and the executor that runs its blocking calls."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.records: list[bytes] = []  # of the newest generation, written
        self.synced_count = 0  # how many of them are durable
        self.previous_records: list[bytes] | None = (
            None  # the previous generation, until the newest is durable
        )
        self.is_full = False
        self.stalled_until_us = 0  # us
        self.slowdown = 1.0
        self.contents_before_wipe: Disk | None = None
        self._busy_until_us = 0
        self._write: Callable[[], None] | None = None  # what takes effect when the sync ends

    # ---- the interface of the controller's log store

    def recover(self) -> list[bytes]:
        """Return the records on disk."""
        return list(self.records)

    def start_generation(self, beginning: bytes) -> None:
        """Begin a new generation with that record."""
        self._check_space()
        if self.synced_count:
            self.previous_records = self.records[: self.synced_count]
        self.records, self.synced_count = [beginning], 0
        self._write = self._finish_sync

    def append(self, records: list[bytes]) -> None:
        """Write records to the newest generation."""
        self._check_space()
        self.records = [*self.records, *records]
        self._write = self._finish_sync

    def close(self) -> None:
        """Close nothing."""

    def _check_space(self) -> None:
        if self.is_full:
            raise OSError("no space left on device")

    def _finish_sync(self) -> None:
        self.synced_count = len(self.records)
        self.previous_records = None

    # ---- the interface of an executor

    def submit_to(self, loop: VirtualLoop, func: Callable, args: tuple) -> asyncio.Future:
        """Run a blocking call; its future ends when the disk is done."""
        future = loop.create_future()
        takes = round(self.random.randrange(MIN_SYNC_US, MAX_SYNC_US) * self.slowdown)
        begins = max(loop.now_us, self._busy_until_us, self.stalled_until_us)
        self._busy_until_us = begins + takes
        process = CURRENT_PROCESS.get()
        # The call is made as the disk takes it up, and what it wrote is synced as it ends.
        loop.schedule(begins - loop.now_us, process, self._begin, loop, func, args, future, takes)
        return future

    def _begin(
        self, loop: VirtualLoop, func: Callable, args: tuple, future: asyncio.Future, takes: int
    ) -> None:
        self._write = None
        try:
            value, wrong = func(*args), None
        except OSError as error:
            value, wrong = None, error
        loop.schedule(takes, CURRENT_PROCESS.get(), self._end, future, value, wrong, self._write)

    def _end(self, future: asyncio.Future, value: Any, wrong: OSError | None, write: Any) -> None:
        if write is not None:
            write()
        if not future.done():
            future.set_exception(wrong) if wrong is not None else future.set_result(value)

    def shutdown(self, wait: bool = True, cancel_futures: bool = False) -> None:
        """Shut nothing down."""

    # ---- faults

    def lose_power(self) -> None:
        """Keep some of the first records that were not synced; a new generation may be missing."""
        self._busy_until_us = 0
        if self.previous_records is not None and self.random.random() < 0.5:
            self.records = self.previous_records
        else:
            kept = self.random.randrange(self.synced_count, len(self.records) + 1) if self.records else 0
            self.records = self.records[:kept] or (self.previous_records or [])
        self.synced_count = len(self.records)
        self.previous_records = None

    def kill(self) -> None:
        """Kill the process during its writes, which stay in the page cache."""
        self._busy_until_us = 0

    def wipe(self) -> None:
        """Lose all records; `contents_before_wipe` keeps them for checks of messages sent before."""
        contents = Disk(self.random)
        contents.records = self.records
        contents.synced_count = self.synced_count
        contents.previous_records = self.previous_records
        self.contents_before_wipe = contents
        self.records = []
        self.synced_count = 0
        self.previous_records = None
        self._busy_until_us = 0

    def _durable_records(self) -> list[Record]:
        records = self.records[: self.synced_count] if self.synced_count else (self.previous_records or [])
        return [_RECORD.decode(each) for each in records]

    def has_synced_vote(self, term: int, candidate: str) -> bool:
        """Whether a vote in that term, or a later term, is durable."""
        states = [each for each in self._durable_records() if not isinstance(each, EntriesRecord)]
        return any(each.term > term or (each.term, each.voted_for) == (term, candidate) for each in states)

    def has_synced(self, index: int, term: int) -> bool:
        """Whether an entry is durable, itself or within a snapshot."""
        found = False
        for record in self._durable_records():
            if isinstance(record, HardState):
                continue
            if isinstance(record, SnapshotRecord):
                found = index <= record.snapshot_index
            if record.entries and record.entries[0].index <= index and isinstance(record, EntriesRecord):
                found = False
            found = found or any((each.index, each.term) == (index, term) for each in record.entries)
        return found
