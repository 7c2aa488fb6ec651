"""What a controller has on its disk, read while it is down: each record is checked, nothing is written.

The newest configuration in it may be one that was never acknowledged (the end of a log counts only once a
majority has it); it is shown for what it is.
"""

import os

import msgspec

from lapisgrade.gateway.cli.configuration_check import describe_changes
from lapisgrade.gateway.consensus.log import ReplicatedLog
from lapisgrade.gateway.consensus.messages import Entry
from lapisgrade.gateway.consensus.records import EntriesRecord, HardState, Record, SnapshotRecord
from lapisgrade.gateway.controller.change_validation import ApplyResult
from lapisgrade.gateway.controller.commands import (
    Activate,
    ClaimOperations,
    CloseDraft,
    ConfigurationChange,
    LiveProxies,
    LogCommand,
    MergeDraft,
    NewVersion,
    ServerLeaving,
    ServerSnapshot,
)
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.merge.three_way import describe_draft
from lapisgrade.gateway.storage.draft_store import read_drafts
from lapisgrade.gateway.storage.log_store import CorruptLogError, LogStore

_RECORD_DECODER = msgspec.msgpack.Decoder(Record)
_ITEM_DECODER = msgspec.msgpack.Decoder(LogCommand)


class DiskReport:
    """The content of one controller's data folder."""

    def __init__(self, folder: str) -> None:
        """Read the folder.

        Raises:
            InvalidInputError: there is no such folder, or its log is damaged or has no complete generation.
        """
        if not os.path.isdir(folder):
            raise InvalidInputError(f"{folder}: no such folder")
        log_store = LogStore(folder)
        first, later = _read_records(folder, log_store)
        self.generation = log_store.generation
        self.record_count = 1 + len(later)
        self.identity = first.identity
        self.term = first.term
        self.snapshot_index = first.snapshot_index
        self.voters = first.voters
        replicated = _replay(first, later)
        for record in later:
            if isinstance(record, HardState):
                self.term = record.term
        self.entry_count = len(replicated.entries)
        self.state_machine = StateMachine()
        if first.state:
            self.state_machine.load(first.state)
        self.snapshot_version = self.state_machine.state.version
        self.history: list[str] = []  # what the log's entries did, in their order
        for entry in replicated.entries:
            self._apply(entry)
        self.drafts = read_drafts(folder)

    def summary(self) -> list[str]:
        """Describe the disk: identity, log, voters, versions and drafts."""
        state = self.state_machine.state
        voters = ", ".join(f"{name} at {address}" for name, address in sorted(self.voters.items()))
        lines = [
            f"disk {self.identity}, generation {self.generation}, {self.record_count} sound records",
            f"term {self.term}; a snapshot up to entry {self.snapshot_index} "
            f"(version {self.snapshot_version}), {self.entry_count} entries after it",
            f"voters: {voters}",
            f"newest version {state.version}, in force {state.active_version}; "
            f"servers that left {len(state.departed_servers)}, "
            f"proxies in the list of live proxies {len(state.live_proxies)}",
        ]
        for draft, outcome in self.state_machine.open_drafts().values():
            lines.append(f"draft {draft.id} by {draft.author}: {describe_draft(draft, outcome)['State']}")
        lines += [
            f"draft {draft.id} by {draft.author}: kept, not handed in" for draft in self.drafts.values()
        ]
        return lines

    def _apply(self, entry: Entry) -> None:
        if entry.voters is not None:
            self.voters = entry.voters
            self._add_history(entry, f"voters: {', '.join(sorted(entry.voters)) or 'none'}")
        if entry.data:
            self._apply_item(entry)

    def _apply_item(self, entry: Entry) -> None:
        """Apply an entry, and describe what it did; keys and addresses are not shown."""
        item, state = _ITEM_DECODER.decode(entry.data), self.state_machine.state
        version, conf = state.version, state.configuration
        answer = self.state_machine.apply(entry.index, entry.data)
        self._add_history(entry, _describe_item(item, answer, version, state.version))
        if state.version != version:
            before = msgspec.json.decode(conf) if conf else {}
            changes = describe_changes(before, msgspec.json.decode(state.configuration))
            self.history += [f"  {change}" for change in changes]

    def _add_history(self, entry: Entry, what: str) -> None:
        self.history.append(f"entry {entry.index}, term {entry.term}: {what}")


def _read_records(folder: str, log_store: LogStore) -> tuple[SnapshotRecord, list[Record]]:
    """Return the first record of the newest generation, and those after it."""
    try:
        records = [_RECORD_DECODER.decode(data) for data in log_store.recover()]
    except (CorruptLogError, OSError, msgspec.MsgspecError) as error:
        raise InvalidInputError(f"{folder}: {error}") from None
    if not records or not isinstance(records[0], SnapshotRecord):
        raise InvalidInputError(f"{folder}: no whole generation is there")
    return records[0], records[1:]


def _replay(first: SnapshotRecord, later: list[Record]) -> ReplicatedLog:
    replicated = ReplicatedLog(first.voters)
    replicated.install(first.snapshot_index, first.snapshot_term, first.voters, first.state)
    replicated.append(first.entries)
    for record in later:
        if isinstance(record, EntriesRecord):
            replicated.append(record.entries)
    return replicated


def _describe_item(item: LogCommand, answer: ApplyResult, version_before: int, version: int) -> str:
    """Describe what an item of the log did; the versions are the newest ones before and after it."""
    match item:
        case ConfigurationChange() | NewVersion() if answer.status != 200:
            return f"a change was refused: {answer.status} {answer.reason}".rstrip()
        case ConfigurationChange():
            return f"version {version} on {version_before} was {'put' if item.replaces_all else 'updated'}"
        case NewVersion():
            return f"version {version} on {version_before} was accepted"
        case MergeDraft(draft=draft):
            outcome = f"merged as version {version}" if version != version_before else "nothing of it stands"
            return f"draft {draft.id} by {draft.author}: {outcome}"
        case CloseDraft():
            return f"draft {item.draft_id}: closed"
        case Activate():
            return f"version {item.version} comes into force"
        case ClaimOperations():
            return f"{len(item.claims)} claims of keyed operations"
        case ServerLeaving() | LiveProxies() | ServerSnapshot():
            return _describe_membership(item)


def _describe_membership(item: ServerLeaving | LiveProxies | ServerSnapshot) -> str:
    match item:
        case ServerLeaving():
            return f"server {item.server} {'is gone' if item.is_gone else 'drains'}"
        case LiveProxies():
            names = ", ".join(sorted(item.members)) or "none"
            return f"{len(item.members)} proxies live: {names}"
        case ServerSnapshot():
            return f"{len(item.servers)} servers are known"
