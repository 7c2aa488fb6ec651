"""A test bed that runs a scenario with real processes and faults, and records a history.

    paths = await run(scenario, text, path, folder)

Afterwards `folder` contains the history's files (`*.jsonl`), the logs of the servers and clients, and each
limiter's configuration, state folder (its "disk") and log. The counter and the discovery agents (one per
limiter) are the project's fakes and run in this process, as do the relays. Only links of the kinds that a
fault of the scenario affects have relays.
"""

import asyncio
import sys
from pathlib import Path
from random import Random
from typing import Any

from lapisgrade.fakes.discovery import ServerEntry
from lapisgrade.fakes.site import free_port
from lapisgrade.lab.emulator import scenario as scenarios
from lapisgrade.lab.emulator.scenario import Scenario
from lapisgrade.lab.fleet import history as h
from lapisgrade.lab.fleet import process
from lapisgrade.lab.fleet.faults import COUNTER_CONNECTIONS, HARD_STOP_MARGIN_S, FaultInjector, max_delay_us
from lapisgrade.lab.fleet.limiter import Limiter
from lapisgrade.lab.fleet.limiter_settings import settings
from lapisgrade.lab.fleet.process import Helper, Supervisor
from lapisgrade.lab.fleet.recorders import RecordingCounter
from lapisgrade.lab.fleet.relay import TcpRelay, UdpRelay

LIMITER = (sys.executable, "-m", "lapisgrade")  # command of a limiter without peers
SETTLE_S = 0.7  # delay from the last limiter's start until the load


class TestBed(FaultInjector):
    """All processes of a run, the fakes, the relays between them, and the history's writer.

    `FaultInjector` describes the other attributes.

    Attributes:
        folder: Folder of the run.
        command: Command that starts a limiter without peers.
        files: The history's files: of this process, the servers and the clients.
        supervisor: Starts the processes, and kills them at the end of the run.
        clients: Process of the clients.
    """

    def __init__(self, scenario: Scenario, folder: Path, command: tuple[str, ...] = LIMITER) -> None:
        """Create the run's folder and delete an earlier run's history from it; `run` runs the scenario."""
        self.scenario = scenario
        self.folder = folder
        self.command = command
        folder.mkdir(parents=True, exist_ok=True)
        self.files = [folder / name for name in ("ground.jsonl", "servers.jsonl", "clients.jsonl")]
        for path in self.files:
            path.unlink(missing_ok=True)
        self.writer = h.Writer(self.files[0])
        self.supervisor = Supervisor()
        self.random = Random(scenario.seed)
        self.counter = RecordingCounter(max_connections=COUNTER_CONNECTIONS * scenario.limiters)
        self.counter.writer = self.writer
        self.replacement_counters: list[RecordingCounter] = []
        self.relays: list[TcpRelay | UdpRelay] = []
        self.limiters: list[Limiter] = []
        self.servers = Helper("the servers", "lapisgrade.lab.fleet.servers", folder / "servers.log")
        self.clients = Helper("the clients", "lapisgrade.lab.fleet.load", folder / "clients.log")
        self.addresses: list[str] = []
        self.pending_changes: list[tuple[str, int]] | None = None
        self._started_s = 0.0
        self._fault_task: asyncio.Task | None = None  # injects the faults
        self._running_faults: list[asyncio.Task] = []

    async def run(self, text: str, path: str, changes: dict[str, Any]) -> list[Path]:
        """Run the scenario; return the history's files.

        Args:
            text: Text of the scenario's file, which the clients parse themselves.
            path: Path of that file, for messages.
            changes: Fields of the scenario that are set to other values; None to keep a field.

        Raises:
            ProcessFailedError: A process did not start, or ended by itself.
        """
        async with self.supervisor:
            try:
                await self._open()
                await self._open_clients(text, path, changes)
                await asyncio.sleep(SETTLE_S)
                await self._run_load_and_faults()
                await self._close(self._longest_timeout_us() / h.SECOND + HARD_STOP_MARGIN_S)
            finally:
                await self._release()
        return self.files

    def _longest_timeout_us(self) -> int:
        return max(each.timeout_us for each in self.scenario.categories)

    async def _open_clients(self, text: str, path: str, changes: dict[str, Any]) -> None:
        """Start the clients' process, and let it create the schedule."""
        await self.supervisor.start(self.clients)
        await self.clients.request(
            do="open",
            history=str(self.files[2]),
            scenario=text,
            path=path,
            changes=changes,
            targets=[f"127.0.0.1:{each.port}" for each in self.limiters],
        )

    async def _run_load_and_faults(self) -> None:
        """Run the clients' load and inject the faults; when the load has ended, cancel the rest of them."""
        scenario = self.scenario
        start_us = h.now_us()
        self._started_s = start_us / h.SECOND
        self._record_start(start_us)
        self._fault_task = asyncio.create_task(self._inject_faults())
        timeout_s = (scenario.seconds_us + 6 * self._longest_timeout_us()) / h.SECOND + 30.0
        await self.clients.request(timeout_s, do="play", start_us=start_us)
        self.writer.put(h.RunEnded(at=start_us + scenario.seconds_us))
        self._fault_task.cancel()
        (outcome,) = await asyncio.gather(self._fault_task, return_exceptions=True)
        if isinstance(outcome, Exception):
            raise outcome  # a fault could not be injected, so the run is invalid

    def _record_start(self, start_us: int) -> None:
        """Record the start of the run, with what the checker needs of the scenario."""
        scenario = self.scenario
        self.writer.put(
            h.RunStarted(
                at=start_us,
                name=scenario.name,
                seed=scenario.seed,
                limiters=scenario.limiters,
                seconds=scenario.seconds_us / h.SECOND,
                settings=settings(scenario, 0),
                over_bound=scenario.over_bound,
                leeway_us=max((max_delay_us(scenario, each) for each in scenario.faults), default=0),
            )
        )

    async def _release(self) -> None:
        """Close everything. Fault tasks end before the history closes, also after Ctrl-C during a fault."""
        tasks = [task for task in (self._fault_task, *self._running_faults) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for relay in self.relays:
            await relay.close()
        for fake in (self.counter, *self.replacement_counters, *(each.agent for each in self.limiters)):
            await fake.close()
        self.writer.close()

    async def _open(self) -> None:
        """Open the counter, the servers, and all limiters."""
        await self.counter.open()
        await self.supervisor.start(self.servers)
        self.addresses = await self._open_servers()
        relayed = self._relayed_links()
        for index in range(self.scenario.limiters):
            await self._open_limiter(index, relayed)
        await asyncio.gather(*(each.start() for each in self.limiters))

    async def _open_servers(self) -> list[str]:
        """Start the servers in their process; return their addresses."""
        scenario = self.scenario
        server = scenario.server
        reply = await self.servers.request(
            do="open",
            history=str(self.files[1]),
            count=scenario.servers,
            seed=scenario.seed,
            knobs={
                "capacity": server.capacity,
                "queue": server.queue,
                "median_s": server.median_us / h.SECOND,
                "sigma": server.sigma,
                "cold_from": server.cold_from,
                "warm_s": server.warm_us / h.SECOND,
            },
        )
        return reply["addresses"]

    async def _open_limiter(self, index: int, relayed: set[str]) -> None:
        """Create a limiter, its discovery agent, and relays on its links of the kinds in `relayed`."""
        limiter = Limiter(self, index)
        self.limiters.append(limiter)
        await limiter.agent.open()
        limiter.counter_address = self.counter.address
        if "counter" in relayed:
            relay = await self._add_relay(limiter, "counter", self.counter.address, 0)
            limiter.counter_address = relay.address
        if "discovery" in relayed:
            await self._add_relay(limiter, "discovery", limiter.agent.address, 0)
        if self.scenario.peers:
            await self._open_peer(limiter, "peer" in relayed)
        for number, address in enumerate(self.addresses):
            if "server" in relayed:
                relay = await self._add_relay(limiter, "server", address, number)
                address = relay.address
            zone = self.scenario.zone_of(number)
            limiter.agent.put(ServerEntry(f"s{number}", address, zone, cell=number % 4))

    def _relayed_links(self) -> set[str]:
        """Return the kinds of link that a fault of the scenario affects."""
        relayed: set[str] = set()
        for fault in self.scenario.faults:
            if fault.kind == "partition":
                relayed.update(scenarios.LINKS)
            elif fault.kind.startswith("link_"):
                relayed.update([fault.link] if fault.link else scenarios.LINKS)
            elif fault.kind == "counter_cut":
                relayed.add("counter")
        return relayed

    async def _add_relay(self, limiter: Limiter, kind: str, address: str, number: int) -> TcpRelay:
        """Open a relay on a limiter's link to `address`, and return it; `number` is the server's, or 0."""
        host, _, port = address.rpartition(":")
        relay = await TcpRelay((host, int(port)), self.random.getrandbits(48)).open()
        self.relays.append(relay)
        limiter.links[kind].append((relay, number))
        return relay

    async def _open_peer(self, limiter: Limiter, is_relayed: bool) -> None:
        """Choose the limiter's port for other limiters, and open a relay before it if `is_relayed`."""
        limiter.peer_port = free_port()
        limiter.reached_at = f"127.0.0.1:{limiter.peer_port}"
        if is_relayed:
            relay = await UdpRelay(("127.0.0.1", limiter.peer_port), self.random.getrandbits(48)).open()
            self.relays.append(relay)
            limiter.links["peer"].append((relay, limiter.index))
            limiter.reached_at = relay.address

    async def _close(self, within_s: float) -> None:
        """Shut down the limiters gracefully within `within_s` each, then the helpers."""
        for limiter in self.limiters:
            if limiter.process.is_paused:
                limiter.process.resume()
        await asyncio.gather(*(each.process.end(within_s) for each in self.limiters))
        await self.servers.request(do="close")
        for helper in (self.clients, self.servers):
            helper.child.stdin.close()
            async with asyncio.timeout(process.SHUTDOWN_TIMEOUT_S):
                await helper.wait()


async def run(
    scenario: Scenario,
    text: str,
    path: str,
    folder: Path,
    changes: dict[str, Any] | None = None,
    command: tuple[str, ...] = LIMITER,
) -> list[Path]:
    """Run a scenario; return the history's files.

    Args:
        scenario: The scenario, already with `changes`.
        text: Text of the scenario's file.
        path: Path of that file, for messages.
        folder: Folder of the run; it is created.
        changes: Fields of the scenario that were set to other values than in the file.
        command: Command that starts a limiter without peers.

    Raises:
        ProcessFailedError: A process did not start, or ended by itself.
    """
    return await TestBed(scenario, folder, command).run(text, path, changes or {})
