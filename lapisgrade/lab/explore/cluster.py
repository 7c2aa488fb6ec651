"""A cluster of consensus nodes in simulated time, with message loss, partitions, crashes and wiped disks.

The nodes are instances of the I/O-free `consensus.node.Node`; this module simulates their process, disk and
network. A crash loses records that were not synced. A run is reproducible from its seed.
"""

import heapq
from dataclasses import dataclass
from random import Random

import msgspec

from lapisgrade.gateway.consensus.messages import JoinRequest, Message
from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.records import DurableWrite, Record, SnapshotRecord
from lapisgrade.lab.explore.exploration import transcript_up_to_violation

SECOND = 1_000_000  # us
MESSAGE_LOSS = 0.02  # probability that a message between two nodes is lost
FIRST_JOIN_US = 50_000  # time from the start of a node to its first join attempt
JOIN_INTERVAL_US = 300_000  # interval between join attempts
MIN_TICK_US, MAX_TICK_US = 1_000, 20_000  # bounds on the time between ticks of a node

_RECORD_DECODER = msgspec.msgpack.Decoder(Record)


@dataclass(frozen=True, slots=True)
class Tick:
    """A node's timer fires; `incarnation` is the node's when the timer was set."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class JoinAttempt:
    """A node without a leader, or not among the voters, sends a join request to all others."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class WriteCompletion:
    """A write is durable on a node's disk."""

    incarnation: int
    write: DurableWrite


@dataclass(frozen=True, slots=True)
class Arrival:
    """A message arrives at a node, whatever its incarnation is."""

    message: Message


Event = Tick | JoinAttempt | WriteCompletion | Arrival


class Cluster:
    """Consensus nodes with one-letter names, and the simulated network between them."""

    def __init__(self, seed: int, names: str = "abc") -> None:
        """Start the nodes `names` for the first time; all are voters."""
        self.random = Random(seed)
        self.now_us = 0
        self.blocked_links: set[tuple[str, str]] = set()  # source and destination
        self.nodes: dict[str, Node | None] = {}  # None for a node that isn't running
        self.disks: dict[str, list[bytes]] = {}  # synced records by node
        self.incarnations: dict[str, int] = {}  # by node; grows at each start and each kill
        self.applied: dict[str, list[bytes]] = {}  # applied commands by node
        self.acknowledged: dict[bytes, tuple[str, int]] = {}  # leader and term by command
        self.leaders: dict[int, str] = {}  # by term
        self.violations: list[str] = []
        self.transcript_lines: list[str] = []
        self._events: list[tuple[int, int, str, Event]] = []  # heap of (time (us), sequence, node, event)
        self._event_count = 0
        self._disk_busy_until_us: dict[str, int] = {}
        voters = {name: address_of(name) for name in names}
        for name in names:
            self.start(name, dict(voters))

    # ---- nodes

    def start(self, name: str, voters: dict[str, str] | None = None, identity: str = "") -> None:
        """Start a node from its disk; `voters` and `identity` are used only if the disk is empty."""
        address, incarnation = address_of(name), self.incarnations.get(name, 0) + 1
        self.incarnations[name] = incarnation
        self.applied[name] = []
        records = [_RECORD_DECODER.decode(data) for data in self.disks.get(name, [])]
        random = Random(self.random.random())
        if records:
            node = Node.recover(records, address, random, self.now_us)
        else:
            node = Node(identity or name, address, random, self.now_us, voters)
            self._rewrite_disk(name, node)
        self.nodes[name] = node
        self._schedule(FIRST_JOIN_US, name, JoinAttempt(incarnation))
        self.carry_out_effects(name)
        self._schedule(0, name, Tick(incarnation))

    def restart_stopped(self, names: str) -> None:
        """Start the nodes that aren't running; a node with a wiped disk gets a new identity."""
        for name in names:
            if self.nodes[name] is None:
                self.start(name, identity=f"{name}{self.incarnations[name]}")

    def kill(self, name: str, wipe: bool = False) -> None:
        """Cut a node's power: it loses unsynced records, or with `wipe` its whole disk."""
        self.note(f"{name} is killed" + (" and its disk wiped" if wipe else ""))
        self.nodes[name] = None
        self.incarnations[name] += 1
        if wipe:
            self.disks[name] = []

    def isolate(self, name: str, names: str, one_way: bool) -> None:
        """Block the links from a node to the others and, unless `one_way`, those to it."""
        self.note(f"{name} is isolated" + (" (outbound only)" if one_way else ""))
        others = [other for other in names if other != name]
        self.blocked_links = {(name, other) for other in others}
        if not one_way:
            self.blocked_links |= {(other, name) for other in others}

    def leader(self) -> str:
        """Return the name of the first node that is a leader, or an empty string."""
        return next((name for name, node in self.nodes.items() if node is not None and node.is_leader), "")

    def leader_node(self) -> Node:
        """Return the leader's node; there must be one."""
        node = self.nodes[self.leader()]
        assert node is not None
        return node

    def propose(self, data: bytes) -> str:
        """Propose a command at the leader; return the leader's name, or an empty string."""
        name = self.leader()
        if name:
            node = self.leader_node()
            node.advance_clock(self.now_us)
            node.propose(data)
            self.carry_out_effects(name)
        return name

    # ---- time

    def run(self, seconds: float) -> None:
        """Process all events of the next `seconds`; events of earlier incarnations of a node are ignored."""
        end_us = self.now_us + int(seconds * SECOND)
        while self._events and self._events[0][0] <= end_us:
            self.now_us, _, name, event = heapq.heappop(self._events)
            node = self.nodes.get(name)
            is_current = isinstance(event, Arrival) or event.incarnation == self.incarnations[name]
            if node is None or not is_current:
                continue
            self._handle(name, node, event)
            self.carry_out_effects(name)
            if node.needs_compaction():
                node.compact(b"|".join(self.applied[name]))
        self.now_us = end_us

    def _schedule(self, delay_us: int, name: str, event: Event) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (self.now_us + delay_us, self._event_count, name, event))

    def _handle(self, name: str, node: Node, event: Event) -> None:
        match event:
            case Tick():
                node.tick(self.now_us)
                delay_us = min(MAX_TICK_US, max(MIN_TICK_US, node.next_tick_us - self.now_us))
                self._schedule(delay_us, name, event)
            case Arrival():
                node.receive(self.now_us, event.message)
            case JoinAttempt():
                if not node.leader or node.identity not in node.voters:
                    for other in self.nodes:
                        self.send(name, other, JoinRequest(node.identity, node.address))
                self._schedule(JOIN_INTERVAL_US, name, event)
            case WriteCompletion():
                self._complete_write(name, node, event.write)

    def _complete_write(self, name: str, node: Node, write: DurableWrite) -> None:
        """Store a write on the disk, inform the node, and send the messages that waited for it.

        After a write with a snapshot record, the disk holds only a new snapshot of the node's present state.
        """
        if any(isinstance(record, SnapshotRecord) for record in write.records):
            self._rewrite_disk(name, node)
            node.on_write_durable(self.now_us, node.log.last_index, node.log.last_term)
        else:
            self.disks[name] += [msgspec.msgpack.encode(record) for record in write.records]
            node.on_write_durable(self.now_us, write.last_index, write.last_term)
        for address, message in write.sends_when_durable:
            self.send(name, name_at(address), message)

    def _rewrite_disk(self, name: str, node: Node) -> None:
        self.disks[name] = [msgspec.msgpack.encode(node.snapshot_record())]

    # ---- effects

    def carry_out_effects(self, name: str) -> None:
        """Carry out a node's writes, commits and sends; check that it is the only leader of its term."""
        node = self.nodes[name]
        assert node is not None
        effects = node.take_effects()
        for write in effects.writes:
            # A disk processes one write after another.
            earliest_us = self._disk_busy_until_us.get(name, 0) + 1
            done_us = max(earliest_us, self.now_us + self.random.randrange(500, 6000))
            self._disk_busy_until_us[name] = done_us
            self._schedule(done_us - self.now_us, name, WriteCompletion(self.incarnations[name], write))
        commands = [entry.data for entry in effects.committed if entry.data]
        self.applied[name] += commands
        if node.is_leader:
            self._check_leader(name, node.term)
            for command in commands:
                self.acknowledged[command] = (name, node.term)
        for address, message in effects.sends:
            self.send(name, name_at(address), message)

    def _check_leader(self, name: str, term: int) -> None:
        if term not in self.leaders:
            self.note(f"{name} leads term {term}")
        if self.leaders.setdefault(term, name) != name:
            self.report_violation("two leaders in the same term")

    def send(self, source: str, destination: str, message: Message) -> None:
        """Deliver a message after a network delay, unless its link is blocked or it is lost."""
        is_blocked = (source, destination) in self.blocked_links
        if not is_blocked and (source == destination or self.random.random() > MESSAGE_LOSS):
            self._schedule(self.random.randrange(300, 5000), destination, Arrival(message))

    # ---- findings

    @property
    def has_violation(self) -> bool:
        """Whether an invariant was violated."""
        return bool(self.violations)

    def note(self, text: str) -> None:
        """Add a line to the transcript."""
        self.transcript_lines.append(f"{self.now_us / SECOND:9.3f} s  {text}")

    def report_violation(self, violation: str) -> None:
        """Record a violated invariant."""
        self.violations.append(violation)
        self.note(f"WRONG: {violation}")

    def transcript(self) -> list[str]:
        """Return the transcript lines that lead to the first violation."""
        return transcript_up_to_violation(self.transcript_lines)


def address_of(name: str) -> str:
    """Return the address of the node with that name."""
    return f"10.0.0.{ord(name)}:1"


def name_at(address: str) -> str:
    """Return the name of the node at that address."""
    return chr(int(address.split(".")[3].split(":")[0]))
