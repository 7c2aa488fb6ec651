"""Faults for keyed operations: of the proxy that runs one, of the leader, and of all machines at once."""

from random import Random
from typing import TYPE_CHECKING

from lapisgrade.lab.simulation.operations.proxy import KeyedProxyMachine
from lapisgrade.lab.simulation.virtual_loop import SECOND, Process

if TYPE_CHECKING:
    from lapisgrade.lab.simulation.machine import Machine
    from lapisgrade.lab.simulation.operations.simulation import KeyedSimulation

PARTITION_DURATIONS_S = (0.3, 1.0, 2.5, 6.0)
FREEZE_DURATIONS_S = (0.2, 0.8, 2.5)
RESTART_DELAYS_S = (0.05, 0.3, 1.0, 3.0)
STOP_RESTART_DELAY_S = 6.5  # from SIGTERM to the restart; longer than the grace period
MAX_SKEW_US = 500 * SECOND  # maximum offset of a steady clock
MAX_PACE_DEVIATION = 0.01  # maximum drift of a steady clock, a hundred times that of real clocks
LAGGING_DISK_SLOWDOWN = 50.0  # factor on the duration of a slow disk's calls
HOLDER_RESTART_DELAY_S = 1.5  # additional delay of the restart of controllers that have the newest entry
MIN_AND_MAX_DELAY_S = (0.05, 1.2)  # additional delay of a delayed leader's messages
STALL_DURATIONS_S = (0.3, 1.5, 4.0)


class KeyedFaults:
    """Injects faults into proxies, the leader, the disks of several controllers, and all machines at once."""

    def __init__(self, simulation: "KeyedSimulation", random: Random) -> None:
        self.simulation = simulation
        self.cluster = simulation.cluster
        self.random = random
        self.call_after = simulation.faults.call_after

    # ---- one proxy

    def inject_at_proxy(self) -> None:
        """Inject a random fault into a proxy, mostly the one that sent the last request to a server."""
        machine = self.simulation.last_sender()
        if not machine.is_running or self.random.random() < 0.4:
            running = [each for each in self.simulation.proxy_machines if each.is_running]
            if not running:
                return
            machine = self.random.choice(running)
        self.random.choice((self.kill, self.kill, self.stop, self.freeze, self.partition, self.change_clock))(
            machine
        )

    def kill(self, machine: KeyedProxyMachine) -> None:
        """Kill a proxy, and restart it."""
        machine.kill()
        self.call_after(self.random.choice(RESTART_DELAYS_S), machine.start)

    def stop(self, machine: KeyedProxyMachine) -> None:
        """Shut a proxy down as on SIGTERM, and restart it."""
        machine.stop()
        self.call_after(STOP_RESTART_DELAY_S, machine.start)

    def freeze(self, machine: KeyedProxyMachine) -> None:
        """Freeze a proxy temporarily."""
        machine.freeze(self.random.choice(FREEZE_DURATIONS_S))

    def change_clock(self, machine: KeyedProxyMachine) -> None:
        """Restart a proxy with a different offset and drift of its steady clock."""
        machine.kill()
        machine.start(self.random.randrange(MAX_SKEW_US))
        self.change_pace(machine.process)

    def change_pace(self, process: Process) -> None:
        """Change the drift of a process's steady clock."""
        pace = 1 + self.random.uniform(-MAX_PACE_DEVIATION, MAX_PACE_DEVIATION)
        process.set_pace(pace, self.simulation.loop.now_us)

    def partition(self, machine: KeyedProxyMachine) -> None:
        """Block a proxy's links to some or all machines, in both directions or one."""
        all_machines = [*self.simulation.proxy_machines, *self.cluster.machines.values()]
        others = [each.ip for each in all_machines if each is not machine]
        if self.random.random() < 0.4:
            others = self.random.sample(others, self.random.randrange(1, len(others)))
        direction = self.random.choice(("both ways", "outbound", "inbound"))
        blocked = self.cluster.network.blocked_links
        if direction != "inbound":
            blocked |= {(machine.ip, other) for other in others}
        if direction != "outbound":
            blocked |= {(other, machine.ip) for other in others}
        seconds = self.random.choice(PARTITION_DURATIONS_S)
        self.cluster.note(
            f"{machine.name}: partitioned from {len(others)} machines, {direction}, for {seconds} s"
        )
        self.call_after(seconds, self.cluster.heal)

    # ---- the controllers

    def partition_leader(self) -> None:
        """Partition the leader, with some of the proxies on its side."""
        leader = self.cluster.leader()
        if leader is None:
            return
        proxies_inside = [each.ip for each in self.simulation.proxy_machines if self.random.random() < 0.5]
        inside = [leader.ip, *proxies_inside]
        all_machines = [*self.simulation.proxy_machines, *self.cluster.machines.values()]
        outside = [each.ip for each in all_machines if each.ip not in inside]
        direction = self.random.choice(("both ways", "both ways", "outbound", "inbound"))
        self.cluster.note(f"{leader.name} is partitioned with {proxies_inside}, {direction}")
        blocked = self.cluster.network.blocked_links
        if direction != "inbound":
            blocked |= {(a, b) for a in inside for b in outside}
        if direction != "outbound":
            blocked |= {(b, a) for a in inside for b in outside}

    def delay_leader(self) -> None:
        """Delay the leader's messages to some machines."""
        leader = self.cluster.leader()
        if leader is None:
            return
        delays = self.cluster.network.extra_delay_us
        all_machines = [*self.simulation.proxy_machines, *self.cluster.machines.values()]
        for machine in self.random.sample(all_machines, self.random.randrange(1, len(all_machines))):
            delays[leader.ip, machine.ip] = round(self.random.uniform(*MIN_AND_MAX_DELAY_S) * SECOND)
        self.cluster.note(f"{leader.name}: messages to {len(delays)} machines are delayed")
        self.call_after(self.random.choice(PARTITION_DURATIONS_S), delays.clear)

    def stall_disks(self, is_full: bool) -> None:
        """Make the disks of a majority stall, or reject all writes."""
        machines = self.cluster.running_machines()
        seconds = self.random.choice(STALL_DURATIONS_S)
        affected = self.random.sample(machines, len(machines) // 2 + 1)
        self.cluster.note(
            f"{[each.name for each in affected]}: disks {'full' if is_full else 'stall'}, {seconds} s"
        )
        for machine in affected:
            if is_full:
                machine.disk.is_full = True
                self.call_after(seconds, setattr, machine.disk, "is_full", False)
            else:
                machine.disk.stalled_until_us = self.simulation.loop.now_us + round(seconds * SECOND)

    # ---- all machines

    def slow_some_disks(self) -> None:
        """Slow down the disks of a minority, so that committed entries are durable on the others only."""
        leader = self.cluster.leader()
        others = [each for each in self.cluster.running_machines() if each is not leader]
        for machine in self.random.sample(others, len(others) // 2):
            machine.disk.slowdown = LAGGING_DISK_SLOWDOWN

    def lose_all_power(self, wiped: int) -> None:
        """Cut the power of all machines at once, and wipe the disks of `wiped` controllers.

        The wiped disks are among those with the newest entry; other controllers with that entry restart late.
        """
        machines = self.cluster.running_machines()
        holders = [each for each in machines if self._has_newest_entry(each)]
        wiped_machines = self.random.sample(holders, min(wiped, len(holders)))
        for machine in machines:
            is_late = machine in holders and machine not in wiped_machines
            self._lose_power(machine, machine in wiped_machines, HOLDER_RESTART_DELAY_S if is_late else 0.0)
        for proxy in self.simulation.proxy_machines:
            proxy.kill()
            self.call_after(0.2 + self.random.random(), proxy.start)

    def _has_newest_entry(self, machine: "Machine") -> bool:
        entries = self.cluster.invariants.entries
        newest = max(entries, default=0)
        return newest == 0 or machine.disk.has_synced(newest, entries[newest].term)

    def _lose_power(self, machine: "Machine", is_wiped: bool, delay_s: float) -> None:
        if is_wiped:
            self.simulation.faults.mark_lost(machine, 1.0)
        machine.disk.slowdown = 1.0
        machine.kill(power=True, wipe=is_wiped)
        self.call_after(0.2 + 0.3 * self.random.random() + delay_s, self._start_if_stopped, machine)

    def _start_if_stopped(self, machine: "Machine") -> None:
        if not machine.is_removed and not machine.is_running:
            machine.start()
