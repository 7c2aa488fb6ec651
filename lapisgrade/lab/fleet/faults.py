"""Injects the faults of a run, each at its time, and undoes those that have a duration at its end."""

import asyncio
import time
from random import Random

from lapisgrade.fakes.counter import CounterMode
from lapisgrade.fakes.discovery import ServerEntry
from lapisgrade.lab.emulator import scenario as scenarios
from lapisgrade.lab.emulator.scenario import Fault, Scenario
from lapisgrade.lab.fleet import history as h
from lapisgrade.lab.fleet import process
from lapisgrade.lab.fleet.limiter import Limiter
from lapisgrade.lab.fleet.process import Helper
from lapisgrade.lab.fleet.recorders import RecordingCounter
from lapisgrade.lab.fleet.relay import FROM_TARGET, TO_TARGET, Link, TcpRelay, UdpRelay

DISCOVERY_DELAY_S = 2.0  # time from a server's kill until discovery removes it, as in the emulator
COUNTER_CONNECTIONS = 8  # connections that the fake counter accepts per limiter, old and new ones together
HARD_STOP_MARGIN_S = 3.0  # added to the longest time-out: maximum time of a limiter's graceful shutdown
SLOW_COUNTER_DELAY_S = 0.010  # ten times a usual counter delay of 1 ms, as in the emulator


class FaultInjector:
    """Injects faults into the parts of a run; `TestBed` provides them.

    Attributes:
        scenario: Scenario that is run.
        writer: Writer of the history.
        random: Source of all random choices.
        counter: Counter of the limiters, before any `counter_swap`.
        replacement_counters: Counters that replaced it, in order.
        relays: All relays of the run.
        limiters: All limiters, by index.
        servers: Process of the servers.
        addresses: Addresses of the servers, by number.
        pending_changes: Server states, with the servers' numbers, that stale discovery doesn't show yet;
            None while discovery is up to date.
    """

    scenario: Scenario
    writer: h.Writer
    random: Random
    counter: RecordingCounter
    replacement_counters: list[RecordingCounter]
    relays: list[TcpRelay | UdpRelay]
    limiters: list[Limiter]
    servers: Helper
    addresses: list[str]
    pending_changes: list[tuple[str, int]] | None
    _started_s: float
    _running_faults: list[asyncio.Task]

    async def _inject_faults(self) -> None:
        """Inject each fault at its time, and wait until the last one has ended."""
        for fault in sorted(self.scenario.faults, key=lambda each: each.at_us):
            wait_s = self._started_s + fault.at_us / h.SECOND - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            # A surge is part of the clients' schedule and is only recorded here.
            injection = self._surge(fault) if fault.kind == "surge" else self._inject(fault)
            self._running_faults.append(asyncio.create_task(injection))
        if self._running_faults:
            await asyncio.gather(*self._running_faults)

    def _record(self, fault: Fault, has_begun: bool) -> None:
        """Record in the history that a fault has begun, or that it has ended."""
        self.writer.put(h.FaultChanged(at=h.now_us(), what=fault.kind, target=fault.target, on=has_begun))

    async def _surge(self, fault: Fault) -> None:
        """Record a surge; one without a duration lasts until the end of the run and has no recorded end."""
        self._record(fault, True)
        if await self._wait_duration(fault):
            self._record(fault, False)

    async def _inject(self, fault: Fault) -> None:
        """Inject one fault, wait for its duration if it has one, and then undo it.

        Without a duration the change stays, except that stale discovery is undone at once. A drain or restart
        of servers, and a restart, replacement or return of the counter, are never undone. The end is recorded
        in every case: when the fault is undone, or once its change is made.
        """
        self._record(fault, True)
        kind = fault.kind
        if kind.startswith("limiter_") or kind.startswith("disk_"):
            await self._inject_into_limiters(fault)
        elif kind.startswith("server_"):
            await self._inject_into_servers(fault)
        elif kind.startswith("link_") or kind in ("partition", "counter_cut"):
            await self._inject_into_links(fault)
        elif kind.startswith("counter_"):
            await self._inject_into_counter(fault)
        elif kind == "discovery_stale":
            self.pending_changes = []
            await self._wait_duration(fault)
            pending_changes, self.pending_changes = self.pending_changes, None
            for state, number in pending_changes:
                self._change_server_state(state, number)
        self._record(fault, False)

    async def _wait_duration(self, fault: Fault) -> bool:
        """Wait for the fault's duration; return whether the fault has an end."""
        if fault.duration_us:
            await asyncio.sleep(fault.duration_us / h.SECOND)
        return bool(fault.duration_us)

    def _select(self, fault: Fault, count: int) -> list[int]:
        """Return the numbers, of `count` limiters or servers, that the fault's target selects."""
        target = fault.target
        if target == "all":
            return list(range(count))
        if target.startswith("share:"):
            return sorted(self.random.sample(range(count), min(count, round(float(target[6:]) * count))))
        return parse_range(target, count)

    async def _inject_into_limiters(self, fault: Fault) -> None:
        """Inject a fault into each selected limiter, at intervals of `fault.wave_interval_us`."""
        selected = [self.limiters[index] for index in self._select_limiters(fault)]

        async def inject_into(position: int, limiter: Limiter) -> None:
            await asyncio.sleep(position * fault.wave_interval_us / h.SECOND)
            await self._inject_into_limiter(fault, limiter)

        await asyncio.gather(*(inject_into(position, each) for position, each in enumerate(selected)))

    def _select_limiters(self, fault: Fault) -> list[int]:
        """Return the indices of the limiters that the fault's target, or its partition group, selects."""
        if fault.target.startswith("group:"):
            return parse_range(
                self.scenario.partition_groups[fault.target[6:]].limiters, self.scenario.limiters
            )
        return self._select(fault, self.scenario.limiters)

    async def _inject_into_limiter(self, fault: Fault, limiter: Limiter) -> None:
        """Pause, end or kill a limiter, or damage its disk; resume or restart it after the fault's duration.

        Without a duration it is not resumed or restarted, except for `limiter_restart`.
        """
        kind, limiter_process = fault.kind, limiter.process
        if kind == "limiter_pause":
            if limiter_process.pause():
                limiter.record_event("paused")
                if await self._wait_duration(fault) and limiter_process.resume():
                    limiter.record_event("resumed")
        elif kind == "disk_full":
            limiter_process.refuse_writes(True)
            if await self._wait_duration(fault):
                limiter_process.refuse_writes(False)
        elif kind == "limiter_term":
            limiter.record_event("ended")
            await limiter_process.end(
                max(each.timeout_us for each in self.scenario.categories) / h.SECOND + HARD_STOP_MARGIN_S
            )
            if await self._wait_duration(fault):
                await limiter.start()
        else:
            limiter.record_event("killed")
            await limiter_process.kill()
            if kind.startswith("disk_"):
                {"lost": process.wipe, "truncated": process.truncate, "flipped": process.flip_bit}[kind[5:]](
                    limiter.state
                )
            if await self._wait_duration(fault) or kind == "limiter_restart":
                await limiter.start()

    async def _inject_into_servers(self, fault: Fault) -> None:
        """Change the behavior of the selected servers, or drain, kill or restart them.

        A server that is killed leaves discovery after `DISCOVERY_DELAY_S`, or at the end of the fault if that
        is earlier, and is restarted at the end.
        """
        numbers, kind = self._select(fault, self.scenario.servers), fault.kind.removeprefix("server_")
        if kind in ("slow", "failing", "fast_errors", "silent", "well"):
            await self.servers.request(do="mode", which=numbers, mode=kind, factor=fault.factor)
            if await self._wait_duration(fault):
                await self.servers.request(do="mode", which=numbers, mode="well")
        elif kind == "drain":
            for number in numbers:
                self._change_server_state("terminating", number)
            await self.servers.request(do="drain", which=numbers)
            await asyncio.sleep(4 * self.scenario.server_rules.drain_grace_us / h.SECOND)
            for number in numbers:
                self._change_server_state("terminated", number)
            await self.servers.request(do="kill", which=numbers)
        elif kind == "kill":
            await self.servers.request(do="kill", which=numbers)
            duration_s = fault.duration_us / h.SECOND
            await asyncio.sleep(min(DISCOVERY_DELAY_S, duration_s) if duration_s else DISCOVERY_DELAY_S)
            for number in numbers:
                self._change_server_state("terminated", number)
            if duration_s:
                await asyncio.sleep(max(0.0, duration_s - DISCOVERY_DELAY_S))
                await self._restart_servers(numbers)
        elif kind == "restart":
            await self._restart_servers(numbers)

    async def _restart_servers(self, numbers: list[int]) -> None:
        """Restart servers, and show them at discovery."""
        await self.servers.request(do="restart", which=numbers)
        for number in numbers:
            self._change_server_state("in_service", number)

    def _change_server_state(self, state: str, number: int) -> None:
        """Change a server's state at the discovery agents, or defer the change while discovery is stale."""
        self.writer.put(h.ServerStateChanged(at=h.now_us(), server=f"s{number}", state=state))
        if self.pending_changes is not None:
            self.pending_changes.append((state, number))
            return
        for limiter in self.limiters:
            entry = limiter.agent.entries[f"s{number}"]
            if state == "in_service":
                started_ms = time.time_ns() // 1_000_000
                limiter.agent.put(
                    ServerEntry(
                        entry.instance_id, entry.host_port, entry.zone, entry.cell, started_ms=started_ms
                    )
                )
            elif state == "terminating":
                limiter.agent.drain(entry.instance_id)
            else:
                limiter.agent.remove(entry.instance_id)

    async def _inject_into_links(self, fault: Fault) -> None:
        """Change the links that the fault affects, and restore them at its end."""
        selected = self._affected_relays(fault)
        for relay in selected:
            apply_to_link(relay.link, fault)
            relay.apply_link_change()
        self._block_peers(fault, True)
        if await self._wait_duration(fault):
            for relay in selected:
                relay.link.heal()
                relay.apply_link_change()
            self._block_peers(fault, False)

    def _affected_relays(self, fault: Fault) -> list[TcpRelay]:
        """Return the relays of the links that the fault affects."""
        if fault.kind != "partition":
            kinds = (
                ["counter"]
                if fault.kind == "counter_cut"
                else ([fault.link] if fault.link else list(scenarios.LINKS))
            )
            selected = [self.limiters[index] for index in self._select_limiters(fault)]
            return [relay for limiter in selected for kind in kinds for relay, _ in limiter.links[kind]]
        group = self.scenario.partition_groups[fault.target[6:]]
        inside = set(parse_range(group.limiters, self.scenario.limiters))
        servers = set(parse_range(group.servers, self.scenario.servers))
        affected = []
        for limiter in self.limiters:
            is_inside = limiter.index in inside
            for kind, links in limiter.links.items():
                # `_block_peers` cuts the links between limiters.
                for relay, number in links if kind != "peer" else ():
                    is_far_end_inside = group.counter if kind == "counter" else number in servers
                    # A discovery agent runs on the limiter's machine, so no partition cuts its link.
                    if kind != "discovery" and is_inside != is_far_end_inside:
                        affected.append(relay)
        return affected

    def _block_peers(self, fault: Fault, is_blocked: bool) -> None:
        """Block traffic between limiters, or allow it again, at the relay of the receiver.

        In a partition, each relay drops datagrams from all limiters on the other side. If a peer link is cut,
        it drops those from the limiters that the fault selects. Any other fault blocks nothing.
        """
        is_partition = fault.kind == "partition"
        if not is_partition and (
            fault.kind not in ("link_cut", "link_cut_back") or fault.link not in ("", "peer")
        ):
            return
        inside = set(self._select_limiters(fault))
        for limiter in self.limiters:
            blocked_ports = {
                other.peer_port
                for other in self.limiters
                if other is not limiter
                and (
                    (other.index in inside) != (limiter.index in inside)
                    if is_partition
                    else other.index in inside
                )
            }
            for relay, _ in limiter.links["peer"]:
                relay.blocked_sources = (
                    relay.blocked_sources | blocked_ports
                    if is_blocked
                    else relay.blocked_sources - blocked_ports
                )

    async def _inject_into_counter(self, fault: Fault) -> None:
        """Change the mode of the counter, or restart, split or replace it.

        All but a replacement affect the first counter, also after it was replaced.
        """
        counter, kind = self.counter, fault.kind.removeprefix("counter_")
        if kind == "lost":
            counter.set_mode(CounterMode.SILENT)
            if await self._wait_duration(fault):
                counter.set_mode(CounterMode.NORMAL)
        elif kind in ("back", "well"):
            counter.set_mode(CounterMode.NORMAL)
        elif kind == "slow":
            counter.delay_s = SLOW_COUNTER_DELAY_S
            counter.set_mode(CounterMode.SLOW)
            if await self._wait_duration(fault):
                counter.set_mode(CounterMode.NORMAL)
        elif kind in ("stale", "spoilt"):
            counter.set_mode(CounterMode(kind))
            if await self._wait_duration(fault):
                counter.set_mode(CounterMode.NORMAL)
        elif kind == "restart":
            counter.restart()
        elif kind == "split":
            counter.split()
            if await self._wait_duration(fault):
                counter.heal()
        elif kind == "swap":
            new_counter = RecordingCounter(max_connections=COUNTER_CONNECTIONS * self.scenario.limiters)
            new_counter.writer = self.writer
            self.replacement_counters.append(await new_counter.open())
            for limiter in self.limiters:
                limiter.counter_address = new_counter.address
                limiter.write_config()
                limiter.signal_reload()


def max_delay_us(scenario: Scenario, fault: Fault) -> int:
    """Return the maximum delay in us that the fault adds to data on a link.

    Data written before or during a cut arrives once the link is healed, as if the kernel sent it again.
    """
    if fault.kind == "link_slow":
        return fault.delay_us + fault.jitter_us
    if fault.kind == "partition" or fault.kind.startswith("link_cut"):
        return fault.duration_us or scenario.seconds_us
    return 0


def apply_to_link(link: Link, fault: Fault) -> None:
    """Set a link's behavior as a fault on links demands; `Link.heal` undoes it."""
    kind = fault.kind
    if kind in ("link_cut", "partition", "counter_cut"):
        link.cut = frozenset((TO_TARGET, FROM_TARGET))
    elif kind == "link_cut_there":
        link.cut = frozenset((TO_TARGET,))
    elif kind == "link_cut_back":
        link.cut = frozenset((FROM_TARGET,))
    elif kind == "link_reset":
        link.reset = True
    elif kind == "link_slow":
        link.delay_s, link.jitter_s = fault.delay_us / h.SECOND, fault.jitter_us / h.SECOND
        link.rate = fault.rate


def parse_range(text: str, count: int) -> list[int]:
    """Return the numbers below `count` in the range `N` or `N-M`; none for an empty string.

    Raises:
        ValueError: The text is no such range.
    """
    if not text:
        return []
    low, _, high = text.partition("-")
    return [number for number in range(int(low), int(high or low) + 1) if number < count]
