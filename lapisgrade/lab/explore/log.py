"""Exploration of the replicated log under crashes, partitions and wiped disks.

Acknowledged commands are never lost, and all logs agree. At most one disk is wiped at a time, which a cluster
of three must survive even if all nodes lose power at the same moment.
"""

from collections.abc import Iterator
from random import Random

import msgspec

from lapisgrade.gateway.consensus.follower import Follower
from lapisgrade.gateway.consensus.messages import AppendEntries, AppendEntriesReply
from lapisgrade.gateway.consensus.node import Node
from lapisgrade.gateway.consensus.replication import Replication
from lapisgrade.lab.explore.cluster import Cluster
from lapisgrade.lab.explore.defects import Defect, Defects
from lapisgrade.lab.explore.exploration import Exploration, ExplorationResult, Print, print_nothing

UNIT = "changes"
CRASHES = (KeyError, IndexError, msgspec.MsgspecError)
"""Exceptions that a node with an injected defect may raise."""

FAULTS = ("kill", "wipe", "isolate", "isolate one way", "kill all", "kill all and wipe one")


class Schedule:
    """Commands under one fault after another, then a period without faults."""

    def __init__(self, seed: int, names: str = "abc") -> None:
        """Create a cluster of nodes with these names."""
        self.random = Random(seed)
        self.names = names
        self.cluster = Cluster(seed, names)
        self._last_command_number = 0

    def run(self, fault_count: int = 8) -> Cluster:
        """Inject `fault_count` faults, check the logs, and return the cluster."""
        cluster = self.cluster
        cluster.run(2)
        for _ in range(fault_count):
            self._run_fault()
        cluster.run(3)
        check(cluster)
        return cluster

    def _run_fault(self) -> None:
        cluster, random = self.cluster, self.random
        victim = random.choice([*self.names, cluster.leader() or self.names[0]])
        fault = random.choice(FAULTS)
        for _ in range(random.randrange(1, 5)):
            cluster.propose(self._next_command())
            cluster.run(random.random() * random.choice((0.02, 0.005)))
        self._inject(fault, victim)
        for _ in range(random.randrange(4)):
            cluster.run(random.random())
            cluster.propose(self._next_command())
        cluster.blocked_links = set()
        cluster.restart_stopped(self.names)
        cluster.run(4)

    def _inject(self, fault: str, victim: str) -> None:
        cluster = self.cluster
        if fault == "kill all and wipe one":
            self._wait_for_acknowledgement()
        match fault:
            case "kill all" | "kill all and wipe one":
                for name in self.names:
                    cluster.kill(name, wipe=fault != "kill all" and name == victim)
            case "kill" | "wipe":
                cluster.kill(victim, wipe=fault == "wipe")
            case _:
                cluster.isolate(victim, self.names, one_way=fault == "isolate one way")

    def _wait_for_acknowledgement(self) -> None:
        """Propose a command and wait, 30 ms at most, until it is acknowledged; the fault follows at once."""
        command = self._next_command()
        self.cluster.propose(command)
        for _ in range(100):
            if command not in self.cluster.acknowledged:
                self.cluster.run(0.0003)

    def _next_command(self) -> bytes:
        self._last_command_number += 1
        return b"%d" % self._last_command_number


def simulate(seed: int, names: str = "abc", fault_count: int = 8) -> Cluster:
    """Run the schedule of a seed."""
    return Schedule(seed, names).run(fault_count)


def check(cluster: Cluster) -> None:
    """Check that all logs agree and contain every acknowledged command."""
    if not cluster.leader():
        cluster.report_violation("no leader after the period without faults")
        return
    committed = _committed_commands(cluster.leader_node())
    for command, (name, term) in cluster.acknowledged.items():
        if command not in committed:
            cluster.report_violation(f"{command!r} was acknowledged by {name} in term {term} and is lost")
    for name, node in cluster.nodes.items():
        assert node is not None
        commands = _committed_commands(node)
        if commands != committed[: len(commands)]:
            cluster.report_violation(f"{name} has a log that differs from the leader's")


def _committed_commands(node: Node) -> list[bytes]:
    committed = node.log.entries[: node.commit_index - node.log.snapshot_index]
    return [entry.data for entry in committed if entry.data]


# ---- defects

_kill = Cluster.kill


def _lose_last_synced(self: Cluster, name: str, wipe: bool = False) -> None:
    """A disk reports writes as synced, and loses the last of them on a power failure."""
    _kill(self, name, wipe)
    self.disks[name] = self.disks[name][:1] if len(self.disks[name]) < 5 else self.disks[name][:-4]


def _commit_alone(self: Replication) -> None:
    """A leader commits entries that are on its own disk only."""
    state = self.state
    if state.durable_index > state.commit_index and state.log.term_at(state.durable_index) == state.term:
        state.commit_up_to(state.durable_index)
        self.send_to_all(heartbeat=True)


def _acknowledge_unwritten(self: Follower, message: AppendEntries) -> None:
    """A follower acknowledges entries before they are on its disk."""
    state = self.state
    if message.term == state.term and message.leader == state.leader:
        reply = AppendEntriesReply(
            state.term, state.identity, state.address, True, self.agreed_index, message.sent_us
        )
        state.send(message.address, reply)


DEFECTS: Defects = {
    "lying-disk": Defect(Cluster, "kill", _lose_last_synced),
    "commits-alone": Defect(Replication, "advance_commit", _commit_alone),
    "says-before-written": Defect(Follower, "acknowledge", _acknowledge_unwritten),
}


def _simulations(seed: int) -> Iterator[tuple[str, Cluster]]:
    yield f"seed {seed}", simulate(seed)


EXPLORATION = Exploration(DEFECTS, _simulations, lambda cluster: len(cluster.acknowledged), CRASHES)


def explore(seeds: range, defect: str = "", print_line: Print = print_nothing) -> ExplorationResult:
    """Simulate seeds until one has a violation; counts the commands that were acknowledged."""
    return EXPLORATION.run(seeds, defect, print_line)
