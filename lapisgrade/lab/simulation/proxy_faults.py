"""Faults of simulated proxies, mostly at the owner of the tenant's counter."""

from collections.abc import Callable
from random import Random

from lapisgrade.lab.simulation.cluster import Cluster
from lapisgrade.lab.simulation.proxies import ProxyMachine
from lapisgrade.lab.simulation.virtual_loop import SECOND

OWNER_FAULT_RATE = 0.6  # fraction of faults that hit the owner of the counter; the others hit any proxy
FAULT_DURATIONS_S = (0.3, 1.0, 2.4, 4.0)
RESTART_DELAY_S = 3.0  # minimum time from the start of a graceful shutdown to the restart
OWNER_PARTITION_S = 2.6  # long enough for a partitioned proxy to lose its ownership
NEXT_OWNER_PARTITION_S = 2.2  # duration of the partition that follows it
MAX_SKEW_US = 500 * SECOND  # maximum offset of a steady clock


class ProxyFaultInjector:
    """Injects faults into the proxies of a simulation.

    All faults have the same parameters, so that one can be chosen at random: the machine, and the duration of
    the fault or the delay of the restart. Some ignore one or both.
    """

    def __init__(
        self,
        cluster: Cluster,
        random: Random,
        proxy_machines: list[ProxyMachine],
        call_after: Callable[..., None],
    ) -> None:
        self.cluster = cluster
        self.random = random
        self.proxy_machines = proxy_machines
        self.call_after = call_after

    def inject_random(self, owner_name: str) -> None:
        """Inject a random fault; `owner_name` is the owner of the tenant's counter."""
        running = [each for each in self.proxy_machines if each.is_running]
        if not running:
            return
        owner = next((each for each in running if each.name == owner_name), None)
        if owner is not None and self.random.random() < OWNER_FAULT_RATE:
            machine = owner
        else:
            machine = self.random.choice(running)
        faults = (
            self.partition,
            self.freeze,
            self.kill,
            self.stop,
            self.kill_all,
            self.skew_clock,
            self.swap_owners,
        )
        fault = self.random.choice(faults)
        fault(machine, self.random.choice(FAULT_DURATIONS_S))

    def partition(self, machine: ProxyMachine, seconds: float) -> None:
        """Block a proxy's links to all machines except its clients."""
        self.cluster.note(f"{machine.name} is isolated for {seconds} s")
        all_machines = (*self.proxy_machines, *self.cluster.machines.values())
        others = [each.ip for each in all_machines if each is not machine]
        outbound = {(machine.ip, ip) for ip in others}
        inbound = {(ip, machine.ip) for ip in others}
        self.cluster.network.blocked_links |= outbound | inbound
        self.call_after(seconds, self.cluster.heal)

    def freeze(self, machine: ProxyMachine, seconds: float) -> None:
        """Freeze a proxy."""
        machine.freeze(seconds)

    def kill(self, machine: ProxyMachine, seconds: float) -> None:
        """Kill a proxy, and restart it."""
        machine.kill()
        self.call_after(self.random.choice((0.3, seconds)), machine.start)

    def stop(self, machine: ProxyMachine, seconds: float) -> None:
        """Shut a proxy down gracefully, and restart it."""
        machine.stop()
        self.call_after(RESTART_DELAY_S + seconds, machine.start)

    def kill_all(self, machine: ProxyMachine, seconds: float) -> None:
        """Kill all proxies, and restart them."""
        for each in self.proxy_machines:
            each.kill()
            self.call_after(0.2 + self.random.random() * 0.5, each.start)

    def skew_clock(self, machine: ProxyMachine, seconds: float) -> None:
        """Restart a proxy with a different steady clock, as after a reboot of its machine."""
        machine.kill()
        machine.start(self.random.randrange(MAX_SKEW_US))

    def swap_owners(self, machine: ProxyMachine, seconds: float) -> None:
        """Isolate a proxy until it counts as unresponsive, and isolate another as its links are restored."""
        self.partition(machine, OWNER_PARTITION_S)
        others = [each for each in self.proxy_machines if each.is_running and each is not machine]
        if others:
            # The second partition starts just after the first has ended.
            self.call_after(2.61, self.partition, self.random.choice(others), NEXT_OWNER_PARTITION_S)
