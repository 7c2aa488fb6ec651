"""One play with real processes: limiters, servers and clients each of their own, faults between them, a
history.

    paths = await play(scenario, text, path, folder)

`folder` then holds the history's files (`*.jsonl`), and for each limiter its configuration, its state folder
(its "disk") and its log. The counter and one discovery agent a limiter are the project's stand-ins, in this
process; so are the relays, which are put on those kinds of link that a fault of the scenario concerns.
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
from lapisgrade.lab.fleet.faults import COUNTER_CONNECTIONS, ENDS_S, FaultInjector, held_us
from lapisgrade.lab.fleet.limiter import Limiter
from lapisgrade.lab.fleet.limiter_settings import settings
from lapisgrade.lab.fleet.observed import SeenCounter
from lapisgrade.lab.fleet.process import Helper, Supervisor
from lapisgrade.lab.fleet.relay import TcpRelay, UdpRelay

LIMITER = (sys.executable, "-m", "lapisgrade")
SETTLE_S = 0.7  # after the last limiter is up, before the play begins


class Ground(FaultInjector):
    """Everything of one play."""

    def __init__(self, sc: Scenario, folder: Path, command: tuple[str, ...] = LIMITER) -> None:
        self.sc, self.folder, self.command = sc, folder, command
        folder.mkdir(parents=True, exist_ok=True)
        self.files = [folder / name for name in ("ground.jsonl", "servers.jsonl", "clients.jsonl")]
        for path in self.files:
            path.unlink(missing_ok=True)
        self.writer = h.Writer(self.files[0])
        self.supervisor = Supervisor()
        self.chance = Random(sc.seed)
        self.counter = SeenCounter(max_connections=COUNTER_CONNECTIONS * sc.limiters)
        self.counter.writer = self.writer
        self.swapped: list[SeenCounter] = []
        self.relays: list[TcpRelay | UdpRelay] = []
        self.limiters: list[Limiter] = []
        self.servers = Helper("the servers", "lapisgrade.lab.fleet.servers", folder / "servers.log")
        self.clients = Helper("the clients", "lapisgrade.lab.fleet.load", folder / "clients.log")
        self.addresses: list[str] = []
        self.held: list[tuple[str, int]] | None = None  # news that discovery keeps back
        self._begun = 0.0
        self._playing: asyncio.Task | None = None  # the faults, each at its time
        self._undoing: list[asyncio.Task] = []

    # ---- the play

    async def run(self, text: str, path: str, changes: dict[str, Any]) -> list[Path]:
        sc = self.sc
        async with self.supervisor:
            try:
                await self._open()
                await self.supervisor.start(self.clients)
                targets = [f"127.0.0.1:{each.port}" for each in self.limiters]
                await self.clients.ask(
                    do="open",
                    history=str(self.files[2]),
                    scenario=text,
                    path=path,
                    changes=changes,
                    targets=targets,
                )
                await asyncio.sleep(SETTLE_S)
                leeway = max((held_us(sc, each) for each in sc.faults), default=0)
                start_us = h.now_us()
                self._begun = start_us / h.SECOND
                self.writer.put(
                    h.Begin(
                        at=start_us,
                        name=sc.name,
                        seed=sc.seed,
                        limiters=sc.limiters,
                        seconds=sc.seconds_us / h.SECOND,
                        settings=settings(sc, 0),
                        over_bound=sc.over_bound,
                        leeway_us=leeway,
                    )
                )
                self._playing = asyncio.create_task(self._faults())
                longest_us = max(each.timeout_us for each in sc.categories)
                within_s = (sc.seconds_us + 6 * longest_us) / h.SECOND + 30.0
                await self.clients.ask(within_s, do="play", start_us=start_us)
                self.writer.put(h.End(at=start_us + sc.seconds_us))
                self._playing.cancel()
                (ended,) = await asyncio.gather(self._playing, return_exceptions=True)
                if isinstance(ended, Exception):
                    raise ended  # a fault that could not be brought on: the play shows nothing
                await self._close(longest_us / h.SECOND + ENDS_S)
            finally:
                # Nobody writes to the history once it is closed (guards Ctrl-C in the midst of a fault).
                under_way = [task for task in (self._playing, *self._undoing) if task is not None]
                for task in under_way:
                    task.cancel()
                await asyncio.gather(*under_way, return_exceptions=True)
                for relay in self.relays:
                    await relay.close()
                for each in (self.counter, *self.swapped, *(each.agent for each in self.limiters)):
                    await each.close()
                self.writer.close()
        return self.files

    async def _open(self) -> None:
        sc = self.sc
        await self.counter.open()
        await self.supervisor.start(self.servers)
        knobs = sc.server
        opened = await self.servers.ask(
            do="open",
            history=str(self.files[1]),
            count=sc.servers,
            seed=sc.seed,
            knobs={
                "capacity": knobs.capacity,
                "queue": knobs.queue,
                "median_s": knobs.median_us / h.SECOND,
                "sigma": knobs.sigma,
                "cold_from": knobs.cold_from,
                "warm_s": knobs.warm_us / h.SECOND,
            },
        )
        self.addresses = opened["addresses"]
        led = self._led()
        for index in range(sc.limiters):
            limiter = Limiter(self, index)
            self.limiters.append(limiter)
            await limiter.agent.open()
            limiter.counter_at = self.counter.address
            if "counter" in led:
                limiter.counter_at = (await self._relay(limiter, "counter", self.counter.address, 0)).address
            if "discovery" in led:
                await self._relay(limiter, "discovery", limiter.agent.address, 0)
            if sc.peers:
                await self._peer(limiter, "peer" in led)
            for number, address in enumerate(self.addresses):
                if "server" in led:
                    address = (await self._relay(limiter, "server", address, number)).address
                limiter.agent.put(ServerEntry(f"s{number}", address, sc.zone_of(number), cell=number % 4))
        await asyncio.gather(*(each.start() for each in self.limiters))

    def _led(self) -> set[str]:
        """The kinds of link that some fault of the scenario concerns."""
        led: set[str] = set()
        for fault in self.sc.faults:
            if fault.kind == "partition":
                led.update(scenarios.LINKS)
            elif fault.kind.startswith("link_"):
                led.update([fault.link] if fault.link else scenarios.LINKS)
            elif fault.kind == "counter_cut":
                led.add("counter")
        return led

    async def _relay(self, limiter: Limiter, kind: str, address: str, number: int) -> TcpRelay:
        host, _, port = address.rpartition(":")
        relay = await TcpRelay((host, int(port)), self.chance.getrandbits(48)).open()
        self.relays.append(relay)
        limiter.links[kind].append((relay, number))
        return relay

    async def _peer(self, limiter: Limiter, led: bool) -> None:
        limiter.peer_port = free_port()
        limiter.reached_at = f"127.0.0.1:{limiter.peer_port}"
        if led:
            relay = await UdpRelay(("127.0.0.1", limiter.peer_port), self.chance.getrandbits(48)).open()
            self.relays.append(relay)
            limiter.links["peer"].append((relay, limiter.index))
            limiter.reached_at = relay.address

    async def _close(self, within_s: float) -> None:
        for each in self.limiters:
            each.process.resume() if each.process.paused else None
        await asyncio.gather(*(each.process.end(within_s) for each in self.limiters))
        await self.servers.ask(do="close")
        for helper in (self.clients, self.servers):
            helper.child.stdin.close()
            async with asyncio.timeout(process.END_S):
                await helper.wait()


async def play(
    sc: Scenario,
    text: str,
    path: str,
    folder: Path,
    changes: dict[str, Any] | None = None,
    command: tuple[str, ...] = LIMITER,
) -> list[Path]:
    """Play it; the history's files. Failed where a part of the ground did not start or ended by itself."""
    return await Ground(sc, folder, command).run(text, path, changes or {})
