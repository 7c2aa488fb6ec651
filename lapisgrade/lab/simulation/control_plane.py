"""A simulation of the control plane: controllers, operators, watch clients and faults.

A simulation starts the cluster (`start`), injects faults (`faults`), and ends with a quiet period in which
the cluster must recover (`finish`). The invariants are checked at every step; violated ones are listed in
`violations`.
"""

from random import Random

from lapisgrade.lab.simulation.clients import Operation, Operator
from lapisgrade.lab.simulation.cluster import Cluster
from lapisgrade.lab.simulation.faults import RECOVERY_S, FaultInjector
from lapisgrade.lab.simulation.history_check import check_history
from lapisgrade.lab.simulation.log_limits import log_limits
from lapisgrade.lab.simulation.virtual_loop import SECOND, VirtualLoop
from lapisgrade.lab.simulation.watch_client import WatchClient

START_TIMEOUT_S = 6.0
COMMIT_TIMEOUT_S = 0.5  # maximum time until an entry in flight at the end reaches all machines
QUIET_PERIOD_S = 8.0  # length of the period without faults at the end
MAX_RECOVERY_S = 25.0  # maximum wait for lost machines before the quiet period
CHANGE_TIMEOUT_S = 5.0  # maximum time to an acknowledged change after the quiet period
WATCH_TIMEOUT_S = 4.0  # maximum time to a reply to each watch client after the quiet period
FAULT_AT_ACKNOWLEDGEMENT_RATE = 0.3  # fraction of random faults injected right after an acknowledgement
FAULT_PAUSES_S = (0.02, 0.4, 1.5, 4.0)  # times from a random fault to the next
WATCH_CLIENTS = 2
MAX_REPORTED_ERRORS = 3  # maximum number of unhandled exceptions that are reported as violations


class ControlPlaneSimulation:
    """A cluster, its operators and watch clients, and the faults injected into it.

    Args:
        seed: Seed of all random numbers.
        size: Number of machines at the start.
        max_lost: Maximum number of machines that may be lost at once.
        operators: Number of operators that send changes.
        routes: Number of rules in each complete configuration.
        max_pause_s: Maximum seconds between the calls of an operator.
    """

    def __init__(
        self,
        seed: int,
        size: int = 3,
        max_lost: int = 1,
        operators: int = 3,
        routes: int = 3,
        max_pause_s: float = 0.4,
    ) -> None:
        self.random = Random(seed)
        self.loop = VirtualLoop(Random(seed + 1))
        self.cluster = Cluster(self.loop, size)
        self.faults = FaultInjector(self.cluster, self.random, max_lost)
        self.history: list[Operation] = []
        self.operators = [
            Operator(self.cluster, i, self.history, routes, max_pause_s) for i in range(operators)
        ]
        self.watch_clients = [WatchClient(self.cluster, i) for i in range(WATCH_CLIENTS)]
        for client in (*self.operators, *self.watch_clients):
            client.start_task(client.run())

    def start(self) -> None:
        """Run until the first change is committed, then for `RECOVERY_S`, until no machine counts as new."""
        versions = self.cluster.invariants.versions
        has_started = self.loop.run_until(lambda: bool(versions), START_TIMEOUT_S)
        self.loop.run_for(RECOVERY_S)
        if not has_started:
            self.cluster.invariants.report_violation("no change is committed after the start")

    def inject_random_faults(self, count: int) -> None:
        """Inject `count` faults, some in quick succession or right after an acknowledgement."""
        for _ in range(count):
            fault = self.faults.choose()
            if self.random.random() < FAULT_AT_ACKNOWLEDGEMENT_RATE:
                self.run_until_acknowledgement(2.0, 0.0005)
            fault(self.faults)
            self.loop.run_for(self.random.choice(FAULT_PAUSES_S))

    def count_acknowledged_changes(self) -> int:
        """Return the number of acknowledged changes."""
        return sum(operation.kind == "change" and operation.status == 200 for operation in self.history)

    def run_until_acknowledgement(self, timeout_s: float, step_s: float = 0.01) -> bool:
        """Run until another change is acknowledged; return False on a time-out."""
        before = self.count_acknowledged_changes()
        return self.loop.run_until(lambda: self.count_acknowledged_changes() > before, timeout_s, step_s)

    def finish(self) -> None:
        """Run a quiet period, then check that the cluster has recovered."""
        self._await_lost_machines()
        self._repair_all()
        self.loop.run_for(QUIET_PERIOD_S)
        self._expect_service()
        self._stop_changes()
        self.loop.run_for(2.0)
        invariants = self.cluster.invariants
        self.loop.run_until(invariants.have_all_caught_up, COMMIT_TIMEOUT_S)
        invariants.check_final_state()
        for error in self.loop.errors[:MAX_REPORTED_ERRORS]:
            invariants.report_violation(f"unhandled exception in a process: {error}")
        check_history(self.history, invariants)
        self.loop.finish(self.cluster.processes)

    def _stop_changes(self) -> None:
        """End the clients whose calls append entries to the log."""
        for operator in self.operators:
            operator.process.is_alive = False

    def _await_lost_machines(self) -> None:
        """Run until all faults have ended and no machine counts as lost, at most `MAX_RECOVERY_S`."""
        deadline_us = self.loop.now_us + round(MAX_RECOVERY_S * SECOND)
        while self.faults.lost_machines() and self.loop.now_us < deadline_us:
            self.loop.run_for(0.5)

    def _repair_all(self) -> None:
        """Unblock all links, free full disks, and start the stopped machines, except removed ones."""
        self.cluster.heal()
        for machine in self.cluster.machines.values():
            machine.disk.is_full = False
            if not machine.is_running and not machine.is_removed:
                machine.start()

    def _expect_service(self) -> None:
        """Check that a change is acknowledged, and that every watch client gets a reply."""
        invariants = self.cluster.invariants
        if not self.run_until_acknowledgement(CHANGE_TIMEOUT_S):
            invariants.report_violation("no change is acknowledged after the quiet period")
        since_us = self.loop.now_us
        for client in self.watch_clients:
            if not self.loop.run_until(
                lambda client=client: client.last_contact_us > since_us, WATCH_TIMEOUT_S
            ):
                invariants.report_violation(
                    f"limiter {client.number} gets no reply to its watch requests after the quiet period"
                )

    @property
    def violations(self) -> list[str]:
        """Descriptions of the violated invariants."""
        return self.cluster.invariants.violations

    @property
    def has_violation(self) -> bool:
        """Whether an invariant was violated."""
        return bool(self.violations)

    def transcript(self, max_lines: int = 30) -> list[str]:
        """Return at most `max_lines` transcript lines before the first violation, and that line."""
        lines = self.cluster.transcript_lines
        end = next((i for i, line in enumerate(lines) if "WRONG" in line), len(lines) - 1)
        return lines[max(0, end - max_lines) : end + 1]


def simulate_random_faults(seed: int) -> ControlPlaneSimulation:
    """Run a simulation with a random cluster size and random faults."""
    random = Random(seed)
    size, max_lost = random.choice(((3, 1), (3, 1), (4, 1), (5, 1), (6, 2), (8, 2)))
    with log_limits(random.choice((6, 24, 128)), random.choice((300, 65_536))):
        simulation = ControlPlaneSimulation(seed, size, max_lost, max_pause_s=random.choice((0.1, 0.4)))
        simulation.start()
        simulation.inject_random_faults(random.randrange(4, 10))
        simulation.finish()
    return simulation
