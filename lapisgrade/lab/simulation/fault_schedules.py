"""Fault schedules of the control plane by name, whose timing a seed determines.

A schedule runs a complete simulation. The schedules include the worst cases that operators must expect.
"""

from collections.abc import Callable
from functools import partial

from lapisgrade.lab.simulation.control_plane import ControlPlaneSimulation, simulate_random_faults
from lapisgrade.lab.simulation.log_limits import log_limits
from lapisgrade.lab.simulation.machine import Machine
from lapisgrade.lab.simulation.schedule_common import (
    block_links,
    leader_and_others,
    repeat_step,
    start_simulation,
)
from lapisgrade.lab.simulation.schedule_steps import (
    all_tolerated_disks_wiped,
    killed_before_sync,
    lagging_voter,
    newcomers_on_one_side,
    replaced_with_leader_loss,
    slow_voter_changes,
    voted_before_sync,
    wiped_after_acknowledgement,
    wiped_during_partition,
)
from lapisgrade.lab.simulation.virtual_loop import SECOND

LONG_PARTITION_S = 20.0
DOWNTIME_S = 20.0  # downtime of a member; long enough to miss hundreds of changes
CATCH_UP_TIMEOUT_S = 4.0  # maximum time to catch up while changes continue
MAX_IN_FLIGHT = 8  # maximum lag, in entries, of a member that counts as caught up
UNLIMITED_ENTRIES = 1 << 30  # log entries before a snapshot, so that there is none


STEPS = (
    wiped_after_acknowledgement,
    newcomers_on_one_side,
    wiped_during_partition,
    replaced_with_leader_loss,
    lagging_voter,
)
# Of the deployments and their small twins; `tests/gateway/controller/test_voters` has them in full.
DEPLOYED_SIZES = ((3, 1), (5, 2), (6, 2), (8, 2))
CLUSTER_SIZES = ((3, 1), (4, 1), (5, 1), (6, 2), (8, 2))  # voters, and machines that may be lost at once


def leader_partition(seed: int) -> ControlPlaneSimulation:
    """The leader is partitioned for up to 20 s, in both directions or one, while clients call both sides.

    Other variants are short: late replies, a follower that is restarted, a leader that reaches only one
    follower, or a partition between all machines.
    """
    simulation = start_simulation(seed)
    for _ in range(3):
        kind = simulation.random.choice(
            (_long_partition, _partition_and_restart, _late_replies, _partial_partition, _full_partition)
        )
        kind(simulation)
        simulation.cluster.network.extra_delay_us.clear()
        simulation.cluster.heal()
        simulation.loop.run_for(0.3 + simulation.random.random())
    simulation.finish()
    return simulation


def _long_partition(simulation: ControlPlaneSimulation) -> None:
    """The leader is partitioned in both directions, or can only send, or can only receive."""
    leader, others = leader_and_others(simulation)
    direction = simulation.random.randrange(3)
    if direction == 1:  # the leader receives nothing
        simulation.cluster.partition([each.name for each in others], one_way=True)
    else:
        simulation.cluster.partition([leader.name], one_way=direction == 2)
    simulation.loop.run_for(simulation.random.choice((1.0, 3.0, LONG_PARTITION_S)))


def _partition_and_restart(simulation: ControlPlaneSimulation) -> None:
    """The leader's lease depends on a follower that restarts, and then reaches only the other follower."""
    leader, (first, *rest) = leader_and_others(simulation)
    block_links(simulation, [leader], rest)
    simulation.loop.run_for(0.1 + 0.3 * simulation.random.random())
    block_links(simulation, [leader], [first])
    first.kill()
    first.start()
    simulation.loop.run_for(1.0)


def _late_replies(simulation: ControlPlaneSimulation) -> None:
    """Followers' replies are delayed so long that they are stale when they arrive."""
    leader, others = leader_and_others(simulation)
    delay_us = round((0.2 + 0.18 * simulation.random.random()) * SECOND)
    simulation.cluster.network.extra_delay_us = {(each.ip, leader.ip): delay_us for each in others}
    simulation.loop.run_for(0.5)
    simulation.cluster.partition([leader.name])
    simulation.loop.run_for(1.2)


def _partial_partition(simulation: ControlPlaneSimulation) -> None:
    """One follower reaches the leader, with late replies, and the others don't."""
    leader, (first, *rest) = leader_and_others(simulation)
    delay_us = round((0.1 + 0.1 * simulation.random.random()) * SECOND)
    simulation.cluster.network.extra_delay_us = {(first.ip, leader.ip): delay_us}
    block_links(simulation, [leader], rest)
    simulation.loop.run_for(2.0)


def _full_partition(simulation: ControlPlaneSimulation) -> None:
    """All links are blocked for about an election time-out, several times."""
    for _ in range(6):
        machines = simulation.cluster.running_machines()
        block_links(simulation, machines, machines)
        simulation.loop.run_for(0.25 + 0.5 * simulation.random.random())
        simulation.cluster.heal()
        simulation.loop.run_for(0.02 + 0.2 * simulation.random.random())


def changes_resent(seed: int) -> ControlPlaneSimulation:
    """Eight concurrent operators lose most replies while leaders change and all machines restart."""
    with log_limits(max_log_entries := 6 + seed % 3 * 20, 400):
        simulation = start_simulation(seed, max_log_entries % 2 + 3, max_pause_s=0.2, operators=8)
        for operator in simulation.operators:
            operator.lost_reply_rate = 0.6
            operator.resend_rate = 0.5
        faults = simulation.faults
        for step in range(4):
            simulation.loop.run_for(1.0 + simulation.random.random())
            if step % 2:
                _stall_all_disks(simulation)
                continue
            crash_all = partial(faults.crash_all, power=True)
            fault = simulation.random.choice((faults.crash, crash_all, faults.partition, faults.restart))
            fault()
        simulation.finish()
    return simulation


def _stall_all_disks(simulation: ControlPlaneSimulation) -> None:
    """All disks stall for longer than an operator's time-out: its changes are committed, but late."""
    for machine in simulation.cluster.running_machines():
        machine.disk.stalled_until_us = simulation.loop.now_us + round(
            (1.0 + simulation.random.random()) * SECOND
        )
    simulation.loop.run_for(2.5)


def second_loss(seed: int) -> ControlPlaneSimulation:
    """A machine is lost right after a repair or a replacement, or during it."""
    size, max_lost = CLUSTER_SIZES[seed // len(STEPS) % len(CLUSTER_SIZES)]
    with log_limits(6 if seed % 3 else 128, 300):
        return repeat_step(start_simulation(seed, size, max_lost), STEPS[seed % len(STEPS)], 5.0)


def tolerated_losses(
    seed: int, sizes: tuple[tuple[int, int], ...] = DEPLOYED_SIZES
) -> ControlPlaneSimulation:
    """All machines lose power after an acknowledgement, and as many disks are lost as may be at once.

    Args:
        seed: Seed of the simulation, which also chooses one of the sizes.
        sizes: Numbers of voters, and of machines that may be lost at once.
    """
    size, max_lost = sizes[seed % len(sizes)]
    return repeat_step(start_simulation(seed, size, max_lost), all_tolerated_disks_wiped, 6.0)


def churn(seed: int) -> ControlPlaneSimulation:
    """Random partitions in quick succession, with one entry in each message.

    New leaders among the five members have uncommitted entries of several terms.
    """
    with log_limits(UNLIMITED_ENTRIES, 300, 1):
        simulation = start_simulation(seed, 5, 2, max_pause_s=0.05, operators=3)
        for _ in range(24):
            machines = simulation.cluster.running_machines()
            simulation.random.shuffle(machines)
            size = simulation.random.randrange(1, 4)
            block_links(simulation, machines[:size], machines[size:])
            simulation.loop.run_for(0.02 + 0.9 * simulation.random.random())
            if simulation.random.random() < 0.5:
                simulation.cluster.network.blocked_links = set()
        simulation.finish()
    return simulation


def hundreds_of_changes(seed: int) -> ControlPlaneSimulation:
    """A member misses hundreds of changes, and catches up, sometimes on a slow link, while they continue."""
    with log_limits(16, 500):
        simulation = start_simulation(seed, max_pause_s=0.05, operators=4)
        for operator in simulation.operators:
            operator.lost_reply_rate, operator.routes = 0.0, 12
        _, (member, *_) = leader_and_others(simulation)
        member.kill(power=seed % 2 == 0, wipe=seed % 4 == 3)
        simulation.loop.run_for(DOWNTIME_S)
        member.start()
        if seed % 3 == 0:
            simulation.cluster.network.bytes_per_second = {
                each.ip: 250_000.0 for each in simulation.cluster.running_machines()
            }
        if not simulation.loop.run_until(lambda: _has_caught_up(simulation, member), CATCH_UP_TIMEOUT_S):
            simulation.cluster.invariants.report_violation(
                f"{member.name} has not caught up within {CATCH_UP_TIMEOUT_S} s after its start"
            )
        simulation.loop.run_for(0.5)
        # While the leader is frozen, the member may become leader, but only with the vote of another voter.
        for machine in simulation.cluster.running_machines():
            if machine is not member and machine is simulation.cluster.leader():
                machine.freeze(3.0)
        simulation.loop.run_for(4.0)
        simulation.finish()
    return simulation


def _has_caught_up(simulation: ControlPlaneSimulation, machine: Machine) -> bool:
    """Whether the machine lags behind the leader by at most the entries in flight."""
    leader = simulation.cluster.leader()
    if leader is None or machine.controller.node is None:
        return False
    return leader.controller.node.commit_index - machine.controller.node.commit_index <= MAX_IN_FLIGHT


def unsynced(seed: int) -> ControlPlaneSimulation:
    """Disks are slow, and processes are killed or lose power between a write and its sync."""
    step = (killed_before_sync, voted_before_sync)[seed % 2]
    return repeat_step(start_simulation(seed), step, 2.0)


def schedule_of_step(
    step: Callable[[ControlPlaneSimulation], None], pause_s: float
) -> Callable[[int], ControlPlaneSimulation]:
    """Return a schedule that repeats a single step on three members."""
    return lambda seed: repeat_step(start_simulation(seed), step, pause_s)


FAULT_SCHEDULES: dict[str, Callable[[int], ControlPlaneSimulation]] = {
    "drawn": simulate_random_faults,
    "wiped-after-ack": schedule_of_step(wiped_after_acknowledgement, 5.0),
    "newcomers": schedule_of_step(newcomers_on_one_side, 3.0),
    "slow-changes": schedule_of_step(slow_voter_changes, 2.0),
    "lagging-partner": schedule_of_step(lagging_voter, 3.0),
    "vote-unsynced": schedule_of_step(voted_before_sync, 2.0),
    "leader-cut": leader_partition,
    "orders-resent": changes_resent,
    "second-loss": second_loss,
    "tolerated-losses": tolerated_losses,
    "churn": churn,
    "hundreds-of-changes": hundreds_of_changes,
    "unsynced": unsynced,
}
"""Schedules by name; each runs the simulation of a seed and returns it finished."""
