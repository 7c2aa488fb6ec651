"""Runs one consensus node: carries out its effects, keeps its timer, and completes pending proposals.

`consensus.node.Node` is pure. After each call into it this module

    1. loads a snapshot into the state machine, if one was installed,
    2. hands records to the log writer; messages that depend on them are sent once they are on disk,
    3. applies the committed entries and completes the proposals that wait for them,
    4. sends the messages that depend on no write,
    5. hands the node its messages to itself, and repeats 1 to 4 for what they caused,
    6. replaces a long log by a snapshot,
    7. reports a change of leadership, and arms the timer for the node's next deadline.

Records come before what may fail (guards the log against a hole: a later write counts as durable with all
that was written before it).

A controller without a disk has no node: its driver is never started, never leads, and proposes nothing. Nor
has one that met an entry or a snapshot that it can't read: the driver gives up its node and reports that.
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
from lapisgrade.gateway.controller.change_validation import ApplyResult
from lapisgrade.gateway.controller.commands import LogCommand, encode_command
from lapisgrade.gateway.controller.log_writer import LogWriter
from lapisgrade.gateway.controller.metrics import ControllerMetrics
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.errors import UnreadableLogError

log = logging.getLogger("controller")

COMMIT_TIMEOUT_S = 0.85  # that a proposal waits for a majority; below call_forwarding.FORWARD_TIMEOUT_S
MIN_TIMER_S = 0.0005  # between two timers of the node, so that one that is overdue can't starve the loop


class LeaderTasks(Protocol):
    """What a controller does as a leader, beside its part in the consensus."""

    def become_leader(self, term: int) -> None:
        """Start anew from the state machine, which now has all that was committed in earlier terms."""

    def on_applied(self) -> None:
        """React to a change of the state machine."""

    def on_timer(self) -> None:
        """Notice what time alone has changed; called on the established leader at each timer of the node."""

    def due_commands(self) -> list[LogCommand | None]:
        """Return commands to propose now; called on a leader with a lease at each timer of the node."""

    def notify_watchers(self) -> None:
        """Have pending watch requests looked at again."""


class NodeNotStartedError(LapisgradeError):
    """Something was asked of the consensus node of a controller that has none, or not yet."""


class ConsensusObserver:
    """Is called at the steps of a driver; the laboratory's invariants are checked there. Does nothing."""

    def on_started(self) -> None:
        """The node was created or recovered; nothing is applied yet."""

    def on_lease_confirmed(self) -> None:
        """A request is about to be served by this node as the leader."""

    def on_entry_applied(self, entry: Entry) -> None:
        """A committed entry was applied and its proposal completed."""

    def on_effects_carried_out(self, restored: bool) -> None:
        """The node's effects were carried out; `restored` if a snapshot was loaded."""


class ConsensusDriver:
    """Drives `node`; `start` it once the disk was read."""

    def __init__(
        self,
        state_machine: StateMachine,
        send: Callable[[str, ConsensusMessage], None],
        clock: Callable[[], int],
        metrics: ControllerMetrics,
        observer: ConsensusObserver,
        on_unreadable_log: Callable[[UnreadableLogError], None],
    ) -> None:
        """Drive no node yet.

        Args:
            state_machine: Committed entries are applied to it.
            send: Posts a message to an address.
            clock: Tells the steady time in us.
            metrics: Elections, entries and proposals are counted here.
            observer: Is called at each step.
            on_unreadable_log: Is called once the node was given up; the process has to end.
        """
        self.node: Node | None = None
        self.is_established = False  # the node leads and has applied what earlier terms committed
        self._state_machine = state_machine
        self._send = send
        self._clock = clock
        self._metrics = metrics
        self.observer = observer
        self._on_unreadable_log = on_unreadable_log
        self._log_writer: LogWriter  # set by `start`, as the next one
        self._leader_tasks: LeaderTasks
        self._pending_proposals: dict[
            tuple[int, int], asyncio.Future[ApplyResult | None]
        ] = {}  # by index and term
        self._timer: asyncio.TimerHandle | None = None
        self._light_entries = 0  # applied since the last snapshot, see `Node.needs_compaction`

    def start(self, node: Node, log_writer: LogWriter, leader_tasks: LeaderTasks) -> None:
        """Drive that node from the next `step` on."""
        self.node = node
        self._log_writer = log_writer
        self._leader_tasks = leader_tasks
        self.observer.on_started()

    @property
    def started_node(self) -> Node:
        """The node, for what runs only after `start`."""
        if self.node is None:
            raise NodeNotStartedError("this controller has no consensus node, or has not started it yet")
        return self.node

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    # ---- queries

    def is_leader(self) -> bool:
        """Return whether this node may serve as the leader now: established, and with a valid lease."""
        if self.node is None:
            return False
        self.node.advance_clock(self._clock())
        is_leader = self.is_established and not self.node.is_stopping and self.node.has_lease()
        if is_leader:
            self.observer.on_lease_confirmed()
        return is_leader

    def voter_addresses(self) -> list[str]:
        """Return the addresses of the voters, sorted; they take watch requests and calls."""
        return sorted(set(self.node.voters.values())) if self.node is not None else []

    # ---- inputs of the node

    def receive(self, message: ConsensusMessage) -> None:
        """Hand a message of another controller to the node."""
        if self.node is not None:
            self.node.receive(self._clock(), message)
            self.step()

    def on_written(self, writes: list[DurableWrite], last_index: int, last_term: int) -> None:
        """Note that those writes are on disk, and send the messages that waited for them."""
        node = self.node
        if node is None:
            return  # it was given up meanwhile
        node.on_write_durable(self._clock(), last_index, last_term)
        for write in writes:
            for address, message in write.sends_when_durable:
                if address == node.address:
                    node.receive(self._clock(), message)
                else:
                    self._send(address, message)
        self.step()

    def step_down(self) -> None:
        """Give up leadership, to a voter with a complete log where there is one."""
        self.started_node.step_down()
        self.step()

    async def propose(self, data: bytes, announces_commit: bool = True) -> ApplyResult | None:
        """Put an encoded command into the log and wait until it is applied.

        Args:
            data: The encoded command.
            announces_commit: As for `Node.propose`.

        Returns:
            The state machine's result. None if this node doesn't lead, or if the outcome is not known
            within `COMMIT_TIMEOUT_S`: the command may be applied later.
        """
        position = self.started_node.propose(data, announces_commit)
        if position is None:
            return None
        future: asyncio.Future[ApplyResult | None] = asyncio.get_running_loop().create_future()
        self._pending_proposals[position] = future
        self.step()
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                return await future
        except TimeoutError:
            return None
        finally:
            self._pending_proposals.pop(position, None)

    def propose_all(self, commands: Iterable[LogCommand | None]) -> None:
        """Propose the leader's own commands, waiting for none; the next `step` sends them."""
        for command in commands:
            if command is not None:
                self._metrics.commands_proposed[type(command).__name__] += 1
                self.started_node.propose(encode_command(command))

    # ---- effects of the node

    def step(self) -> None:
        """Carry out the node's effects and arm its timer."""
        node = self.node
        if node is None:
            return
        try:
            self._carry_out_all_effects(node)
        except UnreadableLogError as error:
            self._give_up_node(error)
            return
        self._follow_leadership(node)
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

    def _give_up_node(self, error: UnreadableLogError) -> None:
        """Neither vote nor answer any more: the state lacks an entry that was committed."""
        self.node = None
        self.is_established = False
        self.close()
        self._fail_pending_proposals()
        self._on_unreadable_log(error)

    def _carry_out_effects(self, node: Node) -> bool:
        """Return whether the node sent messages to itself, which may have had effects of their own."""
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
        if entry.voters is not None:
            self._metrics.membership_changes += 1
            log.info("voters: %s", sorted(entry.voters.values()))
        result = ApplyResult(HTTPStatus.OK)
        if entry.data:
            result = self._state_machine.apply(entry.index, entry.data)
            self._metrics.entries_applied += 1
            if result.concerns_claims_alone:
                self._light_entries += 1
            else:
                self._on_applied()
        future = self._pending_proposals.pop((entry.index, entry.term), None)
        if future is not None and not future.done():
            future.set_result(result)
        self.observer.on_entry_applied(entry)

    def _on_applied(self) -> None:
        if self.is_established:
            self._leader_tasks.on_applied()
        self._leader_tasks.notify_watchers()

    def _follow_leadership(self, node: Node) -> None:
        # Not before the log of earlier terms is applied: a node that was restarted has an empty state until
        # then, and a list of live proxies begun from that would leave out proxies that still act.
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
        """Complete all proposals as unknown: another leader may still commit them."""
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
