"""What a signal box has on its disk, read while it is down: each record checked, nothing written.

The newest configuration in it may be one that was never acknowledged (a log's end counts only once a majority
has it); it is shown for what it is.
"""

import os

import msgspec

from lapisgrade.railway.depot import Damaged, Depot
from lapisgrade.railway.marshal.waybills import told
from lapisgrade.railway.settings import Bad
from lapisgrade.railway.consensus.log import ReplicatedLog
from lapisgrade.railway.consensus.messages import Entry
from lapisgrade.railway.consensus.records import EntriesRecord, HardState, Record, SnapshotRecord
from lapisgrade.railway.signalbox.ledger import (
    Bill,
    Cast,
    Change,
    Close,
    Force,
    Item,
    Ledger,
    NewVersion,
    Roll,
    Word,
)
from lapisgrade.railway.signalbox.pigeonholes import read_kept
from lapisgrade.railway.wheeltapper import changed

_RECORD = msgspec.msgpack.Decoder(Record)
_ITEM = msgspec.msgpack.Decoder(Item)


class Inventory:
    """One folder's content; Bad where it holds none or is damaged."""

    def __init__(self, folder: str) -> None:
        if not os.path.isdir(folder):
            raise Bad(f"{folder}: no such folder")
        depot = Depot(folder)
        try:
            records = [_RECORD.decode(each) for each in depot.recover()]
        except (Damaged, OSError, msgspec.MsgspecError) as wrong:
            raise Bad(f"{folder}: {wrong}") from None
        if not records or not isinstance(records[0], SnapshotRecord):
            raise Bad(f"{folder}: no whole generation is there")
        self.generation, self.records = depot.generation, len(records)
        first: SnapshotRecord = records[0]
        self.identity, self.term, self.base = first.identity, first.term, first.base
        self.voters, replicated = first.voters, ReplicatedLog(first.voters)
        replicated.install(first.base, first.base_term, first.voters, first.state)
        replicated.append(first.entries)
        for record in records[1:]:
            if isinstance(record, HardState):
                self.term = record.term
            elif isinstance(record, EntriesRecord):
                replicated.append(record.entries)
        entries = replicated.entries
        self.entries = len(entries)
        self.ledger = Ledger()
        if first.state:
            self.ledger.load(first.state)
        self.snapshot_ver = self.ledger.state.ver
        self.history: list[str] = []  # what the log's entries did, in their order
        for entry in entries:
            if entry.voters is not None:
                self.voters = entry.voters
                self._tell(entry, f"voters: {', '.join(sorted(entry.voters)) or 'none'}")
            if entry.data:
                self._take(entry)
        self.drafts = read_kept(folder)

    def _tell(self, entry: Entry, what: str) -> None:
        self.history.append(f"entry {entry.index}, term {entry.term}: {what}")

    def _take(self, entry: Entry) -> None:
        """Take an entry over, and keep what it did for people: keys and addresses are not shown."""
        item, state = _ITEM.decode(entry.data), self.ledger.state
        ver, conf = state.ver, state.conf
        answer = self.ledger.take(entry.index, entry.data)
        match item:
            case Change() | NewVersion() if answer.status != 200:
                self._tell(entry, f"a change was refused: {answer.status} {answer.wrong}".rstrip())
            case Change():
                self._tell(entry, f"version {state.ver} on {ver} was " + ("put" if item.whole else "updated"))
            case NewVersion():
                self._tell(entry, f"version {state.ver} on {ver} was accepted")
            case Bill(draft=draft):
                made = f"merged as version {state.ver}" if state.ver != ver else "nothing of it stands"
                self._tell(entry, f"draft {draft.id} by {draft.by}: {made}")
            case Close(id=name):
                self._tell(entry, f"draft {name}: closed")
            case Force(ver=force):
                self._tell(entry, f"version {force} comes into force")
            case Word(server=server, gone=gone):
                self._tell(entry, f"server {server} {'is gone' if gone else 'drains'}")
            case Cast(members=members):
                self._tell(entry, f"{len(members)} carriers live: {', '.join(sorted(members)) or 'none'}")
            case Roll(servers=servers):
                self._tell(entry, f"{len(servers)} servers are known")
        if state.ver != ver:
            before = msgspec.json.decode(conf) if conf else {}
            self.history += [f"  {each}" for each in changed(before, msgspec.json.decode(state.conf))]

    def lines(self) -> list[str]:
        state = self.ledger.state
        out = [
            f"disk {self.identity}, generation {self.generation}, {self.records} sound records",
            f"term {self.term}; a snapshot up to entry {self.base} (version {self.snapshot_ver}), "
            f"{self.entries} entries after it",
            f"voters: {', '.join(f'{name} at {place}' for name, place in sorted(self.voters.items()))}",
            f"newest version {state.ver}, in force {state.acting_ver}; servers that left {len(state.left)}, "
            f"carriers in the cast {len(state.cast)}",
        ]
        for draft, outcome in self.ledger.bills().values():
            out.append(f"draft {draft.id} by {draft.by}: {told(draft, outcome)['State']}")
        out += [f"draft {each.id} by {each.by}: kept, not handed in" for each in self.drafts.values()]
        return out
