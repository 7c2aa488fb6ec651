"""Messages between the nodes of the consensus group, as in the thesis, figures 3.1 and 5.3.

Encoded as msgpack arrays by tag and position: names may change, tags, order and types may not. Indexes count
log entries from 1. Times are microseconds on the sender's steady clock.
"""

from typing import NamedTuple

import msgspec


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the replicated log.

    `voters` is set for a change of voters (node identity to address); an empty `data` only marks a new term.
    """

    index: int
    term: int
    data: bytes = b""
    voters: dict[str, str] | None = None


class RequestVote(msgspec.Struct, array_like=True, tag="v", frozen=True):
    """A candidate asks for a vote, or with `pre_vote` whether one would be granted (thesis, 3.4 and 9.6)."""

    term: int
    candidate: str
    address: str
    last_log_index: int
    last_log_term: int
    pre_vote: bool
    lease_free: bool = False  # no leader can hold a lease: every voter said so, or the leader stepped down
    pre_vote_round: int = 0  # number of this pre-vote, echoed in the reply (guards against late replies)


class RequestVoteReply(msgspec.Struct, array_like=True, tag="V", frozen=True):
    """A voter's reply, to a vote once it is on its disk.

    A granted pre-vote has the candidate's term, any other reply the voter's own.
    """

    term: int
    voter: str
    granted: bool
    pre_vote: bool
    unanimous_only: bool = False  # counts only if every voter grants: a lease may rest on its earlier replies
    lease_free: bool = False  # it isn't leader or candidate, and can't be in a term up to the candidate's
    pre_vote_round: int = 0


class AppendEntries(msgspec.Struct, array_like=True, tag="a", frozen=True):
    """A leader's entries for a follower; a heartbeat without any (thesis, 3.5)."""

    term: int
    leader: str
    address: str
    follower: str  # identity of the node that is meant: another one may be at its address by now
    prev_log_index: int
    prev_log_term: int
    leader_commit: int
    sent_us: int  # echoed in the reply
    entries: list[Entry] = []


class AppendEntriesReply(msgspec.Struct, array_like=True, tag="A", frozen=True):
    """A follower's reply: what it has on disk, or where to try from."""

    term: int
    follower: str
    address: str
    success: bool  # the logs agree up to prev_log_index
    match_index: int  # on disk and known to agree; without success, the index to try from
    sent_us: int


class InstallSnapshot(msgspec.Struct, array_like=True, tag="i", frozen=True):
    """One chunk of a snapshot, from byte `offset` of `total` (thesis, 5.3)."""

    term: int
    leader: str
    address: str
    follower: str
    last_index: int  # of the last entry that the snapshot covers
    last_term: int
    voters: dict[str, str]
    data: bytes
    sent_us: int
    offset: int = 0
    total: int = 0


class InstallSnapshotReply(msgspec.Struct, array_like=True, tag="I", frozen=True):
    """Which byte of the snapshot up to `last_index` the follower needs next."""

    term: int
    follower: str
    address: str
    last_index: int
    next_offset: int
    sent_us: int


class JoinRequest(msgspec.Struct, array_like=True, tag="j", frozen=True):
    """A node with a disk of its own asks the leader to be taken in."""

    node: str
    address: str


class LeaderHint(msgspec.Struct, array_like=True, tag="l", frozen=True):
    """Who the leader is, for a node that asked a follower."""

    term: int
    leader: str
    address: str


class LeaveRequest(msgspec.Struct, array_like=True, tag="x", frozen=True):
    """A node shuts down in order and should be no voter any more."""

    node: str


class TimeoutNow(msgspec.Struct, array_like=True, tag="s", frozen=True):
    """Leadership transfer: the leader of `term` has stepped down, `successor` has all of its log (3.10)."""

    term: int
    successor: str


Message = (
    RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | InstallSnapshotReply
    | JoinRequest
    | LeaderHint
    | LeaveRequest
    | TimeoutNow
)


class OutgoingMessage(NamedTuple):
    """A message and the address of the node that it is for."""

    address: str
    message: Message
