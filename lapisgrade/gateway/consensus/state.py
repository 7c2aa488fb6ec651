"""The state that all concerns of a node share: term, vote, log, role, and the effects to carry out.

Writers: `term` changes here and in `election`; `voted_for` here, in `voter` and in `election`; `commit_index`
here and in `follower`; `durable_index` in `node` and `follower`; `role` in `node` and `election`; `leader` in
`node` and here. `recovery` sets term, vote and commit index at a restart. State that only one concern uses
belongs to that concern.
"""

from collections.abc import Iterable
from enum import Enum
from typing import Protocol

from lapisgrade.gateway.consensus.log import ReplicatedLog
from lapisgrade.gateway.consensus.messages import Entry, Message, OutgoingMessage
from lapisgrade.gateway.consensus.records import (
    DurableWrite,
    Effects,
    EntriesRecord,
    HardState,
    Record,
    SnapshotRecord,
)


class Role(Enum):
    """The roles of a node; `node` has the diagram of their transitions."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class RoleTransitions(Protocol):
    """Changes of role; they affect all concerns of a node."""

    def become_follower(self, term: int, leader: str = "", leader_address: str = "") -> None:
        """Become a follower in `term`; `leader` is empty if unknown."""

    def become_leader(self) -> None:
        """Become the leader of the current term."""


class NodeState:
    """The state that a node's concerns share."""

    def __init__(self, identity: str, address: str, now_us: int, voters: dict[str, str]) -> None:
        """Start as a follower with an empty log.

        Args:
            identity: the name of this node's disk.
            address: address at which other nodes reach this one.
            now_us: the time on the node's steady clock.
            voters: the initial voters when the system is bootstrapped; otherwise empty.
        """
        self.identity = identity
        self.address = address
        self.now_us = now_us
        self.term = 0
        self.voted_for = ""  # candidate voted for in `term`; empty if none
        self.log = ReplicatedLog(voters)
        self.commit_index = 0  # index of the last entry known to be committed
        self.durable_index = 0  # index of the last entry known to be synced to this disk
        self.role = Role.FOLLOWER
        self.leader = ""  # identity of the leader of `term`; empty if unknown
        self.leader_address = ""
        self.is_stopping = False  # graceful shutdown: the node starts no further elections
        self.effects = Effects()

    @property
    def voters(self) -> dict[str, str]:
        """The current voters, identity to address."""
        return self.log.voters

    @property
    def is_leader(self) -> bool:
        """Whether the node is the leader of its term; a later term may already exist."""
        return self.role is Role.LEADER

    def snapshot_record(self) -> SnapshotRecord:
        """The node's complete persistent state, as the first record of a new log generation."""
        log = self.log
        return SnapshotRecord(
            self.identity,
            self.term,
            self.voted_for,
            log.snapshot_index,
            log.snapshot_term,
            log.snapshot_voters,
            log.snapshot_state,
            list(log.entries),
            self.commit_index,
        )

    def advance_clock(self, now_us: int) -> None:
        """Advance the node's clock to `now_us`; it never runs backwards."""
        self.now_us = max(self.now_us, now_us)

    def send(self, address: str, message: Message) -> None:
        """Queue a message to be sent immediately."""
        self.effects.sends.append(OutgoingMessage(address, message))

    def write(self, records: list[Record], sends_when_durable: Iterable[OutgoingMessage] = ()) -> None:
        """Queue records to be written to disk, and messages to be sent once the records are durable."""
        write = DurableWrite(records, list(sends_when_durable), self.log.last_index, self.log.last_term)
        self.effects.writes.append(write)

    def append(self, entries: list[Entry]) -> None:
        """Append entries to the log, in memory and on disk."""
        self.log.append(entries)
        self.write([EntriesRecord(entries, self.commit_index)])

    def raise_term(self, term: int) -> None:
        """Advance to a later term without a vote; an earlier or equal term has no effect."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self.write([HardState(term, "")])

    def forget_leader(self) -> None:
        """Clear the known leader, so that the node discovers it again."""
        self.leader = ""
        self.leader_address = ""

    def commit_up_to(self, index: int) -> None:
        """Commit the entries in the log up to `index`."""
        index = min(index, self.log.last_index)
        if index > self.commit_index:
            self.effects.committed += self.log.entries_between(self.commit_index, index)
            self.commit_index = index
