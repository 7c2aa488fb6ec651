"""Runs one consensus node: carries out its effects, arms its timer, and completes pending proposals.

`consensus.node.Node` is pure. After each call into it this module

    1. loads a snapshot into the state machine, if one was installed,
    2. queues records at the log writer; messages that depend on them are sent once they are on disk,
    3. applies the committed entries and completes the proposals that wait for them,
    4. sends the messages that depend on no write,
    5. delivers the messages that the node sent to itself, and repeats 1 to 4 for their effects,
    6. replaces a long log by a snapshot,
    7. reports a change of leadership, and arms the timer for the node's next deadline.

Records are queued before any step that may fail. A durable write implies that all earlier writes are durable,
so a write that a failed step discards would leave a hole in the log.

A controller without a disk has no node: its driver is never started, never leads, and proposes nothing. At a
committed entry or a snapshot that this release can't read, the driver drops the node and reports the error.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Protocol

from lapisgrade.errors import LapisgradeError
from lapisgrade.gateway import SECOND
from lapisgrade.gateway.consensus.messages import Entry
from lapisgrade.gateway.consensus.messages import Message as ConsensusMessage
from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.records import DurableWrite
from lapisgrade.gateway.consensus.replication import MAX_ENTRY_BYTES
from lapisgrade.gateway.controller.change_validation import ApplyResult
from lapisgrade.gateway.controller.commands import LogCommand, encode_command
from lapisgrade.gateway.controller.log_writer import LogWriter
from lapisgrade.gateway.controller.metrics import ControllerMetrics
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.errors import UnreadableLogError
from lapisgrade.net.rate_limited_log import RateLimitedLog

log = logging.getLogger("controller")
_oversized_log = RateLimitedLog("controller", log.error)

COMMIT_TIMEOUT_S = 0.85  # time-out for committing a proposal; below call_forwarding.FORWARD_TIMEOUT_S
MIN_TIMER_S = 0.0005  # minimum delay of the node's timer; an overdue timer must not starve the event loop


class LeaderTasks(Protocol):
    """The tasks of a leader outside of consensus."""

    def become_leader(self, term: int) -> None:
        """Start as the leader of `term`; the state machine has applied all entries of earlier terms."""

    def on_applied(self, is_established: bool) -> None:
        """React to a change of the state machine's state, on any controller.

        `is_established` tells whether this controller is the leader and has applied all entries of earlier
        terms.
        """

    def on_timer(self) -> None:
        """Apply time-outs; called on the established leader at each timer of the node."""

    def due_commands(self) -> list[LogCommand | None]:
        """Return the commands to propose now; called on a leader with a lease at each timer of the node."""

    def notify_watchers(self) -> None:
        """Re-evaluate pending watch requests."""


class NodeNotStartedError(LapisgradeError):
    """The consensus node was used on a controller that has none, or before it was started."""


class ConsensusObserver:
    """Receives callbacks from a driver. Does nothing; the laboratory checks invariants in a subclass."""

    def on_started(self) -> None:
        """The node was created or recovered; nothing is applied yet."""

    def on_lease_confirmed(self) -> None:
        """This node is about to serve a request as the leader."""

    def on_entry_applied(self, entry: Entry) -> None:
        """A committed entry was applied and its proposal completed."""

    def on_effects_carried_out(self, restored: bool) -> None:
        """The node's effects were carried out; `restored` is True if a snapshot was loaded."""


class ConsensusDriver:
    """Drives `node`; call `start` after the disk was read."""

    def __init__(
        self,
        state_machine: StateMachine,
        send: Callable[[str, ConsensusMessage], None],
        clock: Callable[[], int],
        metrics: ControllerMetrics,
        observer: ConsensusObserver,
        on_unreadable_log: Callable[[UnreadableLogError], None],
    ) -> None:
        """Create a driver without a node.

        Args:
            state_machine: The state machine to which committed entries are applied.
            send: Posts a message to an address.
            clock: Returns the monotonic time in us.
            metrics: The counters of elections, entries and proposals.
            observer: Receives a callback at each step.
            on_unreadable_log: Called after the node was dropped; the process must end.
        """
        self.node: Node | None = None
        self.is_established = False  # whether the node leads and has applied all entries of earlier terms
        self._state_machine = state_machine
        self._send = send
        self._clock = clock
        self._metrics = metrics
        self.observer = observer
        self._on_unreadable_log = on_unreadable_log
        self._log_writer: LogWriter  # set by `start`, like the next attribute
        self._leader_tasks: LeaderTasks
        self._pending_proposals: dict[
            tuple[int, int], asyncio.Future[ApplyResult | None]
        ] = {}  # by index and term of the log entry
        self._timer: asyncio.TimerHandle | None = None
        # Entries since the last snapshot that changed only operations; see `Node.needs_compaction`.
        self._light_entries = 0

    def start(self, node: Node, log_writer: LogWriter, leader_tasks: LeaderTasks) -> None:
        """Drive `node` from the next `step` on."""
        self.node = node
        self._log_writer = log_writer
        self._leader_tasks = leader_tasks
        self.observer.on_started()

    @property
    def started_node(self) -> Node:
        """The node, for code that runs only after `start`."""
        if self.node is None:
            raise NodeNotStartedError("this controller has no disk, or its consensus node is not started yet")
        return self.node

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    # ---- queries

    def is_leader(self) -> bool:
        """Return whether this node may serve as the leader now: it is established and has a valid lease."""
        if self.node is None:
            return False
        self.node.advance_clock(self._clock())
        is_leader = self.is_established and not self.node.is_stopping and self.node.has_lease()
        if is_leader:
            self.observer.on_lease_confirmed()
        return is_leader

    def voter_addresses(self) -> list[str]:
        """Return the sorted addresses of the voters, which accept watch requests and calls."""
        return sorted(set(self.node.voters.values())) if self.node is not None else []

    def unapplied_entries(self) -> list[Entry]:
        """Return the entries of the node's log that are not committed, and so not applied yet."""
        return self.node.log.entries_after(self.node.commit_index) if self.node is not None else []

    # ---- inputs of the node

    def receive(self, message: ConsensusMessage) -> None:
        """Deliver a message of another controller to the node."""
        if self.node is not None:
            self.node.receive(self._clock(), message)
            self.step()

    def on_written(self, writes: list[DurableWrite], last_index: int, last_term: int) -> None:
        """Tell the node that writes are on disk, and send the messages that depend on them.

        Args:
            writes: The writes of the batch, in order.
            last_index: The index of the last log entry on disk.
            last_term: The term of that entry.
        """
        node = self.node
        if node is None:
            return  # the node was dropped during the write
        node.on_write_durable(self._clock(), last_index, last_term)
        for write in writes:
            for address, message in write.sends_when_durable:
                if address == node.address:
                    node.receive(self._clock(), message)
                else:
                    self._send(address, message)
        self.step()

    def step_down(self) -> None:
        """Transfer leadership to a voter with a complete log, if there is one, and step down."""
        self.started_node.step_down()
        self.step()

    async def propose(
        self, data: bytes, announces_commit: bool = True, timeout_s: float = COMMIT_TIMEOUT_S
    ) -> ApplyResult | None:
        """Append an encoded command to the log and wait until it is applied.

        Args:
            data: The encoded command.
            announces_commit: As for `Node.propose`.
            timeout_s: The maximum time until the command is applied.

        Returns:
            The state machine's result; 413 if the command is too large for an entry of the log. None if this
            node doesn't lead, or if the command is not applied within `timeout_s`; it may be applied later.
        """
        if len(data) > MAX_ENTRY_BYTES:
            return ApplyResult(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the change is too large for the log")
        position = self.started_node.propose(data, announces_commit)
        if position is None:
            return None
        future: asyncio.Future[ApplyResult | None] = asyncio.get_running_loop().create_future()
        self._pending_proposals[position] = future
        self.step()
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None
        finally:
            self._pending_proposals.pop(position, None)

    def propose_all(self, commands: Iterable[LogCommand | None]) -> None:
        """Propose the leader's own commands without waiting; the next `step` sends them.

        A command that is too large for an entry of the log is dropped and logged.
        """
        for command in commands:
            if command is None:
                continue
            name, data = type(command).__name__, encode_command(command)
            if len(data) > MAX_ENTRY_BYTES:
                _oversized_log.write(f"dropped a command {name} of {len(data)} bytes")
                continue
            self._metrics.commands_proposed[name] += 1
            self.started_node.propose(data)

    # ---- effects of the node

    def step(self) -> None:
        """Carry out the node's effects and arm its timer; call after each input to the node."""
        node = self.node
        if node is None:
            return
        try:
            self._carry_out_all_effects(node)
        except UnreadableLogError as error:
            self._drop_node(error)
            return
        self._update_leadership(node)
        if self._timer is not None:
            self._timer.cancel()
        delay_s = max(MIN_TIMER_S, (node.next_tick_us - self._clock()) / SECOND)
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _carry_out_all_effects(self, node: Node) -> None:
        while self._carry_out_effects(node):
            pass
        if node.needs_compaction(self._light_entries):
            node.compact(self._state_machine.dump())
            self._light_entries = 0
            self._carry_out_effects(node)

    def _drop_node(self, error: UnreadableLogError) -> None:
        """Stop voting and serving, because the state lacks a committed entry."""
        self.node = None
        self.is_established = False
        self.close()
        self._fail_pending_proposals()
        self._on_unreadable_log(error)

    def _carry_out_effects(self, node: Node) -> bool:
        """Carry out the pending effects.

        Returns:
            Whether the node sent messages to itself, which may have caused further effects.
        """
        effects = node.take_effects()
        if effects.snapshot is not None:
            self._state_machine.load(effects.snapshot)
            self._light_entries = 0
            self._on_applied()
        for write in effects.writes:
            self._log_writer.put(write)
        for entry in effects.committed:
            self._apply(entry)
        own_messages = []
        for address, message in effects.sends:
            if address == node.address:
                own_messages.append(message)
            else:
                self._send(address, message)
        for message in own_messages:
            node.receive(self._clock(), message)
        self.observer.on_effects_carried_out(effects.snapshot is not None)
        return bool(own_messages)

    def _apply(self, entry: Entry) -> None:
        """Apply a committed entry, and complete the proposal that waits for it."""
        if entry.voters is not None:
            self._metrics.membership_changes += 1
            log.info("voters: %s", sorted(entry.voters.values()))
        result = ApplyResult(HTTPStatus.OK)
        if entry.data:
            result = self._state_machine.apply(entry.index, entry.data)
            self._metrics.entries_applied += 1
            if result.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:  # of an earlier release
                self._metrics.oversized_entries += 1
                log.warning("log entry %d has no effect: %s", entry.index, result.reason)
            if result.changes_only_operations:
                self._light_entries += 1
            else:
                self._on_applied()
        future = self._pending_proposals.pop((entry.index, entry.term), None)
        if future is not None and not future.done():
            future.set_result(result)
        self.observer.on_entry_applied(entry)

    def _on_applied(self) -> None:
        """Inform the leader's tasks and the watchers of a change of the state."""
        self._leader_tasks.on_applied(self.is_established)
        self._leader_tasks.notify_watchers()

    def _update_leadership(self, node: Node) -> None:
        """Report that the node became the established leader, or that it no longer leads."""
        # The node is established only after it has applied the log of earlier terms. A restarted node has an
        # empty state until then, and a list of live proxies made from it would omit proxies that are still
        # active.
        if node.has_committed_in_term == self.is_established:
            return
        self.is_established = node.has_committed_in_term
        log.info("term %d: %s", node.term, "leads" if self.is_established else "follows")
        if self.is_established:
            self._metrics.elections_won += 1
            self._leader_tasks.become_leader(node.term)
        else:
            self._fail_pending_proposals()
        self._leader_tasks.notify_watchers()

    def _fail_pending_proposals(self) -> None:
        """Complete all proposals with an unknown outcome; another leader may still commit them."""
        pending, self._pending_proposals = self._pending_proposals, {}
        for future in pending.values():
            if not future.done():
                future.set_result(None)

    def _on_timer(self) -> None:
        self.started_node.tick(self._clock())
        if self.is_established:
            self._leader_tasks.on_timer()
        if self.is_leader():
            self.propose_all(self._leader_tasks.due_commands())
        self.step()
