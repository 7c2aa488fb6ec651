"""Messages between the nodes of the consensus group (thesis, figures 3.1 and 5.3).

Encoded as msgpack arrays by tag and position: names may change; tags, order and types may not. Log indexes
start at 1. Times are microseconds on the sender's steady clock.
"""

from typing import NamedTuple

import msgspec


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the replicated log.

    `voters` (node identity to address) is set for a voter change. `data` is empty for an entry that only
    starts a new term.
    """

    index: int
    term: int
    data: bytes = b""
    voters: dict[str, str] | None = None


class RequestVote(msgspec.Struct, array_like=True, tag="v", frozen=True):
    """A candidate's vote request; with `pre_vote`, asks if one would be granted (thesis, 3.4 and 9.6)."""

    term: int  # term of the requested vote; with `pre_vote`, the candidate is still in the term before
    candidate: str
    address: str
    last_log_index: int
    last_log_term: int
    pre_vote: bool
    lease_free: bool = False  # no leader holds a lease: every voter reported so, or the leader stepped down
    pre_vote_round: int = 0  # number of this pre-vote, echoed in the reply to detect late replies


class RequestVoteReply(msgspec.Struct, array_like=True, tag="V", frozen=True):
    """A voter's reply; a granted vote is sent once it is durable.

    A reply to a granted pre-vote has the requested term, any other reply the voter's term.
    """

    term: int
    voter: str
    granted: bool
    pre_vote: bool
    unanimous_only: bool = False  # counts only if all voters grant: a lease may rest on its earlier replies
    lease_free: bool = False  # neither leader nor candidate, and can't lead a term before the requested
    pre_vote_round: int = 0


class AppendEntries(msgspec.Struct, array_like=True, tag="a", frozen=True):
    """A leader's entries for a follower; a heartbeat if empty (thesis, 3.5)."""

    term: int
    leader: str
    address: str
    follower: str  # identity of the addressee; another node may have taken over its address
    prev_log_index: int
    prev_log_term: int
    leader_commit: int
    sent_us: int  # echoed in the reply
    entries: list[Entry] = []


class AppendEntriesReply(msgspec.Struct, array_like=True, tag="A", frozen=True):
    """A follower's reply: how far its durable log matches, or the index to retry from."""

    term: int
    follower: str
    address: str
    success: bool  # the logs agree up to prev_log_index
    match_index: int  # last durable entry known to match; without success, the index to retry from
    sent_us: int


class InstallSnapshot(msgspec.Struct, array_like=True, tag="i", frozen=True):
    """One chunk of a snapshot of `total` bytes, starting at byte `offset` (thesis, 5.3)."""

    term: int
    leader: str
    address: str
    follower: str
    last_index: int  # last entry covered by the snapshot
    last_term: int  # its term
    voters: dict[str, str]
    data: bytes
    sent_us: int
    offset: int = 0
    total: int = 0


class InstallSnapshotReply(msgspec.Struct, array_like=True, tag="I", frozen=True):
    """The byte offset that the follower needs next, of the snapshot up to `last_index`."""

    term: int
    follower: str
    address: str
    last_index: int
    next_offset: int
    sent_us: int


class JoinRequest(msgspec.Struct, array_like=True, tag="j", frozen=True):
    """A node's request to the leader to add it to the group."""

    node: str  # identity of the node, which is the name of its disk
    address: str


class LeaderHint(msgspec.Struct, array_like=True, tag="l", frozen=True):
    """A follower's reply to a JoinRequest: the identity and address of the leader."""

    term: int
    leader: str
    address: str


class LeaveRequest(msgspec.Struct, array_like=True, tag="x", frozen=True):
    """A node's request to be removed from the voters because it shuts down gracefully."""

    node: str  # its identity


class TimeoutNow(msgspec.Struct, array_like=True, tag="s", frozen=True):
    """Leadership transfer: the leader of `term` has stepped down; `successor` has its complete log (3.10)."""

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
    """A message and its destination address."""

    address: str
    message: Message
