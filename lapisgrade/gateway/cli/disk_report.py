"""Report on the disk of a stopped controller; checks each record and writes nothing.

The end of the log may be uncommitted, so the newest configuration in the report may never have been
acknowledged.
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
from lapisgrade.gateway.controller.state_machine import StateMachine, decode_command
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.merge.three_way import describe_draft
from lapisgrade.gateway.storage.draft_store import read_drafts
from lapisgrade.gateway.storage.log_store import CorruptLogError, LogStore

_RECORD_DECODER = msgspec.msgpack.Decoder(Record)


class DiskReport:
    """The content of one controller's data folder.

    Attributes:
        generation: The number of the newest complete generation of the log file.
        record_count: The number of records in that generation.
        identity: The identity of the node.
        term: The newest term on disk.
        snapshot_index: The index of the last log entry in the snapshot.
        snapshot_version: The newest configuration version in the snapshot.
        entry_count: The number of log entries after the snapshot.
        voters: Addresses of the voters, by identity.
        state_machine: The state after all entries, including uncommitted ones.
        history: Descriptions of the log entries and their changes, in order.
        drafts: The drafts on disk that are not committed, by id.
    """

    def __init__(self, folder: str) -> None:
        """Read the folder.

        Raises:
            InvalidInputError: The folder does not exist, its log is corrupt or has no complete generation, or
                its drafts can't be read.
            UnreadableLogError: A later release wrote the log's snapshot or an entry, or an entry does not fit
                the state before it.
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
        replicated_log = _replay(first, later)
        for record in later:
            if isinstance(record, HardState):
                self.term = record.term
        self.entry_count = len(replicated_log.entries)
        self.state_machine = StateMachine()
        if first.state:
            self.state_machine.load(first.state)
        self.snapshot_version = self.state_machine.state.version
        self.history: list[str] = []
        for entry in replicated_log.entries:
            self._apply(entry)
        self.drafts = read_drafts(folder)

    def summary(self) -> list[str]:
        """Return lines on the identity, log, voters, versions and drafts."""
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
        """Apply a log entry, and add its effects to the history."""
        if entry.voters is not None:
            self.voters = entry.voters
            self._add_history(entry, f"voters: {', '.join(sorted(entry.voters)) or 'none'}")
        if entry.data:
            self._apply_command(entry)

    def _apply_command(self, entry: Entry) -> None:
        """Apply an entry, and describe its effect without API keys and addresses."""
        command, state = decode_command(entry.index, entry.data), self.state_machine.state
        old_version, old_configuration = state.version, state.configuration
        result = self.state_machine.apply(entry.index, entry.data)
        self._add_history(entry, _describe_command(command, result, old_version, state.version))
        if state.version != old_version:
            before = msgspec.json.decode(old_configuration) if old_configuration else {}
            changes = describe_changes(before, msgspec.json.decode(state.configuration))
            self.history += [f"  {change}" for change in changes]

    def _add_history(self, entry: Entry, description: str) -> None:
        self.history.append(f"entry {entry.index}, term {entry.term}: {description}")


def _read_records(folder: str, log_store: LogStore) -> tuple[SnapshotRecord, list[Record]]:
    """Return the first record of the newest generation, and the later ones.

    Raises:
        InvalidInputError: The log is corrupt or has no complete generation.
    """
    try:
        records = [_RECORD_DECODER.decode(data) for data in log_store.recover()]
    except (CorruptLogError, OSError, msgspec.MsgspecError) as error:
        raise InvalidInputError(f"{folder}: {error}") from None
    if not records or not isinstance(records[0], SnapshotRecord):
        raise InvalidInputError(f"{folder}: no whole generation is there")
    return records[0], records[1:]


def _replay(first: SnapshotRecord, later: list[Record]) -> ReplicatedLog:
    """Return the log that results from the records."""
    replicated_log = ReplicatedLog(first.voters)
    replicated_log.install(first.snapshot_index, first.snapshot_term, first.voters, first.state)
    replicated_log.append(first.entries)
    for record in later:
        if isinstance(record, EntriesRecord):
            replicated_log.append(record.entries)
    return replicated_log


def _describe_command(command: LogCommand, result: ApplyResult, old_version: int, version: int) -> str:
    """Describe the effect of a log command; the versions are the newest ones before and after it."""
    match command:
        case ConfigurationChange() | NewVersion() if result.status != 200:
            return f"a change was refused: {result.status} {result.reason}".rstrip()
        case ConfigurationChange():
            return f"version {version} on {old_version} was {'put' if command.replaces_all else 'updated'}"
        case NewVersion():
            return f"version {version} on {old_version} was accepted"
        case MergeDraft(draft=draft):
            outcome = f"merged as version {version}" if version != old_version else "nothing of it stands"
            return f"draft {draft.id} by {draft.author}: {outcome}"
        case CloseDraft():
            return f"draft {command.draft_id}: closed"
        case Activate():
            return f"version {command.version} comes into force"
        case ClaimOperations():
            return f"{len(command.claims)} claims of keyed operations"
        case ServerLeaving() | LiveProxies() | ServerSnapshot():
            return _describe_membership(command)


def _describe_membership(command: ServerLeaving | LiveProxies | ServerSnapshot) -> str:
    match command:
        case ServerLeaving():
            return f"server {command.server} {'is gone' if command.is_gone else 'drains'}"
        case LiveProxies():
            names = ", ".join(sorted(command.members)) or "none"
            return f"{len(command.members)} proxies live: {names}"
        case ServerSnapshot():
            return f"{len(command.servers)} servers are known"
