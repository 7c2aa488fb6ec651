"""What one node of the group holds, and the few steps that its parts share."""

from enum import Enum
from random import Random

from lapisgrade.gateway.consensus.log import ReplicatedLog
from lapisgrade.gateway.consensus.messages import AppendEntries, Entry, Message
from lapisgrade.gateway.consensus.records import (
    DurableWrite,
    Effects,
    EntriesRecord,
    HardState,
    Record,
    SnapshotRecord,
)
from lapisgrade.gateway.consensus.replication_state import Follower
from lapisgrade.gateway.consensus.snapshots import Assembly

# Times in microseconds.
HEARTBEAT_INTERVAL_US = 100_000  # between a leader's messages; some round trips between zones
ELECTION_TIMEOUT_US = 400_000  # without a leader, at the least, before an election; several heartbeats
ELECTION_JITTER_US = 300_000  # more, at random (split votes are rare then)
LEASE_US = 300_000  # that a majority's replies last; below ELECTION_TIMEOUT_US, the least a follower waits
RESTART_GUARD_US = 330_000  # after a restart in which an earlier reply may back a lease: LEASE_US and drift
RETRY_DELAY_US = 10_000  # between elections of a node that has just started, at the least; a few round trips
RETRY_JITTER_US = 50_000  # more, at random


class Role(Enum):
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class NodeState:
    """Shared by the parts of a node. `voted` is the vote in `term`."""

    def __init__(
        self,
        identity: str,
        address: str,
        random: Random,
        now_us: int,
        voters: dict[str, str] | None = None,
    ) -> None:
        """`voters` are the first ones of all, where the whole system starts for the first time."""
        self.identity, self.address, self.random, self.now_us = identity, address, random, now_us
        self.term, self.voted_for = 0, ""
        self.log = ReplicatedLog(voters or {})
        self.commit_index = 0  # the last entry that is known to be committed
        self.durable_index = 0  # the last entry that is surely on this disk
        self.agreed_index = 0  # the last entry that is known to be the leader's too
        self.role, self.leader, self.leader_address = Role.FOLLOWER, "", ""
        self.followers: dict[str, Follower] = {}
        self.effects = Effects()
        self.is_stopping = False  # shuts down in order: never stands again
        self._votes: set[str] = set()
        self._idle: set[str] = set()  # of `_votes`: those that neither lead nor stand
        self._unanimous_only: set[str] = set()  # of `_votes`: those that count only if all grant
        self._round = 0
        self._last_leader_contact_us = -ELECTION_TIMEOUT_US
        self._lease_guard_until_us = now_us
        self._election_deadline_us = now_us + ELECTION_TIMEOUT_US // 2 + random.randrange(ELECTION_JITTER_US)
        self._heartbeat_due_us = 0
        self._first_index = 0  # of the entries of this node's own term as leader
        self._unanswered: AppendEntries | None = None  # answered again once more is on disk
        self._leaving: set[str] = set()
        self._assembly = Assembly()

    @property
    def voters(self) -> dict[str, str]:
        return self.log.voters

    @property
    def is_leader(self) -> bool:
        return self.role is Role.LEADER

    def snapshot_record(self) -> SnapshotRecord:
        """All of this node, as the first record of a new generation."""
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

    def _send(self, address: str, message: Message) -> None:
        self.effects.sends.append((address, message))

    def _write(self, records: list[Record], then: list[tuple[str, Message]] | None = None) -> None:
        write = DurableWrite(records, then or [], self.log.last_index, self.log.last_term)
        self.effects.writes.append(write)

    def _extend(self, entries: list[Entry]) -> None:
        self.log.append(entries)
        self._write([EntriesRecord(entries, self.commit_index)])

    def _postpone_election(self) -> None:
        self._election_deadline_us = (
            self.now_us + ELECTION_TIMEOUT_US + self.random.randrange(ELECTION_JITTER_US)
        )

    def _soon(self) -> int:
        """When to try again where others are about to come back, or to say more."""
        return self.now_us + RETRY_DELAY_US + self.random.randrange(RETRY_JITTER_US)

    def _raise_term(self, term: int) -> None:
        if term > self.term:
            self.term, self.voted_for = term, ""
            self._write([HardState(term, "")])

    def _follow(self, term: int, leader: str = "", address: str = "") -> None:
        """Be a follower in that term."""
        self._raise_term(term)
        if self.role is not Role.FOLLOWER:
            self._postpone_election()
        self.role = Role.FOLLOWER
        if leader != self.leader:
            self.agreed_index, self._unanswered = 0, None
        self.leader, self.leader_address = leader, address
        self.followers = {}

    def _commit_up_to(self, index: int) -> None:
        index = min(index, self.log.last_index)
        if index > self.commit_index:
            self.effects.committed += self.log.between(self.commit_index, index)
            self.commit_index = index

    def _quorum_us(self) -> int:
        """The leader's own time of the newest message that a majority of the voters has answered."""
        times = [self.followers[name].acked_us for name in self.voters if name in self.followers]
        if self.identity in self.voters:
            times.append(self.now_us)
        times.sort(reverse=True)
        need = len(self.voters) // 2
        return times[need] if need < len(times) else -ELECTION_TIMEOUT_US
