"""Invariants of the control plane, checked from outside at every step of every process.

- A term has at most one leader, whose votes are durable on a majority of the voters' disks.
- A committed entry is durable on a majority of the voters' disks, and all nodes apply the same entries.
- A controller that replies as the leader has not been replaced by an established leader of a later term.
- At most one change of voters is pending, and a majority of the new voters has all committed entries.
- Each base has at most one configuration version on it.

`Invariants.violations` lists the violations.
"""

from typing import Protocol

import msgspec

from lapisgrade.gateway.consensus.messages import Entry
from lapisgrade.gateway.controller.commands import LogCommand, NewVersion
from lapisgrade.lab.simulation.disk import Disk
from lapisgrade.lab.simulation.machine import Machine, SimulatedController
from lapisgrade.lab.simulation.virtual_loop import SECOND, VirtualLoop

_COMMAND_DECODER = msgspec.msgpack.Decoder(LogCommand)


class CheckedCluster(Protocol):
    """The interface to the cluster that is checked."""

    loop: VirtualLoop
    machines: dict[str, Machine]

    def note(self, text: str) -> None:
        """Add a line to the transcript."""

    def leader(self) -> Machine | None:
        """Return the leader of the newest term, or None."""

    def running_machines(self) -> list[Machine]:
        """Return the machines whose processes are alive."""


class Invariants:
    """The checks and their state.

    Attributes:
        violations: Descriptions of the violations.
        leaders: Identity of the leader by term.
        entries: Committed entries by index, as they were first applied.
        versions: The configuration's history in the log. Maps a version to its base, its text, and the time
            (us) at which it was first seen committed.
        established_term: The highest term in which a leader has committed an entry.
        elections: Number of such terms.
    """

    def __init__(self, cluster: CheckedCluster) -> None:
        self.cluster = cluster
        self.violations: list[str] = []
        self.leaders: dict[int, str] = {}
        self.entries: dict[int, Entry] = {}
        self.versions: dict[int, tuple[int, bytes, int]] = {}
        self.established_term = 0
        self.elections = 0
        self._elected: set[tuple[int, str]] = set()  # term and leader of each checked election
        self._commit_indexes: dict[str, int] = {}  # of each leader at its last check, by machine
        self._checked_voter_changes: set[int] = set()  # indexes of their entries

    def report_violation(self, violation: str) -> None:
        """Record a violation, and add it to the transcript."""
        self.violations.append(violation)
        self.cluster.note(f"WRONG: {violation}")

    def on_started(self, controller: SimulatedController) -> None:
        """Record the node's identity, and check that its state machine is empty."""
        controller.machine.identity = controller.node.identity
        if controller.state_machine.state.version:
            self.report_violation(f"{controller.machine.name} starts with a non-empty state machine")

    def on_effects_carried_out(self, controller: SimulatedController, restored: bool) -> None:
        """Check a node after a step; `restored` if it loaded a snapshot."""
        node = controller.node
        if node.is_leader:
            if (node.term, node.identity) not in self._elected:
                self._elected.add((node.term, node.identity))
                self._check_election(controller)
            self._check_commit(controller)
            self._check_voters(controller)
        if node.has_committed_in_term and node.term > self.established_term:
            self.established_term, self.elections = node.term, self.elections + 1
            self.cluster.note(f"{controller.machine.name} leads term {node.term}")
        if restored:
            self._check_state(controller)

    def _check_election(self, controller: SimulatedController) -> None:
        """Check that the term has one leader, and that a majority's votes for it are durable."""
        node = controller.node
        if self.leaders.setdefault(node.term, node.identity) != node.identity:
            self.report_violation(
                f"two leaders in term {node.term}: {self.leaders[node.term]} and {node.identity}"
            )
        self._commit_indexes[controller.machine.name] = node.commit_index
        votes = [
            each.name
            for each in self.cluster.machines.values()
            if each.identity in node.voters
            and any(disk.has_synced_vote(node.term, node.identity) for disk in self._disk_states(each))
        ]
        if 2 * len(votes) <= len(node.voters):
            self.report_violation(
                f"{controller.machine.name} leads term {node.term} with votes durable at {votes} only"
            )

    def _disk_states(self, machine: Machine) -> list[Disk]:
        """Return the disk and, after a wipe, its former contents: messages based on them may be in flight."""
        return (
            [machine.disk]
            if machine.disk.contents_before_wipe is None
            else [machine.disk, machine.disk.contents_before_wipe]
        )

    def _check_commit(self, controller: SimulatedController) -> None:
        """Check that a leader commits only by entries of its own term (Raft, section 5.4.2)."""
        node, before = controller.node, self._commit_indexes.get(controller.machine.name, 0)
        if node.commit_index > before:
            self._commit_indexes[controller.machine.name] = node.commit_index
            if (
                node.log.term_at(node.commit_index) not in (node.term, -1)
                and node.commit_index > node.log.snapshot_index
            ):
                self.report_violation(
                    f"{controller.machine.name} commits entry {node.commit_index} "
                    f"of an earlier term by counting replicas"
                )

    def _check_voters(self, controller: SimulatedController) -> None:
        """Check that at most one voter change is pending, and most of its voters run and are caught up.

        Changes up to the leader's first entry are skipped: an earlier leader appended them.
        """
        node, log = controller.node, controller.node.log
        changes = [each for each in log.entries if each.voters is not None and each.index > node.commit_index]
        if (
            not changes
            or changes[-1].index in self._checked_voter_changes
            or changes[-1].index <= node.replication.first_index
        ):
            return
        change = changes[-1]
        self._checked_voter_changes.add(change.index)
        if len(changes) > 1:
            self.report_violation(
                f"{controller.machine.name} changes the voters before the previous change is committed"
            )
        commit, term = node.commit_index, log.term_at(node.commit_index)
        caught_up = [
            each.name
            for each in self.cluster.machines.values()
            if each.is_running and each.identity in change.voters and each.disk.has_synced(commit, term)
        ]
        if 2 * len(caught_up) <= len(change.voters):
            self.report_violation(
                f"{controller.machine.name} makes {sorted(change.voters)} voters; "
                f"only {caught_up} are caught up"
            )

    def on_lease_confirmed(self, controller: SimulatedController) -> None:
        """Check that a controller that is about to reply as the leader wasn't replaced by a later one."""
        if controller.node.term < self.established_term:
            self.report_violation(
                f"{controller.machine.name} replies as the leader of term {controller.node.term}, "
                f"though term {self.established_term} has an established leader"
            )

    def on_entry_applied(self, controller: SimulatedController, entry: Entry) -> None:
        """Check an applied entry against the one that other nodes have applied at that index."""
        committed = self.entries.get(entry.index)
        if committed is None:
            self.entries[entry.index] = entry
            self._check_majority(controller, entry)
            if entry.data:
                self._record_version(controller, entry)
        elif committed != entry:
            self.report_violation(
                f"{controller.machine.name} applies entry {entry.index} differently from the committed one"
            )

    def _check_majority(self, controller: SimulatedController, entry: Entry) -> None:
        """Check that a newly committed entry is durable on a majority of the voters' disks."""
        voters = controller.node.voters
        holders = [
            each.name
            for each in self.cluster.machines.values()
            if each.identity in voters
            and any(disk.has_synced(entry.index, entry.term) for disk in self._disk_states(each))
        ]
        if 2 * len(holders) <= len(voters):
            self.report_violation(
                f"{controller.machine.name} commits entry {entry.index}, "
                f"durable at {holders} only of {len(voters)} voters"
            )

    def _record_version(self, controller: SimulatedController, entry: Entry) -> None:
        """Record the version of a newly committed entry, if it was accepted, and check its base."""
        command = _COMMAND_DECODER.decode(entry.data)
        state = controller.state_machine.state
        if (
            isinstance(command, NewVersion)
            and state.version == command.encoded.version
            and state.version not in self.versions
        ):
            self.versions[state.version] = (
                command.encoded.base,
                state.configuration,
                self.cluster.loop.now_us,
            )
            bases = [base for base, _, _ in self.versions.values()]
            if len(bases) != len(set(bases)):
                self.report_violation(
                    f"version {state.version} is the second version with base {command.encoded.base}"
                )

    def _check_state(self, controller: SimulatedController) -> None:
        """Check the configuration that a controller has restored from a snapshot against the log."""
        state = controller.state_machine.state
        if (
            state.version
            and state.version in self.versions
            and self.versions[state.version][1] != state.configuration
        ):
            self.report_violation(
                f"{controller.machine.name} restored a configuration unlike version {state.version}"
            )

    def have_all_caught_up(self) -> bool:
        """Whether all running nodes know all committed entries as committed; some may still be in flight."""
        newest = max(self.entries, default=0)
        nodes = [machine.controller.node for machine in self.cluster.running_machines()]
        return all(node is not None and node.commit_index >= newest for node in nodes)

    def check_final_state(self) -> None:
        """Check after the quiet period that there is a leader, and that all running nodes agree with it."""
        leader = self.cluster.leader()
        if leader is None or not leader.controller.node.has_committed_in_term:
            self.report_violation("no established leader after the quiet period")
            return
        newest = max(self.entries, default=0)
        for machine in self.cluster.running_machines():
            node = machine.controller.node
            if node is None or node.commit_index < newest:
                commit_index = node.commit_index if node is not None else 0
                self.report_violation(
                    f"{machine.name} has commit index {commit_index} of {newest} after the quiet period"
                )
            elif (
                machine.controller.state_machine.state.version
                != leader.controller.state_machine.state.version
            ):
                self.report_violation(f"{machine.name} has a different configuration version than the leader")
            elif (
                machine.controller.state_machine.state.operations
                != leader.controller.state_machine.state.operations
            ):
                self.report_violation(f"{machine.name} has different operation records than the leader")
        if leader.controller.node.state.now_us < self.cluster.loop.now_us - SECOND:
            self.report_violation("the leader has not run for a second")
