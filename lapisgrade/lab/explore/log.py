"""The replicated log explored under kills, cuts, and disks that are emptied.

What was acknowledged stays, and all logs agree. No more disks are lost at once than may be; all may lose
power beside it.
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
"""Errors by which a node with a defect breaks off."""

FAULTS = ("kill", "wipe", "cut", "one way", "all", "all and a wipe")


class Schedule:
    """Changes under faults, one fault at a time, and a calm end."""

    def __init__(self, seed: int, names: str = "abc") -> None:
        """Make a schedule for a cluster of nodes with these names."""
        self.random = Random(seed)
        self.names = names
        self.cluster = Cluster(seed, names)
        self._last_number = 0

    def run(self, fault_count: int = 8) -> Cluster:
        """Inject so many faults, check the logs, and return the cluster."""
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
        if fault == "all and a wipe":
            self._wait_for_acknowledgement()
        match fault:
            case "all" | "all and a wipe":
                for name in self.names:
                    cluster.kill(name, wipe=fault != "all" and name == victim)
            case "kill" | "wipe":
                cluster.kill(victim, wipe=fault == "wipe")
            case _:
                cluster.isolate(victim, self.names, one_way=fault == "one way")

    def _wait_for_acknowledgement(self) -> None:
        command = self._next_command()
        self.cluster.propose(command)
        for _ in range(100):
            if command not in self.cluster.acknowledged:
                self.cluster.run(0.0003)

    def _next_command(self) -> bytes:
        self._last_number += 1
        return b"%d" % self._last_number


def simulate(seed: int, names: str = "abc", fault_count: int = 8) -> Cluster:
    """Simulate the schedule of a seed."""
    return Schedule(seed, names).run(fault_count)


def check(cluster: Cluster) -> None:
    """Check that all logs agree, and that all that was acknowledged is in them."""
    if not cluster.leader():
        cluster.report_violation("nobody leads after a calm end")
        return
    committed = _committed_commands(cluster.leader_node())
    for data, (name, term) in cluster.acknowledged.items():
        if data not in committed:
            cluster.report_violation(f"{data!r} was acknowledged by {name} in term {term} and is gone")
    for name, node in cluster.nodes.items():
        assert node is not None
        own = _committed_commands(node)
        if own != committed[: len(own)]:
            cluster.report_violation(f"{name} has another log")


def _committed_commands(node: Node) -> list[bytes]:
    committed = node.log.entries[: node.commit_index - node.log.snapshot_index]
    return [entry.data for entry in committed if entry.data]


# ---- defects

_kill = Cluster.kill


def _lose_last_synced(self: Cluster, name: str, wipe: bool = False) -> None:
    """A disk that reports writes as synced, and loses the last of them with the power."""
    _kill(self, name, wipe)
    self.disks[name] = self.disks[name][:1] if len(self.disks[name]) < 5 else self.disks[name][:-4]


def _commit_alone(self: Replication) -> None:
    """A leader commits what is on its own disk."""
    state = self.state
    if state.durable_index > state.commit_index and state.log.term_at(state.durable_index) == state.term:
        state.commit_up_to(state.durable_index)
        self.send_to_all(heartbeat=True)


def _acknowledge_unwritten(self: Follower, message: AppendEntries) -> None:
    """A follower acknowledges what is not on its disk yet."""
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
    """Simulate each seed until one goes wrong; counts the changes that were acknowledged."""
    return EXPLORATION.run(seeds, defect, print_line)
