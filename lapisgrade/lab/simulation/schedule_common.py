"""Common setup and teardown of the control plane's fault schedules."""

from collections.abc import Callable

from lapisgrade.lab.simulation.control_plane import ControlPlaneSimulation
from lapisgrade.lab.simulation.machine import Machine


def start_simulation(
    seed: int, size: int = 3, max_lost: int = 1, max_pause_s: float = 0.1, operators: int = 2
) -> ControlPlaneSimulation:
    """Start a simulation, then run it for a random time of up to a second."""
    simulation = ControlPlaneSimulation(seed, size, max_lost, operators, max_pause_s=max_pause_s)
    simulation.start()
    simulation.loop.run_for(simulation.random.random())
    return simulation


def leader_and_others(simulation: ControlPlaneSimulation) -> tuple[Machine, list[Machine]]:
    """Wait up to 6 s for an established leader; return it, and the other running machines in random order.

    Without a leader, the first running machine is returned in its place.
    """
    simulation.loop.run_until(simulation.cluster.has_established_leader, 6.0)
    leader = simulation.cluster.leader() or simulation.cluster.running_machines()[0]
    others = [each for each in simulation.cluster.running_machines() if each is not leader]
    simulation.random.shuffle(others)
    return leader, others


def block_links(simulation: ControlPlaneSimulation, group: list[Machine], others: list[Machine]) -> None:
    """Block all links between two groups of machines, in both directions."""
    links = {(a.ip, b.ip) for a in group for b in others if a is not b}
    simulation.cluster.network.blocked_links |= links | {(b, a) for a, b in links}


def repeat_step(
    simulation: ControlPlaneSimulation, step: Callable[[ControlPlaneSimulation], None], pause_s: float
) -> ControlPlaneSimulation:
    """Run a step three times, and finish the simulation.

    After each step all links are unblocked, slow disks have their normal speed again, stopped machines start,
    and the cluster has `pause_s` to recover.
    """
    for _ in range(3):
        step(simulation)
        simulation.cluster.heal()
        for machine in simulation.cluster.machines.values():
            machine.disk.slowdown = 1.0
            if not machine.is_running and not machine.is_removed:
                machine.start()
        simulation.loop.run_for(pause_s)
    simulation.finish()
    return simulation
