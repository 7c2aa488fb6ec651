"""A simulated disk that stores one log.

A kill of the process keeps records that were written but not synced; after a loss of power, the last of them
may be missing. Torn records are not simulated: recovery ends the log before a torn record (`log_format`), as
if it were missing. The disk may be slow, stall, reject every write as a full disk does, or be wiped.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from lapisgrade.gateway.consensus.records import EntriesRecord, HardState, Record, SnapshotRecord
from lapisgrade.lab.simulation.virtual_loop import CURRENT_PROCESS, VirtualLoop

_RECORD_DECODER = msgspec.msgpack.Decoder(Record)
MIN_SYNC_US = 500  # duration of a blocking call at normal speed, including its sync
MAX_SYNC_US = 6_000


class Disk:
    """The log store of one machine, and the executor that runs its blocking calls.

    Attributes:
        records: Written records of the newest generation.
        synced_count: Number of those records that are durable.
        previous_records: Records of the previous generation, None once the newest is durable.
        is_full: Whether writes fail with an `OSError`.
        stalled_until_us: End of a stall; calls start only after it.
        slowdown: Factor on the duration of calls.
        contents_before_wipe: The contents that the last wipe destroyed, for the invariant checks.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.records: list[bytes] = []
        self.synced_count = 0
        self.previous_records: list[bytes] | None = None
        self.is_full = False
        self.stalled_until_us = 0
        self.slowdown = 1.0
        self.contents_before_wipe: Disk | None = None
        self._busy_until_us = 0
        self._on_synced: Callable[[], None] | None = None  # called at the end of the current call's sync

    # ---- the interface of the controller's log store

    def recover(self) -> list[bytes]:
        """Return the records on disk."""
        return list(self.records)

    def start_generation(self, first_record: bytes) -> None:
        """Start a new generation with this record."""
        self._check_space()
        if self.synced_count:
            self.previous_records = self.records[: self.synced_count]
        self.records, self.synced_count = [first_record], 0
        self._on_synced = self._finish_sync

    def append(self, records: list[bytes]) -> None:
        """Write records to the newest generation."""
        self._check_space()
        self.records = [*self.records, *records]
        self._on_synced = self._finish_sync

    def close(self) -> None:
        """Do nothing."""

    def _check_space(self) -> None:
        if self.is_full:
            raise OSError("no space left on device")

    def _finish_sync(self) -> None:
        self.synced_count = len(self.records)
        self.previous_records = None

    # ---- the interface of an executor

    def submit_to(self, loop: VirtualLoop, func: Callable, args: tuple) -> asyncio.Future:
        """Run a blocking call; the future is resolved when the disk has finished."""
        future = loop.create_future()
        duration_us = round(self.random.randrange(MIN_SYNC_US, MAX_SYNC_US) * self.slowdown)
        start_us = max(loop.now_us, self._busy_until_us, self.stalled_until_us)
        self._busy_until_us = start_us + duration_us
        process = CURRENT_PROCESS.get()
        # The call is made when the disk starts on it, and its writes are durable when the disk has finished.
        loop.schedule(
            start_us - loop.now_us, process, self._start_call, loop, func, args, future, duration_us
        )
        return future

    def _start_call(
        self, loop: VirtualLoop, func: Callable, args: tuple, future: asyncio.Future, duration_us: int
    ) -> None:
        self._on_synced = None
        try:
            value, failure = func(*args), None
        except OSError as error:
            value, failure = None, error
        loop.schedule(
            duration_us,
            CURRENT_PROCESS.get(),
            self._finish_call,
            future,
            value,
            failure,
            self._on_synced,
        )

    def _finish_call(
        self, future: asyncio.Future, value: Any, failure: OSError | None, on_synced: Any
    ) -> None:
        if on_synced is not None:
            on_synced()
        if not future.done():
            future.set_exception(failure) if failure is not None else future.set_result(value)

    def shutdown(self, wait: bool = True, cancel_futures: bool = False) -> None:
        """Do nothing."""

    # ---- faults

    def lose_power(self) -> None:
        """Drop a random suffix of the unsynced records, or a whole generation that was never synced."""
        self._busy_until_us = 0
        if self.previous_records is not None and self.random.random() < 0.5:
            self.records = self.previous_records
        else:
            kept = self.random.randrange(self.synced_count, len(self.records) + 1) if self.records else 0
            self.records = self.records[:kept] or (self.previous_records or [])
        self.synced_count = len(self.records)
        self.previous_records = None

    def kill(self) -> None:
        """Kill the process; its writes remain, as they are in the page cache."""
        self._busy_until_us = 0

    def wipe(self) -> None:
        """Lose all records; `contents_before_wipe` keeps them to check messages sent before the wipe."""
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
        return [_RECORD_DECODER.decode(each) for each in records]

    def has_synced_vote(self, term: int, candidate: str) -> bool:
        """Whether a vote for the candidate in that term, or any later term, is durable.

        A durable later term also rules out a vote for another candidate in that term.
        """
        states = [each for each in self._durable_records() if not isinstance(each, EntriesRecord)]
        return any(each.term > term or (each.term, each.voted_for) == (term, candidate) for each in states)

    def has_synced(self, index: int, term: int) -> bool:
        """Whether an entry is durable, in the log or in a snapshot."""
        found = False
        for record in self._durable_records():
            if isinstance(record, HardState):
                continue
            if isinstance(record, SnapshotRecord):
                found = index <= record.snapshot_index
            if record.entries and record.entries[0].index <= index and isinstance(record, EntriesRecord):
                found = False  # the record replaces all entries from its first index on
            found = found or any((each.index, each.term) == (index, term) for each in record.entries)
        return found
