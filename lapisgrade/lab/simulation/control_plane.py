"""A simulation of the control plane: controllers, operators, clients of the watch, and faults.

A simulation starts the cluster (`start`), injects faults (`faults`), and ends with a quiet period in which
all must recover (`finish`). The invariants are checked all the time; `violations` holds what they found.
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
COMMIT_S = 0.5  # in which an entry that is in flight at the end reaches all
QUIET_PERIOD_S = 8.0  # without faults at the end
MAX_RECOVERY_S = 25.0  # that lost machines are waited for at the end
CHANGE_TIMEOUT_S = 5.0  # in which a change is acknowledged after the quiet period
WATCH_TIMEOUT_S = 4.0  # in which each watch client is answered after the quiet period
AFTER_ACKNOWLEDGEMENT_RATE = 0.3  # of the random faults that follow an acknowledgement at once
FAULT_PAUSES_S = (0.02, 0.4, 1.5, 4.0)
WATCH_CLIENTS = 2
MAX_REPORTED_ERRORS = 3


class ControlPlaneSimulation:
    """A cluster, its operators and watch clients, and the faults injected into it.

    Args:
        seed: all random draws follow from it.
        size: machines at the start.
        tolerate: machines that may be lost at once.
        operators: how many send changes.
        routes: rules in each complete configuration.
        pause: s between an operator's calls, at the most.
    """

    def __init__(
        self,
        seed: int,
        size: int = 3,
        tolerate: int = 1,
        operators: int = 3,
        routes: int = 3,
        pause: float = 0.4,
    ) -> None:
        self.random = Random(seed)
        self.loop = VirtualLoop(Random(seed + 1))
        self.cluster = Cluster(self.loop, size)
        self.faults = FaultInjector(self.cluster, self.random, tolerate)
        self.history: list[Operation] = []
        self.operators = [Operator(self.cluster, i, self.history, routes, pause) for i in range(operators)]
        self.watch_clients = [WatchClient(self.cluster, i) for i in range(WATCH_CLIENTS)]
        for client in (*self.operators, *self.watch_clients):
            client.start_task(client.run())

    def start(self) -> None:
        """Run until the first change is committed, and no machine counts as new any more."""
        versions = self.cluster.invariants.versions
        has_started = self.loop.run_until(lambda: bool(versions), START_TIMEOUT_S)
        self.loop.run_for(RECOVERY_S)
        if not has_started:
            self.cluster.invariants.report_violation("no change is taken after the start")

    def inject_random_faults(self, count: int) -> None:
        """Inject faults one after another, some close together or right after an acknowledgement."""
        for _ in range(count):
            fault = self.faults.choose()
            if self.random.random() < AFTER_ACKNOWLEDGEMENT_RATE:
                self.run_until_acknowledgement(2.0, 0.0005)
            fault(self.faults)
            self.loop.run_for(self.random.choice(FAULT_PAUSES_S))

    def acknowledged(self) -> int:
        """Return how many changes were acknowledged so far."""
        return sum(each.kind == "change" and each.status == 200 for each in self.history)

    def run_until_acknowledgement(self, timeout_s: float, step_s: float = 0.01) -> bool:
        """Run until a further change is acknowledged; return whether one was."""
        before = self.acknowledged()
        return self.loop.run_until(lambda: self.acknowledged() > before, timeout_s, step_s)

    def finish(self) -> None:
        """Run a quiet period, and check what must hold after it."""
        self._await_lost_machines()
        self._repair_all()
        self.loop.run_for(QUIET_PERIOD_S)
        self._expect_service()
        self._stop_changes()
        self.loop.run_for(2.0)
        invariants = self.cluster.invariants
        self.loop.run_until(invariants.is_caught_up, COMMIT_S)
        invariants.check_at_rest()
        for error in self.loop.errors[:MAX_REPORTED_ERRORS]:
            invariants.report_violation(f"a process broke off: {error}")
        check_history(self.history, invariants)
        self.loop.finish(self.cluster.processes)

    def _stop_changes(self) -> None:
        """End the clients that have entries put into the log."""
        for operator in self.operators:
            operator.process.is_alive = False

    def _await_lost_machines(self) -> None:
        deadline_us = self.loop.now_us + round(MAX_RECOVERY_S * SECOND)
        while self.faults.lost_machines() and self.loop.now_us < deadline_us:
            self.loop.run_for(0.5)

    def _repair_all(self) -> None:
        self.cluster.heal()
        for machine in self.cluster.machines.values():
            machine.disk.is_full = False
            if not machine.is_running and not machine.is_removed:
                machine.start()

    def _expect_service(self) -> None:
        """Check that a change is acknowledged, and every watch client answered."""
        invariants = self.cluster.invariants
        if not self.run_until_acknowledgement(CHANGE_TIMEOUT_S):
            invariants.report_violation("no order is acknowledged after a calm time")
        since_us = self.loop.now_us
        for client in self.watch_clients:
            if not self.loop.run_until(
                lambda client=client: client.last_contact_us > since_us, WATCH_TIMEOUT_S
            ):
                invariants.report_violation(f"limiter {client.number} hears nothing after a calm time")

    @property
    def violations(self) -> list[str]:
        """Violated invariants, in words."""
        return self.cluster.invariants.violations

    @property
    def has_violation(self) -> bool:
        """Whether an invariant was violated."""
        return bool(self.violations)

    def transcript(self, max_lines: int = 30) -> list[str]:
        """Return the lines up to the first violation, so many at the most."""
        lines = self.cluster.transcript_lines
        end = next((i for i, line in enumerate(lines) if "WRONG" in line), len(lines) - 1)
        return lines[max(0, end - max_lines) : end + 1]


def simulate_random_faults(seed: int) -> ControlPlaneSimulation:
    """Run a simulation whose size and faults the seed draws."""
    random = Random(seed)
    size, tolerate = random.choice(((3, 1), (3, 1), (4, 1), (5, 1), (6, 2), (8, 2)))
    with log_limits(random.choice((6, 24, 128)), random.choice((300, 65_536))):
        simulation = ControlPlaneSimulation(seed, size, tolerate, pause=random.choice((0.1, 0.4)))
        simulation.start()
        simulation.inject_random_faults(random.randrange(4, 10))
        simulation.finish()
    return simulation
