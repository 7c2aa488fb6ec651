"""Random faults of simulated machines: crashes, partitions, stalled disks, replacements.

A `FaultInjector` never lets more machines be lost at once than the cluster must tolerate. A machine counts as
lost from its fault until it has had time to recover.
"""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from lapisgrade.lab.simulation.cluster import Cluster
from lapisgrade.lab.simulation.machine import Machine
from lapisgrade.lab.simulation.virtual_loop import SECOND

RECOVERY_S = 4.0  # time for which a machine still counts as lost after its fault has ended
SLOW_LINK_BYTES_PER_SECOND = 250_000.0  # 2 Mbit/s
LEADER_FAULT_RATE = 0.4  # fraction of faults that hit the leader, if it may be lost; others hit any machine
CRASH_DURATIONS_S = (0.05, 0.5, 1.5, 4.0)
PARTITION_DURATIONS_S = (0.3, 1.2, 3.0, 20.0)
FREEZE_DURATIONS_S = (0.2, 0.6, 2.0, 8.0)
STALL_DURATIONS_S = (0.3, 2.0, 5.0)
SLOW_LINK_DURATION_S = 5.0
REPLACEMENT_DELAYS_S = (0.3, 1.0, 2.5)  # times between the start of the new machine and the end of the old


class FaultInjector:
    """Injects faults into a cluster's machines, at most `max_lost` of which are lost at any time.

    A fault of one machine does nothing if no other machine may be lost. `crash_all` restarts all machines at
    once, so that only a machine whose disk it wipes counts as lost.
    """

    def __init__(self, cluster: Cluster, random: Random, max_lost: int) -> None:
        self.cluster = cluster
        self.loop = cluster.loop
        self.random = random
        self.max_lost = max_lost

    def lost_machines(self) -> list[Machine]:
        """Return the machines that currently count as lost."""
        now_us = self.loop.now_us
        machines = self.cluster.machines.values()
        return [each for each in machines if not each.is_removed and each.lost_until_us > now_us]

    def can_lose_another(self) -> bool:
        """Whether another machine may be lost now."""
        return len(self.lost_machines()) < self.max_lost

    def choose_victim(self) -> Machine | None:
        """Choose a machine that may be lost now, often the leader; None if no other may be lost."""
        lost = self.lost_machines()
        if len(lost) >= self.max_lost:
            return None
        running = self.cluster.running_machines()
        candidates = [each for each in running if each not in lost and not each.is_removed]
        leader = self.cluster.leader()
        if leader in candidates and self.random.random() < LEADER_FAULT_RATE:
            return leader
        return self.random.choice(candidates) if candidates else None

    def mark_lost(self, machine: Machine, seconds: float) -> None:
        """Count a machine as lost for `seconds` and its recovery."""
        machine.lost_until_us = self.loop.now_us + round((seconds + RECOVERY_S) * SECOND)

    def call_after(self, seconds: float, callback: Callable[..., object], *args: Any) -> None:
        """Call `callback` after that many simulated seconds, outside all processes."""
        self.loop.schedule(round(seconds * SECOND), None, callback, *args)

    def choose(self) -> "Fault":
        """Choose a random fault; call it with this injector to inject it."""
        return self.random.choice(RANDOM_FAULTS)

    def crash(self, power: bool = False, wipe: bool = False) -> None:
        """Kill a process, with a loss of `power` or of the disk (`wipe`), and restart it."""
        machine = self.choose_victim()
        if machine is None:
            return
        seconds = self.random.choice(CRASH_DURATIONS_S)
        self.mark_lost(machine, seconds)
        machine.kill(power or wipe, wipe)
        self.call_after(seconds, machine.start)

    def crash_all(self, power: bool, wipe_one: bool = False) -> None:
        """Crash all machines at once; with `wipe_one`, one loses its disk if that is tolerable."""
        wiped = self.choose_victim() if wipe_one else None
        if wiped is not None:
            self.mark_lost(wiped, 1.0)
        for machine in self.cluster.running_machines():
            machine.kill(power, machine is wiped)
            self.call_after(0.2 + self.random.random(), machine.start)

    def partition(self, one_way: bool = False) -> None:
        """Block the links of a machine, in both directions or one."""
        machine = self.choose_victim()
        if machine is None:
            return
        seconds = self.random.choice(PARTITION_DURATIONS_S)
        self.mark_lost(machine, seconds)
        if one_way and self.random.random() < 0.5:
            others = [each for each in self.cluster.machines if each != machine.name]
            self.cluster.partition(others, one_way=True)  # the machine sends but receives nothing
        else:
            self.cluster.partition([machine.name], one_way)
        self.call_after(seconds, self.cluster.heal)

    def freeze(self) -> None:
        """Freeze a process temporarily."""
        machine = self.choose_victim()
        if machine is not None:
            seconds = self.random.choice(FREEZE_DURATIONS_S)
            self.mark_lost(machine, seconds)
            machine.freeze(seconds)

    def stall_disk(self, full: bool) -> None:
        """Make a disk reject writes (`full`) or stall temporarily."""
        machine = self.choose_victim()
        if machine is None:
            return
        seconds = self.random.choice(STALL_DURATIONS_S)
        self.mark_lost(machine, seconds)
        if full:
            self.cluster.note(f"{machine.name}: disk full for {seconds} s")
            machine.disk.is_full = True
            self.call_after(seconds, setattr, machine.disk, "is_full", False)
        else:
            self.cluster.note(f"{machine.name}: disk stalls for {seconds} s")
            machine.disk.stalled_until_us = self.loop.now_us + round(seconds * SECOND)

    def slow_link(self) -> None:
        """Limit the outbound bandwidth of a machine temporarily."""
        machine = self.choose_victim()
        if machine is None:
            return
        self.cluster.note(f"{machine.name}: slow link for 5 s")
        self.mark_lost(machine, SLOW_LINK_DURATION_S)
        bandwidths = self.cluster.network.bytes_per_second
        bandwidths[machine.ip] = SLOW_LINK_BYTES_PER_SECOND
        self.call_after(SLOW_LINK_DURATION_S, bandwidths.pop, machine.ip, None)

    def restart(self) -> None:
        """Shut a process down gracefully, and restart it on its disk."""
        machine = self.choose_victim()
        if machine is None:
            return
        self.mark_lost(machine, 1.5)
        machine.stop()
        self.call_after(1.2, self._start_if_stopped, machine)

    def _start_if_stopped(self, machine: Machine) -> None:
        if not machine.is_removed and not machine.is_running:
            machine.start()

    def replace(self, planned: bool) -> None:
        """Replace a machine by an empty one; if `planned`, the new one starts first."""
        machine = self.choose_victim()
        if machine is None:
            return
        self.mark_lost(machine, 60.0)  # ends earlier: a removed machine does not count as lost
        successor = self.cluster.add()
        delay_s = self.random.choice(REPLACEMENT_DELAYS_S)
        if planned:
            successor.start()
            self.call_after(delay_s, self._remove, machine, successor, True)
        else:
            self._remove(machine, successor, False)
            self.call_after(delay_s, successor.start)

    def _remove(self, machine: Machine, successor: Machine, graceful: bool) -> None:
        """Remove a machine, after a shutdown if `graceful`; its successor counts as lost while it joins.

        Without `graceful` the successor has not started yet; it starts within `REPLACEMENT_DELAYS_S`.
        """
        self.mark_lost(successor, 1.0 if graceful else 3.0)
        if graceful:
            machine.stop()
            self.call_after(1.5, self.cluster.remove, machine)
        else:
            self.cluster.remove(machine)

    def return_removed(self) -> None:
        """Restart a machine that was replaced, on its old disk."""
        removed = [each for each in self.cluster.machines.values() if each.is_removed]
        if removed:
            machine = self.random.choice(removed)
            machine.is_removed = False
            machine.lost_until_us = 0
            machine.start()


Fault = Callable[[FaultInjector], None]

RANDOM_FAULTS: tuple[Fault, ...] = (
    FaultInjector.crash,
    partial(FaultInjector.crash, power=True),
    partial(FaultInjector.crash, wipe=True),
    partial(FaultInjector.crash_all, power=False),
    partial(FaultInjector.crash_all, power=True),
    partial(FaultInjector.crash_all, power=True, wipe_one=True),
    FaultInjector.partition,
    partial(FaultInjector.partition, one_way=True),
    FaultInjector.freeze,
    partial(FaultInjector.stall_disk, full=False),
    partial(FaultInjector.stall_disk, full=True),
    FaultInjector.slow_link,
    FaultInjector.restart,
    partial(FaultInjector.replace, planned=True),
    partial(FaultInjector.replace, planned=False),
    FaultInjector.return_removed,
)
"""All kinds of faults, with equal probability."""
