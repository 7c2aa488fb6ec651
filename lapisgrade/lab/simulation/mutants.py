"""Wrong versions of the control plane, to be switched on: a play that does not find them proves nothing.

By what they break: a `LEADER` that is cut off, `ORDERS` sent twice or at once, `MEMBERS` that join and leave,
a `LOG` that is restarted and compacted. Each is found by a course (`COURSES_OF`) but for `BY_RULE`, which
need so rare a moment that a test of the rule itself finds them. The right versions stand in
`gateway/consensus/` and `gateway/controller/`.
"""

from typing import Any

import msgspec

from lapisgrade.lab.explore.defects import Defect, Defects
from lapisgrade.gateway import configuration_change
from lapisgrade.gateway.consensus import membership, reconfiguration
from lapisgrade.gateway.consensus.election import Election
from lapisgrade.gateway.consensus.follower import Follower
from lapisgrade.gateway.consensus.log import ReplicatedLog
from lapisgrade.gateway.consensus.membership import ClusterView
from lapisgrade.gateway.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    RequestVote,
    RequestVoteReply,
)
from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.reconfiguration import Reconfiguration
from lapisgrade.gateway.consensus.records import DurableWrite, Record
from lapisgrade.gateway.consensus.replication import Replication
from lapisgrade.gateway.consensus.snapshots import SnapshotAssembly
from lapisgrade.gateway.consensus.voter import Voter
from lapisgrade.gateway.configuration_delta import decode
from lapisgrade.gateway.controller import node_recovery
from lapisgrade.gateway.controller.consensus_driver import ConsensusDriver
from lapisgrade.gateway.controller.change_validation import ApplyResult, ValidatedChange
from lapisgrade.gateway.controller.commands import ConfigurationChange, NewVersion
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.controller.log_writer import LogWriter
from lapisgrade.gateway.settings import Settings

# ---- a leader that is cut off


def _always_leased(self: Node) -> bool:
    return self.has_committed_in_term


def _serves_as_led(self: ConsensusDriver) -> bool:
    """No look at the lease before a call is answered."""
    if self.is_established:
        self.observer.on_lease_confirmed()
    return self.is_established


_on_append_reply = Replication.on_append_reply


def _lease_from_receipt(self: Replication, reply: AppendEntriesReply) -> None:
    """The lease runs from the answer's arrival, not from what it answers."""
    _on_append_reply(self, reply)
    if reply.follower in self.followers:
        self.followers[reply.follower].acked_us = self.state.now_us


def _hears_nobody(self: Voter) -> bool:
    return False


_recovered = Node.recover.__func__


def _not_quiet(cls: type, *args: Any) -> Node:
    """A node that starts again forgets that a lease may rest on its earlier life."""
    node = _recovered(cls, *args)
    node.voter.restart_guard_until_us = 0
    return node


def _grants_while_leading(self: Voter, request: RequestVote) -> None:
    """A leader that a majority was not heard of for a while, and a candidate, say that they hold no lease."""
    state = self.state
    granted = request.term > state.term and not self.has_leader_contact() and self.log_is_current(request)
    if not granted:
        _on_pre_vote(self, request)
        return
    reply = RequestVoteReply(request.term, state.identity, True, True, False, True, request.pre_vote_round)
    state.send(request.address, reply)


_on_pre_vote = Voter.on_pre_vote
_on_vote_reply = Election.on_vote_reply


def _any_round(self: Election, reply: RequestVoteReply) -> None:
    """A pre-vote of an earlier round counts as one of this."""
    if reply.pre_vote and reply.granted and reply.term == self.state.term + 1:
        reply = msgspec.structs.replace(reply, pre_vote_round=self.pre_vote_round)
    _on_vote_reply(self, reply)


# ---- orders


def _not_remembered(self: StateMachine, data: bytes) -> None:
    """What a snapshot holds of changes taken is lost."""
    _load(self, data)
    self.state.applied_changes = {}


_load = StateMachine.load
_apply_new_version = StateMachine.apply_new_version


def _any_base(self: StateMachine, item: NewVersion) -> ApplyResult:
    """A version is taken on top of any other."""
    if (
        item.encoded.version <= self.state.version
        or self.state.applied_changes.get(item.encoded.version) == item.change_digest
    ):
        return _apply_new_version(self, item)
    text = (
        decode(item.encoded, self.state.configuration) if not item.encoded.base else self.state.configuration
    )
    self.accept(text, item.encoded.version, item.change_digest)
    return ApplyResult(200)


def _by_bytes(body: bytes) -> bytes:
    """The same change laid out in another way is another change."""
    return configuration_change.blake2b(body, digest_size=16).digest()


async def _at_once(self: ConsensusDriver, data: bytes) -> ApplyResult | None:
    """A change is confirmed as it is put into the log."""
    return None if self.node.propose(data) is None else ApplyResult(200)


async def _refuses_unknown(self: ConsensusDriver, data: bytes) -> ApplyResult | None:
    """A change without a majority yet is refused."""
    answer = await _propose(self, data)
    return ApplyResult(412, "no majority") if answer is None else answer


_propose = ConsensusDriver.propose


def _without_digest(self: StateMachine, change: ConfigurationChange) -> ValidatedChange:
    """One that was taken is judged as if it were new."""
    taken, self.state.applied_changes = self.state.applied_changes, {}
    try:
        return _validate(self, change)
    finally:
        self.state.applied_changes = taken


_validate = StateMachine.validate

# ---- members


def _counts_all(self: Replication) -> None:
    """Learners count towards a majority."""
    state = self.state
    have = [state.durable_index, *(each.match_index for each in self.followers.values())]
    have.sort(reverse=True)
    index = have[len(state.voters) // 2] if state.voters else 0
    if index > state.commit_index and state.log.term_at(index) == state.term:
        state.commit_up_to(index)
        self.send_to_all(heartbeat=True)


def _any_change(view: ClusterView) -> dict[str, str] | None:
    """A change of voters that those who are caught up need not be a majority of."""
    return membership.desired_voters(view)


def _changes_never_open(self: ReplicatedLog, index: int) -> bool:
    """The next change is made before the one before is committed."""
    return False


def _own_entry_at_once(self: Reconfiguration) -> bool:
    """A leader changes voters before an entry of its own term is committed (the note of 2015 on Raft)."""
    return False


def _forgets_voters(self: ReplicatedLog, index: int, state: bytes) -> None:
    """A snapshot without the changes of voters in it."""
    voters = self.snapshot_voters
    _compact(self, index, state)
    self.snapshot_voters = voters


_compact = ReplicatedLog.compact
_restore_node = node_recovery.restore_node


def _votes_when_empty(records: list[Record], settings: Settings, *args: Any) -> Node:
    """An emptied disk takes itself for the first one at its address."""
    return _restore_node(records, _bootstrapped(settings), *args)


def _bootstrapped(settings: Settings) -> Settings:
    from attrs import evolve

    return evolve(settings, bootstrap=True)


def _adopts(self: Any, piece: Any) -> bytes | None:
    """Every piece of a snapshot is taken for the whole."""
    return piece.data


# ---- the log


def _durable_as_read(cls: type, *args: Any) -> Node:
    """What a start reads counts as synced."""
    node = _recovered(cls, *args)
    node.state.durable_index = node.log.last_index
    return node


def _acknowledges_unsynced(self: Follower, message: AppendEntries) -> None:
    state = self.state
    if message.term == state.term and message.leader == state.leader:
        reply = AppendEntriesReply(
            state.term, state.identity, state.address, True, self.agreed_index, message.sent_us
        )
        state.send(message.address, reply)


def _sends_before_sync(self: LogWriter, write: DurableWrite) -> None:
    """What should wait for the disk is said at once."""
    then, write.sends_when_durable = write.sends_when_durable, []
    self._node.state.effects.sends += then
    _put(self, write)


_put = LogWriter.put


def _commits_any_term(self: Replication) -> None:
    """An entry of an earlier term is committed by counting its copies."""
    state = self.state
    have = [
        self.followers[name].match_index if name in self.followers else state.durable_index
        for name in state.voters
    ]
    have.sort(reverse=True)
    index = have[len(have) // 2] if have else 0
    if index > state.commit_index:
        state.commit_up_to(index)
        self.send_to_all(heartbeat=True)


def _any_log(self: Voter, request: RequestVote) -> bool:
    return True


def _never_truncates(self: ReplicatedLog, last: int) -> None:
    """Entries that another leader replaced stay."""


_dump = StateMachine.dump


def _stale_dump(self: StateMachine) -> bytes:
    """A snapshot of the state before the last one's."""
    earlier = getattr(self, "_earlier", b"")
    self._earlier = _dump(self)
    return earlier or self._earlier


def _loads_nothing(self: StateMachine, data: bytes) -> None:
    """A snapshot is read and not taken over."""


LEADER: Defects = {
    "lease-never-ends": Defect(Node, "has_lease", _always_leased),
    "serves-without-lease": Defect(ConsensusDriver, "is_leader", _serves_as_led),
    "lease-from-receipt": Defect(Replication, "on_append_reply", _lease_from_receipt),
    "votes-against-a-lease": Defect(Voter, "has_leader_contact", _hears_nobody),
    "restart-forgets-lease": Defect(Node, "recover", classmethod(_not_quiet)),
}
ORDERS: Defects = {
    "digests-lost-in-snapshot": Defect(StateMachine, "load", _not_remembered),
    "taken-on-any-base": Defect(StateMachine, "apply_new_version", _any_base),
    "digest-of-the-bytes": Defect(configuration_change, "digest", _by_bytes),
    "confirmed-at-once": Defect(ConsensusDriver, "propose", _at_once),
    "refused-while-unknown": Defect(ConsensusDriver, "propose", _refuses_unknown),
    "taken-judged-anew": Defect(StateMachine, "validate", _without_digest),
}
MEMBERS: Defects = {
    "learner-counted": Defect(Replication, "advance_commit", _counts_all),
    "snapshot-without-voters": Defect(ReplicatedLog, "compact", _forgets_voters),
}
EMPTIED: Defects = {
    "emptied-disk-votes": Defect(node_recovery, "restore_node", _votes_when_empty),
}
CHANGES: Defects = {
    "two-changes-at-once": Defect(ReplicatedLog, "has_voter_change_after", _changes_never_open),
}
MAJORITY: Defects = {
    "change-without-majority": Defect(reconfiguration, "next_voters", _any_change),
}
LOG: Defects = {
    "durable-as-read": Defect(Node, "recover", classmethod(_durable_as_read)),
    "acknowledged-before-sync": Defect(Follower, "acknowledge", _acknowledges_unsynced),
    "any-log-may-lead": Defect(Voter, "log_is_current", _any_log),
    "conflict-kept": Defect(ReplicatedLog, "truncate", _never_truncates),
    "vote-before-sync": Defect(LogWriter, "put", _sends_before_sync),
}
TERMS: Defects = {
    "old-term-committed": Defect(Replication, "advance_commit", _commits_any_term),
}
SNAPSHOTS: Defects = {
    "stale-snapshot": Defect(StateMachine, "dump", _stale_dump),
    "snapshot-not-loaded": Defect(StateMachine, "load", _loads_nothing),
    "piece-taken-for-all": Defect(SnapshotAssembly, "add", _adopts),
}
BY_RULE: Defects = {
    "pre-vote-of-any-round": Defect(Election, "on_vote_reply", _any_round),
    "leader-grants-pre-votes": Defect(Voter, "on_pre_vote", _grants_while_leading),
    "change-before-own-entry": Defect(Reconfiguration, "is_change_pending", _own_entry_at_once),
}
COURSES_OF: list[tuple[Defects, str]] = [
    (LEADER, "leader-cut"),
    (ORDERS, "orders-resent"),
    (MEMBERS, "second-loss"),
    (EMPTIED, "wiped-after-ack"),
    (CHANGES, "slow-changes"),
    (MAJORITY, "lagging-partner"),
    (LOG, "unsynced"),
    (TERMS, "churn"),
    (SNAPSHOTS, "hundreds-of-changes"),
]
MUTANTS: Defects = {name: each for group, _ in COURSES_OF for name, each in group.items()}
