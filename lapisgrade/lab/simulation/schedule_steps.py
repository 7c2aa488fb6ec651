"""Steps of fault schedules, each of which puts a running cluster into one critical situation."""

from lapisgrade.lab.simulation.control_plane import ControlPlaneSimulation
from lapisgrade.lab.simulation.machine import Machine
from lapisgrade.lab.simulation.schedule_common import block_links, leader_and_others
from lapisgrade.lab.simulation.virtual_loop import SECOND


def wiped_after_acknowledgement(simulation: ControlPlaneSimulation) -> None:
    """All machines lose power right after an acknowledgement, and one that has the entry loses its disk."""
    _wipe_after_acknowledgement(simulation, 1)


def all_tolerated_disks_wiped(simulation: ControlPlaneSimulation) -> None:
    """As `wiped_after_acknowledgement`, with as many disks as may be lost at once."""
    _wipe_after_acknowledgement(simulation, simulation.faults.max_lost)


def _wipe_after_acknowledgement(simulation: ControlPlaneSimulation, count: int) -> None:
    """Wipe `count` disks, at first of machines that have the newest entry.

    Of the rest, those without the entry restart first. A slow disk ensures that at least one is without it.
    """
    _, others = leader_and_others(simulation)
    others[0].disk.slowdown = 50.0
    simulation.run_until_acknowledgement(3.0, 0.0003)
    machines = simulation.cluster.running_machines()
    holders = [each for each in machines if _is_newest_entry_durable(simulation, each)]
    wiped = simulation.random.sample(holders, min(count, len(holders)))
    rest = [each for each in machines if each not in wiped]
    wiped += simulation.random.sample(rest, min(count - len(wiped), len(rest)))
    for machine in machines:
        machine.disk.slowdown = 1.0
        machine.kill(power=True, wipe=machine in wiped)
    for machine in machines:
        starts_late = machine in holders and machine not in wiped
        simulation.faults.call_after(
            0.2 + 0.3 * simulation.random.random() + (1.2 if starts_late else 0.0), machine.start
        )
    simulation.loop.run_for(4.0)


def _is_newest_entry_durable(simulation: ControlPlaneSimulation, machine: Machine) -> bool:
    """Whether the newest committed entry is durable on the machine's disk."""
    index = max(simulation.cluster.invariants.entries, default=0)
    return index == 0 or machine.disk.has_synced(index, simulation.cluster.invariants.entries[index].term)


def newcomers_on_one_side(simulation: ControlPlaneSimulation) -> None:
    """Two new machines join, and are at that moment on the leader's side of a partition."""
    leader, others = leader_and_others(simulation)
    newcomers = [simulation.cluster.add(), simulation.cluster.add()]
    seeds, simulation.cluster.seeds = simulation.cluster.seeds, [leader.ip]
    for machine in newcomers:
        machine.start()
    node = leader.controller.node
    simulation.loop.run_until(
        lambda: not node.is_leader or set(node.followers) > set(node.voters), 1.0, 0.001
    )
    block_links(simulation, [leader, *newcomers], others)
    simulation.loop.run_for(2.0 + 2 * simulation.random.random())
    simulation.cluster.seeds = seeds


def slow_voter_changes(simulation: ControlPlaneSimulation) -> None:
    """Two machines join while all replies are delayed, so that a change of voters is pending for long.

    In half of the runs the leader is killed during the change.
    """
    leader, others = leader_and_others(simulation)
    machines = [leader, *others]
    delay_us = round((0.1 + 0.15 * simulation.random.random()) * SECOND)
    simulation.cluster.network.extra_delay_us = {(a.ip, leader.ip): delay_us for a in others}
    if simulation.random.random() < 0.5:
        simulation.cluster.network.extra_delay_us = {
            (a.ip, b.ip): delay_us // 2 for a in machines for b in machines if a is not b
        }
        leader.kill()
        simulation.faults.call_after(0.4, leader.start)
    for _ in range(2):
        simulation.cluster.add().start()
    simulation.loop.run_for(3.0)
    simulation.cluster.network.extra_delay_us = {}


def lagging_voter(simulation: ControlPlaneSimulation) -> None:
    """A follower's disk stalls while the others continue; then a majority of the other followers is isolated.

    The leader is not isolated. A machine joins during the stall and the partition.
    """
    _, (lagging, *rest) = leader_and_others(simulation)
    lagging.disk.stalled_until_us = simulation.loop.now_us + 6 * SECOND
    simulation.loop.run_for(0.5)
    block_links(simulation, rest[: len(rest) // 2 + 1], simulation.cluster.running_machines())
    simulation.loop.run_for(1.7)
    simulation.cluster.add().start()
    simulation.loop.run_for(3.0)


def wiped_during_partition(simulation: ControlPlaneSimulation) -> None:
    """A machine loses its disk and restarts while others are partitioned.

    The new voters must not need a majority that includes unreachable machines.
    """
    _, others = leader_and_others(simulation)
    wiped, *rest = others
    partitioned = rest[: len(others) // 2]
    block_links(simulation, partitioned, simulation.cluster.running_machines())
    wiped.kill(wipe=True)
    simulation.loop.run_for(0.3)
    wiped.start()
    simulation.loop.run_for(1.0 + 2 * simulation.random.random())


def replaced_with_leader_loss(simulation: ControlPlaneSimulation) -> None:
    """A machine is replaced as planned, and the leader loses power during the replacement.

    The step waits before that for a random time of up to 2.5 s, the longest of `faults.REPLACEMENT_DELAYS_S`,
    and until there is a leader.
    """
    simulation.faults.replace(planned=True)
    simulation.loop.run_for(2.5 * simulation.random.random())
    leader, _ = leader_and_others(simulation)
    leader.kill(power=True)
    simulation.faults.call_after(0.5, leader.start)
    simulation.loop.run_for(4.0)


def killed_before_sync(simulation: ControlPlaneSimulation) -> None:
    """One of two connected voters is killed between write and sync, and restarts with a stalling disk."""
    _, (first, *rest) = leader_and_others(simulation)
    block_links(simulation, rest, simulation.cluster.running_machines())
    first.disk.slowdown = 40.0
    simulation.loop.run_for(0.3 + 0.2 * simulation.random.random())
    first.kill()
    first.disk.stalled_until_us = simulation.loop.now_us + SECOND // 4
    first.start()
    simulation.loop.run_for(0.3)
    first.disk.stalled_until_us = simulation.loop.now_us + SECOND
    simulation.loop.run_for(0.9)


def voted_before_sync(simulation: ControlPlaneSimulation) -> None:
    """A machine with a slow disk votes, loses power, and is asked to vote in the same term again.

    The former leader asks it, as the two can reach only each other after the restart.
    """
    leader, (first, *rest) = leader_and_others(simulation)
    term = leader.controller.node.term
    block_links(simulation, [leader], simulation.cluster.running_machines())
    first.disk.slowdown = 60.0
    simulation.loop.run_until(
        lambda: any(each.controller.node.is_leader for each in rest if each.controller.node.term > term),
        2.5,
        0.0005,
    )
    first.kill(power=True)
    first.disk.slowdown = 1.0
    simulation.cluster.network.blocked_links = set()
    block_links(simulation, rest, simulation.cluster.running_machines())
    first.start()
    simulation.loop.run_for(2.5)
