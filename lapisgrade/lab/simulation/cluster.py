"""A cluster of simulated machines that run controllers, with partitions and replacement of machines.

`invariants.Invariants` checks the invariants at each step of each controller.
"""

from lapisgrade.gateway.consensus.node import Node
from lapisgrade.lab.simulation.invariants import Invariants
from lapisgrade.lab.simulation.machine import Machine
from lapisgrade.lab.simulation.network import Network
from lapisgrade.lab.simulation.operator_call import Message
from lapisgrade.lab.simulation.virtual_loop import SECOND, Process, VirtualLoop

SEED_COUNT = 3  # number of machines that are listed as seeds in the settings


class Cluster:
    """A cluster and its network.

    Attributes:
        started_us: Start of the simulation.
        processes: All processes, including clients and those that have ended.
        machines: All machines that run controllers by name, including removed ones.
        seeds: Addresses of controllers in the settings of new processes.
        transcript_lines: Events of the simulation in order.
    """

    def __init__(self, loop: VirtualLoop, size: int) -> None:
        """Create a cluster, and start `size` machines."""
        self.loop = loop
        self.started_us = loop.now_us
        self.network = Network(loop, Message)
        self.processes: list[Process] = []
        self.machines: dict[str, Machine] = {}
        self.transcript_lines: list[str] = []
        self.invariants = Invariants(self)
        self._machine_count = 0
        for _ in range(size):
            self.add()
        self.seeds = [each.ip for each in list(self.machines.values())[:SEED_COUNT]]
        for machine in self.machines.values():
            machine.start(bootstrap=True)

    @property
    def checks(self) -> Invariants:
        """The checks at each step of a controller."""
        return self.invariants

    def add(self) -> Machine:
        """Add a machine with a new address and an empty disk."""
        self._machine_count += 1
        machine = Machine(self, f"m{self._machine_count}", f"10.0.0.{self._machine_count}")
        self.machines[machine.name] = machine
        return machine

    def remove(self, machine: Machine) -> None:
        """Remove a machine permanently, and update the seeds."""
        self.note(f"{machine.name} is removed")
        if machine.process is not None:
            machine.process.is_alive = False
        machine.is_removed = True
        self.seeds = [each.ip for each in self.machines.values() if not each.is_removed][:SEED_COUNT]

    def note(self, text: str) -> None:
        """Add a line to the transcript."""
        self.transcript_lines.append(f"{self.loop.now_us / SECOND:9.3f} s  {text}")

    def running_machines(self) -> list[Machine]:
        """Return the machines whose processes are alive."""
        return [each for each in self.machines.values() if each.is_running]

    def nodes(self) -> list[Node]:
        """Return the consensus nodes of the running machines."""
        controllers = [each.controller for each in self.running_machines()]
        return [each.node for each in controllers if each.node is not None]

    def leader(self) -> Machine | None:
        """Return the leader of the newest term, or None."""
        leading = [
            each
            for each in self.running_machines()
            if each.controller.node is not None and each.controller.node.is_leader
        ]
        return max(leading, key=lambda each: each.controller.node.term, default=None)

    def has_established_leader(self) -> bool:
        """Whether the leader has committed an entry of its own term."""
        leader = self.leader()
        return leader is not None and leader.controller.node.has_committed_in_term

    def partition(self, names: list[str], one_way: bool = False) -> None:
        """Block the links from these machines to the others and, unless `one_way`, those to them."""
        self.note(f"partitioned{', outbound only' if one_way else ''}: {', '.join(names)}")
        inside = {self.machines[each].ip for each in names}
        outside = {each.ip for each in self.machines.values()} - inside
        self.network.blocked_links |= {(a, b) for a in inside for b in outside}
        if not one_way:
            self.network.blocked_links |= {(b, a) for a in inside for b in outside}

    def heal(self) -> None:
        """Unblock all links."""
        self.note("all links are unblocked")
        self.network.heal()
