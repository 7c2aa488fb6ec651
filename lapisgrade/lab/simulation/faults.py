"""Faults of simulated machines, drawn at random: crashes, partitions, stalled disks, replacements.

A `FaultInjector` never has more machines lost at once than the cluster must tolerate. A machine counts as
lost from its fault until it had time to recover.
"""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from lapisgrade.lab.simulation.cluster import Cluster
from lapisgrade.lab.simulation.machine import Machine
from lapisgrade.lab.simulation.virtual_loop import SECOND

RECOVERY_S = 4.0  # that a machine counts as lost after it is back
SLOW_LINK_BYTES_PER_SECOND = 250_000.0  # 2 Mbit/s
LEADER_FAULT_RATE = 0.4
CRASH_DURATIONS_S = (0.05, 0.5, 1.5, 4.0)
PARTITION_DURATIONS_S = (0.3, 1.2, 3.0, 20.0)
FREEZE_DURATIONS_S = (0.2, 0.6, 2.0, 8.0)
STALL_DURATIONS_S = (0.3, 2.0, 5.0)
SLOW_LINK_DURATION_S = 5.0
REPLACEMENT_DELAYS_S = (0.3, 1.0, 2.5)


class FaultInjector:
    """Injects faults into a cluster's machines, `tolerate` of them lost at the most at any time."""

    def __init__(self, cluster: Cluster, random: Random, tolerate: int) -> None:
        self.cluster = cluster
        self.loop = cluster.loop
        self.random = random
        self.tolerate = tolerate

    def lost_machines(self) -> list[Machine]:
        """Return the machines that count as lost now."""
        now_us = self.loop.now_us
        machines = self.cluster.machines.values()
        return [each for each in machines if not each.is_removed and each.lost_until_us > now_us]

    def can_lose_another(self) -> bool:
        """Whether one more machine may be lost now."""
        return len(self.lost_machines()) < self.tolerate

    def choose_victim(self) -> Machine | None:
        """Choose a machine that may be lost now, often the leader; None where no more may be."""
        lost = self.lost_machines()
        if len(lost) >= self.tolerate:
            return None
        running = self.cluster.running_machines()
        candidates = [each for each in running if each not in lost and not each.is_removed]
        leader = self.cluster.leader()
        if leader in candidates and self.random.random() < LEADER_FAULT_RATE:
            return leader
        return self.random.choice(candidates) if candidates else None

    def mark_lost(self, machine: Machine, seconds: float) -> None:
        """Count a machine as lost for so many seconds, and as long as it needs to recover."""
        machine.lost_until_us = self.loop.now_us + round((seconds + RECOVERY_S) * SECOND)

    def call_after(self, seconds: float, callback: Callable[..., object], *args: Any) -> None:
        """Call `callback` in so many simulated seconds, outside all processes."""
        self.loop.schedule(round(seconds * SECOND), None, callback, *args)

    def choose(self) -> "Fault":
        """Choose a random kind of fault, to be called with this injector."""
        return self.random.choice(RANDOM_FAULTS)

    def crash(self, power: bool = False, wipe: bool = False) -> None:
        """Kill a process, with `power` or the whole disk lost, and start it again."""
        machine = self.choose_victim()
        if machine is None:
            return
        seconds = self.random.choice(CRASH_DURATIONS_S)
        self.mark_lost(machine, seconds)
        machine.kill(power or wipe, wipe)
        self.call_after(seconds, machine.start)

    def crash_all(self, power: bool, wipe_one: bool = False) -> None:
        """Crash all at once; their disks stay, but for one where that may be lost."""
        wiped = self.choose_victim() if wipe_one else None
        if wiped is not None:
            self.mark_lost(wiped, 1.0)
        for machine in self.cluster.running_machines():
            machine.kill(power, machine is wiped)
            self.call_after(0.2 + self.random.random(), machine.start)

    def partition(self, one_way: bool = False) -> None:
        """Block the links of a machine, both ways or one way."""
        machine = self.choose_victim()
        if machine is None:
            return
        seconds = self.random.choice(PARTITION_DURATIONS_S)
        self.mark_lost(machine, seconds)
        if one_way and self.random.random() < 0.5:
            others = [each for each in self.cluster.machines if each != machine.name]
            self.cluster.partition(others, one_way=True)  # the machine sends, and receives nothing
        else:
            self.cluster.partition([machine.name], one_way)
        self.call_after(seconds, self.cluster.heal)

    def freeze(self) -> None:
        """Freeze a process for some time."""
        machine = self.choose_victim()
        if machine is not None:
            seconds = self.random.choice(FREEZE_DURATIONS_S)
            self.mark_lost(machine, seconds)
            machine.freeze(seconds)

    def stall_disk(self, full: bool) -> None:
        """Have a disk refuse writes (`full`) or stall for some time."""
        machine = self.choose_victim()
        if machine is None:
            return
        seconds = self.random.choice(STALL_DURATIONS_S)
        self.mark_lost(machine, seconds)
        if full:
            self.cluster.note(f"{machine.name}: its disk is full for {seconds} s")
            machine.disk.is_full = True
            self.call_after(seconds, setattr, machine.disk, "is_full", False)
        else:
            self.cluster.note(f"{machine.name}: its disk stalls for {seconds} s")
            machine.disk.stalled_until_us = self.loop.now_us + round(seconds * SECOND)

    def slow_link(self) -> None:
        """Limit the bandwidth out of a machine for some time."""
        machine = self.choose_victim()
        if machine is None:
            return
        self.cluster.note(f"{machine.name}: a slow link for 5 s")
        self.mark_lost(machine, SLOW_LINK_DURATION_S)
        bandwidths = self.cluster.network.bytes_per_second
        bandwidths[machine.ip] = SLOW_LINK_BYTES_PER_SECOND
        self.call_after(SLOW_LINK_DURATION_S, bandwidths.pop, machine.ip, None)

    def restart(self) -> None:
        """Shut a process down gracefully, and start it again with its disk."""
        machine = self.choose_victim()
        if machine is None:
            return
        self.mark_lost(machine, 1.5)
        machine.stop()
        self.call_after(1.2, self._start_again, machine)

    def _start_again(self, machine: Machine) -> None:
        if not machine.is_removed and not machine.is_running:
            machine.start()

    def replace(self, planned: bool) -> None:
        """Remove a machine for good and add an empty one; `planned`, the new one starts first."""
        machine = self.choose_victim()
        if machine is None:
            return
        self.mark_lost(machine, 60.0)
        successor = self.cluster.add()
        delay_s = self.random.choice(REPLACEMENT_DELAYS_S)
        if planned:
            successor.start()
            self.call_after(delay_s, self._remove, machine, successor, True)
        else:
            self._remove(machine, successor, False)
            self.call_after(delay_s, successor.start)

    def _remove(self, machine: Machine, successor: Machine, graceful: bool) -> None:
        self.mark_lost(successor, 1.0 if graceful else 3.0)
        if graceful:
            machine.stop()
            self.call_after(1.5, self.cluster.remove, machine)
        else:
            self.cluster.remove(machine)

    def return_removed(self) -> None:
        """Start a machine that was replaced, with its old disk."""
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
"""Every kind of fault, each as likely as any other."""
