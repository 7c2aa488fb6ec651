"""Invariants of the control plane, checked at every step of every process from outside.

- One leader a term, by votes that are durable on a majority of the voters' disks.
- A committed entry is durable on a majority of the voters' disks, and all apply the same entries.
- A controller that answers as the leader knows of no later leader.
- Voters change one at a time, to a set whose majority has what was committed.
- One version of the configuration on each base.

Violations are kept in `Invariants.violations`.
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
    """The cluster as the invariants see it."""

    loop: VirtualLoop
    machines: dict[str, Machine]

    def note(self, what: str) -> None:
        """Add a line to the transcript."""

    def leader(self) -> Machine | None:
        """Return the machine that leads in the newest term."""

    def running_machines(self) -> list[Machine]:
        """Return the machines whose processes are alive."""


class Invariants:
    """The checks, and what they must remember.

    `versions` is the history of the configuration as the log has it: version to its base, its text, and the
    time (us) at which it was first seen committed.
    """

    def __init__(self, cluster: CheckedCluster) -> None:
        self.cluster = cluster
        self.violations: list[str] = []
        self.leaders: dict[int, str] = {}
        self.entries: dict[int, Entry] = {}  # committed, by index
        self.versions: dict[int, tuple[int, bytes, int]] = {}
        self.established_term = 0
        self.elections = 0
        self._elected: set[tuple[int, str]] = set()
        self._commits: dict[str, int] = {}  # of those that lead, by machine
        self._changes: set[int] = set()  # entries that change the voters, once checked

    def report_violation(self, what: str) -> None:
        """Keep a violation, and add it to the transcript."""
        self.violations.append(what)
        self.cluster.note(f"WRONG: {what}")

    def on_started(self, controller: SimulatedController) -> None:
        """Note the node's identity; its state machine must begin empty."""
        controller.machine.identity = controller.node.identity
        if controller.state_machine.state.version:
            self.report_violation(f"{controller.machine.name} begins with a state")

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
        """One leads a term, by votes that are on the disks of a majority."""
        node = controller.node
        if self.leaders.setdefault(node.term, node.identity) != node.identity:
            self.report_violation(f"two lead term {node.term}: {self.leaders[node.term]} and {node.identity}")
        self._commits[controller.machine.name] = node.commit_index
        votes = [
            each.name
            for each in self.cluster.machines.values()
            if each.identity in node.voters
            and any(disk.has_synced_vote(node.term, node.identity) for disk in self._disks(each))
        ]
        if 2 * len(votes) <= len(node.voters):
            self.report_violation(
                f"{controller.machine.name} leads term {node.term} by votes on disk at {votes} alone"
            )

    def _disks(self, machine: Machine) -> list[Disk]:
        """The disk, and where it was emptied a moment ago what was on it: its last words may be under way."""
        return (
            [machine.disk]
            if machine.disk.contents_before_wipe is None
            else [machine.disk, machine.disk.contents_before_wipe]
        )

    def _check_commit(self, controller: SimulatedController) -> None:
        """A leader commits by an entry of its own term, never by copies of an earlier one's (Raft, 5.4.2)."""
        node, before = controller.node, self._commits.get(controller.machine.name, 0)
        if node.commit_index > before:
            self._commits[controller.machine.name] = node.commit_index
            if (
                node.log.term_at(node.commit_index) not in (node.term, -1)
                and node.commit_index > node.log.snapshot_index
            ):
                self.report_violation(
                    f"{controller.machine.name} commits entry {node.commit_index} "
                    f"of an earlier term by its copies"
                )

    def _check_voters(self, controller: SimulatedController) -> None:
        """One change of voters at a time, which leaves a majority that lives and has what was committed."""
        node, log = controller.node, controller.node.log
        changes = [each for each in log.entries if each.voters is not None and each.index > node.commit_index]
        if (
            not changes
            or changes[-1].index in self._changes
            or changes[-1].index <= node.replication.first_index
        ):
            return
        change = changes[-1]
        self._changes.add(change.index)
        if len(changes) > 1:
            self.report_violation(
                f"{controller.machine.name} changes the voters before the change before is committed"
            )
        commit, term = node.commit_index, log.term_at(node.commit_index)
        ready = [
            each.name
            for each in self.cluster.machines.values()
            if each.is_running and each.identity in change.voters and each.disk.has_synced(commit, term)
        ]
        if 2 * len(ready) <= len(change.voters):
            self.report_violation(
                f"{controller.machine.name} makes {sorted(change.voters)} voters; only {ready} are caught up"
            )

    def on_lease_confirmed(self, controller: SimulatedController) -> None:
        """Check a controller that is about to answer as the leader."""
        if controller.node.term < self.established_term:
            self.report_violation(
                f"{controller.machine.name} serves in term {controller.node.term}, "
                f"after one of term {self.established_term} has"
            )

    def on_entry_applied(self, controller: SimulatedController, entry: Entry) -> None:
        """Check an applied entry against what others applied at that index."""
        known = self.entries.get(entry.index)
        if known is None:
            self.entries[entry.index] = entry
            self._check_majority(controller, entry)
            if entry.data:
                self._record_version(controller, entry)
        elif known != entry:
            self.report_violation(
                f"{controller.machine.name} applies another entry {entry.index} than was committed"
            )

    def _check_majority(self, controller: SimulatedController, entry: Entry) -> None:
        """As an entry is first known to be committed, most voters have it on disk."""
        voters = controller.node.voters
        holding = [
            each.name
            for each in self.cluster.machines.values()
            if each.identity in voters
            and any(disk.has_synced(entry.index, entry.term) for disk in self._disks(each))
        ]
        if 2 * len(holding) <= len(voters):
            self.report_violation(
                f"{controller.machine.name} commits entry {entry.index}, "
                f"on disk at {holding} of {len(voters)} voters"
            )

    def _record_version(self, controller: SimulatedController, entry: Entry) -> None:
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
                self.report_violation(f"version {state.version} is the second one on {command.encoded.base}")

    def _check_state(self, controller: SimulatedController) -> None:
        state = controller.state_machine.state
        if (
            state.version
            and state.version in self.versions
            and self.versions[state.version][1] != state.configuration
        ):
            self.report_violation(f"{controller.machine.name} restored another version {state.version}")

    def is_caught_up(self) -> bool:
        """Whether all that run know what was committed; an entry may be in flight at any moment."""
        newest = max(self.entries, default=0)
        nodes = [machine.controller.node for machine in self.cluster.running_machines()]
        return all(node is not None and node.commit_index >= newest for node in nodes)

    def check_at_rest(self) -> None:
        """After a calm time: one leads, and all that run hold what was committed."""
        leader = self.cluster.leader()
        if leader is None or not leader.controller.node.has_committed_in_term:
            self.report_violation("nobody leads after a calm time")
            return
        newest = max(self.entries, default=0)
        for machine in self.cluster.running_machines():
            node = machine.controller.node
            if node is None or node.commit_index < newest:
                have = node.commit_index if node is not None else 0
                self.report_violation(f"{machine.name} has caught up to {have} of {newest} after a calm time")
            elif (
                machine.controller.state_machine.state.version
                != leader.controller.state_machine.state.version
            ):
                self.report_violation(f"{machine.name} has another version than the leader")
            elif (
                machine.controller.state_machine.state.operations
                != leader.controller.state_machine.state.operations
            ):
                self.report_violation(f"{machine.name} has other operations than the leader")
        if leader.controller.node.state.now_us < self.cluster.loop.now_us - SECOND:
            self.report_violation("the leader stands still")
