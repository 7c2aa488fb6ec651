"""The state of one node that all of its concerns read: term, vote, log, role, and the effects they collect.

Who writes what: `term` and `voted_for` change here and in `voter` and `election`; `commit_index` here alone;
`durable_index` in `node` and `follower`; `role` and `leader` in `node` and `election`. What only one concern
needs is that concern's own.
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
    """Changes of role, which concern all parts of a node."""

    def become_follower(self, term: int, leader: str = "", leader_address: str = "") -> None:
        """Follow in that term, with a leader where one is known."""

    def become_leader(self) -> None:
        """Lead in the current term."""


class NodeState:
    """The state that a node's concerns share."""

    def __init__(self, identity: str, address: str, now_us: int, voters: dict[str, str]) -> None:
        """Begin as a follower with an empty log.

        Args:
            identity: the name of this node's disk.
            address: where other nodes send their messages to.
            now_us: the time on the node's steady clock.
            voters: the first voters of all, where the whole system starts for the first time; else empty.
        """
        self.identity = identity
        self.address = address
        self.now_us = now_us
        self.term = 0
        self.voted_for = ""  # in `term`; empty for none
        self.log = ReplicatedLog(voters)
        self.commit_index = 0  # of the last entry that is known to be committed
        self.durable_index = 0  # of the last entry that is surely on this disk
        self.role = Role.FOLLOWER
        self.leader = ""  # identity of the leader of `term`, empty where none is known
        self.leader_address = ""
        self.is_stopping = False  # shuts down in order: starts no election any more
        self.effects = Effects()

    @property
    def voters(self) -> dict[str, str]:
        """Identity to address of the voters in force."""
        return self.log.voters

    @property
    def is_leader(self) -> bool:
        """Whether the node is the leader of its term; it may not know of a later one."""
        return self.role is Role.LEADER

    def snapshot_record(self) -> SnapshotRecord:
        """All that the node has to remember, as the first record of a new generation."""
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
        """Bring the node's clock up to the shell's; it never runs backwards."""
        self.now_us = max(self.now_us, now_us)

    def send(self, address: str, message: Message) -> None:
        """Send a message now."""
        self.effects.sends.append(OutgoingMessage(address, message))

    def write(self, records: list[Record], sends_when_durable: Iterable[OutgoingMessage] = ()) -> None:
        """Bring records onto the disk, and send messages once they are there."""
        write = DurableWrite(records, list(sends_when_durable), self.log.last_index, self.log.last_term)
        self.effects.writes.append(write)

    def append(self, entries: list[Entry]) -> None:
        """Append entries to the log, in memory and on disk."""
        self.log.append(entries)
        self.write([EntriesRecord(entries, self.commit_index)])

    def raise_term(self, term: int) -> None:
        """Move on to a later term, without a vote in it yet; an earlier one changes nothing."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self.write([HardState(term, "")])

    def forget_leader(self) -> None:
        """Know of no leader, so that it is looked for anew."""
        self.leader = ""
        self.leader_address = ""

    def commit_up_to(self, index: int) -> None:
        """Commit all entries up to `index` that the log has."""
        index = min(index, self.log.last_index)
        if index > self.commit_index:
            self.effects.committed += self.log.entries_between(self.commit_index, index)
            self.commit_index = index
