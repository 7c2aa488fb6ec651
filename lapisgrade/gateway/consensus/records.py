"""What a node keeps on its disk, and what it asks of the shell around it."""

from dataclasses import dataclass, field

import msgspec

from lapisgrade.gateway.consensus.messages import Entry, Message


class HardState(msgspec.Struct, array_like=True, tag="h", frozen=True):
    """The current term and the vote in it."""

    term: int
    voted: str


class EntriesRecord(msgspec.Struct, array_like=True, tag="e", frozen=True):
    """Entries; earlier ones at the same index and after are void. All up to `commit` were committed."""

    entries: list[Entry]
    commit: int = 0


class SnapshotRecord(msgspec.Struct, array_like=True, tag="w", frozen=True):
    """First record of a generation of the log's file: all that the node knows."""

    identity: str
    term: int
    voted: str
    base: int  # the last entry that `state` covers, and its term
    base_term: int
    voters: dict[str, str]
    state: bytes
    entries: list[Entry]
    commit: int = 0


Record = HardState | EntriesRecord | SnapshotRecord


@dataclass(slots=True)
class DurableWrite:
    """Records to bring onto the disk, in order, and messages that may be sent only then."""

    records: list[Record]
    sends_when_durable: list[tuple[str, Message]]  # address, message
    last_index: int  # of the log once this is written, and that entry's term
    last_term: int


@dataclass(slots=True)
class Effects:
    """What the shell has to do since effects were last taken."""

    writes: list[DurableWrite] = field(default_factory=list)
    sends: list[tuple[str, Message]] = field(default_factory=list)  # address, message
    committed: list[Entry] = field(default_factory=list)
    snapshot: bytes | None = None  # a snapshot to load before the commits are applied
