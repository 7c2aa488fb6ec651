"""A simulated disk with one log on it: what was written and not synced may be there, missing or torn after a
loss of power, and stays after a kill. It may be slow, stall, refuse every write, or be emptied."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from lapisgrade.lab.simulation.virtual_loop import CURRENT, VirtualLoop
from lapisgrade.gateway.consensus.records import EntriesRecord, HardState, Record, SnapshotRecord

_RECORD = msgspec.msgpack.Decoder(Record)
FASTEST, SLOWEST = 500, 6_000  # us of one sync


class Disk:
    """The store of one machine, and the thread that writes it."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.records: list[bytes] = []  # of the newest generation, written
        self.synced = 0  # how many of them are surely on disk
        self.before: list[bytes] | None = None  # the generation before, while the newest's name isn't synced
        self.full = False
        self.stalled_until = 0  # us
        self.slow = 1.0
        self.emptied: Disk | None = None  # as it was before it was emptied
        self._busy_until = 0
        self._write: Callable[[], None] | None = None  # what takes effect when the sync ends

    # ---- the store, as gateway.log store's

    def recover(self) -> list[bytes]:
        return list(self.records)

    def renew(self, beginning: bytes) -> None:
        self._refuse()
        if self.synced:
            self.before = self.records[: self.synced]
        self.records, self.synced = [beginning], 0
        self._write = self._settle

    def append(self, records: list[bytes]) -> None:
        self._refuse()
        self.records = [*self.records, *records]
        self._write = self._settle

    def close(self) -> None:
        pass

    def _refuse(self) -> None:
        if self.full:
            raise OSError("no space left on device")

    def _settle(self) -> None:
        self.synced, self.before = len(self.records), None

    # ---- the thread that makes its calls

    def submit_to(self, loop: VirtualLoop, func: Callable, args: tuple) -> asyncio.Future:
        """Run a blocking call; its future ends when the disk is done."""
        future = loop.create_future()
        takes = round(self.random.randrange(FASTEST, SLOWEST) * self.slow)
        begins = max(loop.now_us, self._busy_until, self.stalled_until)
        self._busy_until = begins + takes
        process = CURRENT.get()
        # The call is made as the disk takes it up, and what it wrote is synced as it ends.
        loop.after(begins - loop.now_us, process, self._begin, loop, func, args, future, takes)
        return future

    def _begin(
        self, loop: VirtualLoop, func: Callable, args: tuple, future: asyncio.Future, takes: int
    ) -> None:
        self._write = None
        try:
            value, wrong = func(*args), None
        except OSError as error:
            value, wrong = None, error
        loop.after(takes, CURRENT.get(), self._end, future, value, wrong, self._write)

    def _end(self, future: asyncio.Future, value: Any, wrong: OSError | None, write: Any) -> None:
        if write is not None:
            write()
        if not future.done():
            future.set_exception(wrong) if wrong is not None else future.set_result(value)

    def shutdown(self, wait: bool = True, cancel_futures: bool = False) -> None:
        pass

    # ---- what befalls it

    def lose_power(self) -> None:
        """Of what was not synced some of the first records are there; a new generation may be missing."""
        self._busy_until = 0
        if self.before is not None and self.random.random() < 0.5:
            self.records = self.before
        else:
            kept = self.random.randrange(self.synced, len(self.records) + 1) if self.records else 0
            self.records = self.records[:kept] or (self.before or [])
        self.synced, self.before = len(self.records), None

    def kill(self) -> None:
        """The process dies in the midst of its writes, which stay in the page cache."""
        self._busy_until = 0

    def empty(self) -> None:
        """All of it is lost. What it held is still known of, for what was said of it a moment before."""
        self.emptied = Disk(self.random)
        self.emptied.records, self.emptied.synced = self.records, self.synced
        self.emptied.before = self.before
        self.records, self.synced, self.before = [], 0, None
        self._busy_until = 0

    def _surely(self) -> list[Record]:
        records = self.records[: self.synced] if self.synced else (self.before or [])
        return [_RECORD.decode(each) for each in records]

    def has_synced_vote(self, term: int, candidate: str) -> bool:
        """Whether a vote in that term, or a later term, is surely on it."""
        states = [each for each in self._surely() if not isinstance(each, EntriesRecord)]
        return any(each.term > term or (each.term, each.voted_for) == (term, candidate) for each in states)

    def has_synced(self, index: int, term: int) -> bool:
        """Whether an entry is surely on it: itself, or within a snapshot."""
        found = False
        for record in self._surely():
            if isinstance(record, HardState):
                continue
            if isinstance(record, SnapshotRecord):
                found = index <= record.snapshot_index
            if record.entries and record.entries[0].index <= index and isinstance(record, EntriesRecord):
                found = False
            found = found or any((each.index, each.term) == (index, term) for each in record.entries)
        return found
