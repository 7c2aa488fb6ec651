"""Fault schedules of keyed operations by name, whose timing a seed determines."""

from collections.abc import Callable
from random import Random

from lapisgrade.lab.simulation.log_limits import log_limits
from lapisgrade.lab.simulation.operations.clients import TENANTS
from lapisgrade.lab.simulation.operations.simulation import KeyedSimulation

NEXT_RUN_TIMEOUT_S = 1.0
DELAY_RATHER_THAN_PARTITION_RATE = 0.25  # fraction of delays among the leader's faults
MAX_OVERLOAD_S = 0.4  # maximum time for which servers reject all requests
REPEATED_KEYS = 40  # number of recent keys that are sent again after a fault
CROWD_SIZE = 400  # number of concurrent tries of one key
WINDOW_KEYS_PER_SECOND = 3.0  # new operations per second in `window`
PAUSES_S = (0.02, 0.3, 1.2, 3.0)  # times from a random fault to the next
CLUSTER_SIZES = ((3, 1), (5, 1), (6, 2))  # controllers, and controllers that may be lost at once
SHORT_LOG, SHORT_MESSAGE = 8, 2_000  # log entries before a snapshot, and bytes per snapshot chunk
LONG_LOG, LONG_MESSAGE = 512, 65_536


def start_simulation(seed: int, size: int = 3, max_lost: int = 1) -> KeyedSimulation:
    """Start a simulation, and run it until the proxies serve keyed requests."""
    simulation = KeyedSimulation(seed, size, max_lost)
    simulation.start()
    return simulation


def random_faults(seed: int) -> KeyedSimulation:
    """Faults of all kinds at proxies and controllers, some right after the start of a run."""
    random = Random(seed)
    size, max_lost = random.choice(CLUSTER_SIZES)
    limits = random.choice(((SHORT_LOG, SHORT_MESSAGE), (LONG_LOG, LONG_MESSAGE)))
    with log_limits(*limits):
        simulation = start_simulation(seed, size, max_lost)
        for _ in range(random.randrange(5, 9)):
            if random.random() < 0.5:
                simulation.run_until_next_run(NEXT_RUN_TIMEOUT_S)
            if random.random() < 0.5:
                simulation.keyed_faults.inject_at_proxy()
            else:
                fault = simulation.faults.choose()
                fault(simulation.faults)
            simulation.loop.run_for(random.choice(PAUSES_S))
        simulation.finish()
    return simulation


def power_and_disks(seed: int) -> KeyedSimulation:
    """All machines lose power right after the start of a run, and up to two of six disks are wiped."""
    limits = (SHORT_LOG, SHORT_MESSAGE) if seed % 2 else (LONG_LOG, LONG_MESSAGE)
    with log_limits(*limits):
        simulation = start_simulation(seed, 6, 2)
        for _ in range(2):
            simulation.keyed_faults.slow_some_disks()
            simulation.loop.run_for(simulation.random.random())
            simulation.run_until_next_run(NEXT_RUN_TIMEOUT_S)
            simulation.keyed_faults.lose_all_power(wiped=simulation.random.randrange(3))
            simulation.loop.run_for(4.0)
            simulation.clients.repeat_recent(REPEATED_KEYS)
            simulation.loop.run_for(3.0)
        simulation.finish()
    return simulation


def leader_cut(seed: int) -> KeyedSimulation:
    """The leader is partitioned with some of the proxies, in one or both directions, or sends late."""
    simulation = start_simulation(seed, *CLUSTER_SIZES[seed % 2])
    for _ in range(3):
        simulation.loop.run_until(simulation.cluster.has_established_leader, 6.0)
        if simulation.random.random() < DELAY_RATHER_THAN_PARTITION_RATE:
            simulation.keyed_faults.delay_leader()
        else:
            simulation.keyed_faults.partition_leader()
        simulation.loop.run_for(simulation.random.choice((0.3, 1.0, 2.5, 5.0)))
        if simulation.random.random() < 0.3:
            simulation.keyed_faults.inject_at_proxy()
        simulation.cluster.heal()
        simulation.clients.repeat_recent(REPEATED_KEYS)
        simulation.loop.run_for(0.1 + 1.5 * simulation.random.random())
    simulation.finish()
    return simulation


def owner_lost(seed: int) -> KeyedSimulation:
    """The proxy that runs an operation is repeatedly killed, stopped, frozen or partitioned."""
    simulation = start_simulation(seed)
    for _ in range(8):
        simulation.run_until_next_run(NEXT_RUN_TIMEOUT_S)
        simulation.loop.run_for(0.3 * simulation.random.random())
        simulation.keyed_faults.inject_at_proxy()
        simulation.loop.run_for(simulation.random.choice((0.1, 0.5, 1.5)))
    simulation.finish()
    return simulation


def rolling(seed: int) -> KeyedSimulation:
    """Rolling restart of all proxies with SIGTERM, while a voter is replaced."""
    with log_limits(SHORT_LOG, SHORT_MESSAGE):
        simulation = start_simulation(seed)
        simulation.faults.replace(planned=bool(seed % 2))
        for machine in simulation.proxy_machines:
            simulation.run_until_next_run(NEXT_RUN_TIMEOUT_S)
            simulation.keyed_faults.stop(machine)
            simulation.loop.run_for(simulation.random.choice((0.5, 2.0)))
        simulation.clients.repeat_recent(REPEATED_KEYS)
        simulation.faults.restart()
        simulation.loop.run_for(4.0)
        simulation.finish()
    return simulation


def disks(seed: int) -> KeyedSimulation:
    """A majority of the disks stall or are full, while machines are killed or lose power."""
    simulation = start_simulation(seed)
    for _ in range(4):
        simulation.keyed_faults.stall_disks(is_full=simulation.random.random() < 0.5)
        simulation.loop.run_for(0.5 + simulation.random.random())
        if simulation.random.random() < 0.5:
            simulation.faults.crash(power=True)
        else:
            simulation.keyed_faults.inject_at_proxy()
        simulation.loop.run_for(1.0 + 3 * simulation.random.random())
    simulation.finish()
    return simulation


def window(seed: int) -> KeyedSimulation:
    """Keys are repeated up to and beyond the end of their window, while leaders change."""
    with log_limits(SHORT_LOG, SHORT_MESSAGE):
        simulation = start_simulation(seed)
        simulation.clients.late_repeat_rate = 1.0
        simulation.clients.keys_per_second = WINDOW_KEYS_PER_SECOND
        for machine in (*simulation.proxy_machines, *simulation.cluster.running_machines()):
            simulation.keyed_faults.change_pace(machine.process)
        end_us = simulation.loop.now_us + round(1.4 * simulation.operation_history.window_us)
        while simulation.loop.now_us < end_us:
            fault = simulation.random.choice(
                (
                    simulation.faults.crash,
                    simulation.faults.partition,
                    simulation.keyed_faults.inject_at_proxy,
                )
            )
            fault()
            simulation.loop.run_for(2.0 + 4 * simulation.random.random())
        simulation.lasts_beyond_retention = True
        simulation.finish()
    return simulation


def crowd(seed: int) -> KeyedSimulation:
    """Hundreds of concurrent tries of one key, while servers reject all requests or the owner is lost."""
    simulation = start_simulation(seed)
    for _ in range(3):
        operation = (simulation.random.choice(TENANTS), simulation.clients.new_key())
        simulation.recording_servers.is_overloaded = simulation.random.random() < 0.5
        simulation.clients.start_task(simulation.clients.send_concurrently(operation, CROWD_SIZE))
        simulation.loop.run_for(MAX_OVERLOAD_S * simulation.random.random())
        simulation.recording_servers.is_overloaded = False
        if simulation.random.random() < 0.5:
            simulation.keyed_faults.inject_at_proxy()
        simulation.loop.run_for(2.5)
        simulation.clients.start_task(simulation.clients.send_concurrently(operation, CROWD_SIZE // 10))
        simulation.loop.run_for(1.0)
    simulation.finish()
    return simulation


SCHEDULES: dict[str, Callable[[int], KeyedSimulation]] = {
    "drawn": random_faults,
    "power-and-disks": power_and_disks,
    "leader-cut": leader_cut,
    "owner-lost": owner_lost,
    "rolling": rolling,
    "disks": disks,
    "window": window,
    "crowd": crowd,
}
"""Schedules by name; each runs the simulation of a seed and returns it finished."""
