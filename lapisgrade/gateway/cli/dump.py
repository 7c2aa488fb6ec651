"""What a controller has on its disk, read while it is down: each record checked, nothing written.

The newest configuration in it may be one that was never acknowledged (a log's end counts only once a majority
has it); it is shown for what it is.
"""

import os

import msgspec

from lapisgrade.gateway.storage.log_store import Damaged, LogStore
from lapisgrade.gateway.merge.three_way import told
from lapisgrade.gateway.settings import Bad
from lapisgrade.gateway.consensus.log import ReplicatedLog
from lapisgrade.gateway.consensus.messages import Entry
from lapisgrade.gateway.consensus.records import EntriesRecord, HardState, Record, SnapshotRecord
from lapisgrade.gateway.controller.state_machine import (
    MergeDraft,
    LiveProxies,
    Change,
    CloseDraft,
    Activate,
    Item,
    StateMachine,
    NewVersion,
    ServerSnapshot,
    ServerLeaving,
)
from lapisgrade.gateway.storage.draft_store import read_kept
from lapisgrade.gateway.cli.check import changed

_RECORD = msgspec.msgpack.Decoder(Record)
_ITEM = msgspec.msgpack.Decoder(Item)


class DiskReport:
    """One folder's content; Bad where it holds none or is damaged."""

    def __init__(self, folder: str) -> None:
        if not os.path.isdir(folder):
            raise Bad(f"{folder}: no such folder")
        log_store = LogStore(folder)
        try:
            records = [_RECORD.decode(each) for each in log_store.recover()]
        except (Damaged, OSError, msgspec.MsgspecError) as wrong:
            raise Bad(f"{folder}: {wrong}") from None
        if not records or not isinstance(records[0], SnapshotRecord):
            raise Bad(f"{folder}: no whole generation is there")
        self.generation, self.records = log_store.generation, len(records)
        first: SnapshotRecord = records[0]
        self.identity, self.term, self.snapshot_index = first.identity, first.term, first.snapshot_index
        self.voters, replicated = first.voters, ReplicatedLog(first.voters)
        replicated.install(first.snapshot_index, first.snapshot_term, first.voters, first.state)
        replicated.append(first.entries)
        for record in records[1:]:
            if isinstance(record, HardState):
                self.term = record.term
            elif isinstance(record, EntriesRecord):
                replicated.append(record.entries)
        entries = replicated.entries
        self.entries = len(entries)
        self.state_machine = StateMachine()
        if first.state:
            self.state_machine.load(first.state)
        self.snapshot_ver = self.state_machine.state.ver
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
        item, state = _ITEM.decode(entry.data), self.state_machine.state
        ver, conf = state.ver, state.conf
        answer = self.state_machine.take(entry.index, entry.data)
        match item:
            case Change() | NewVersion() if answer.status != 200:
                self._tell(entry, f"a change was refused: {answer.status} {answer.wrong}".rstrip())
            case Change():
                self._tell(entry, f"version {state.ver} on {ver} was " + ("put" if item.whole else "updated"))
            case NewVersion():
                self._tell(entry, f"version {state.ver} on {ver} was accepted")
            case MergeDraft(draft=draft):
                made = f"merged as version {state.ver}" if state.ver != ver else "nothing of it stands"
                self._tell(entry, f"draft {draft.id} by {draft.by}: {made}")
            case CloseDraft(id=name):
                self._tell(entry, f"draft {name}: closed")
            case Activate(ver=force):
                self._tell(entry, f"version {force} comes into force")
            case ServerLeaving(server=server, gone=gone):
                self._tell(entry, f"server {server} {'is gone' if gone else 'drains'}")
            case LiveProxies(members=members):
                self._tell(entry, f"{len(members)} proxies live: {', '.join(sorted(members)) or 'none'}")
            case ServerSnapshot(servers=servers):
                self._tell(entry, f"{len(servers)} servers are known")
        if state.ver != ver:
            before = msgspec.json.decode(conf) if conf else {}
            self.history += [f"  {each}" for each in changed(before, msgspec.json.decode(state.conf))]

    def lines(self) -> list[str]:
        state = self.state_machine.state
        out = [
            f"disk {self.identity}, generation {self.generation}, {self.records} sound records",
            f"term {self.term}; a snapshot up to entry {self.snapshot_index} (version {self.snapshot_ver}), "
            f"{self.entries} entries after it",
            f"voters: {', '.join(f'{name} at {place}' for name, place in sorted(self.voters.items()))}",
            f"newest version {state.ver}, in force {state.acting_ver}; servers that left {len(state.left)}, "
            f"proxies in the list of live proxies {len(state.live_proxies)}",
        ]
        for draft, outcome in self.state_machine.open_drafts().values():
            out.append(f"draft {draft.id} by {draft.by}: {told(draft, outcome)['State']}")
        out += [f"draft {each.id} by {each.by}: kept, not handed in" for each in self.drafts.values()]
        return out
