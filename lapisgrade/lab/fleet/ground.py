"""One play with real processes: limiters, servers and clients each of their own, faults between them, a
history.

    paths = await play(scenario, text, path, folder)

`folder` then holds the history's files (`*.jsonl`), and for each limiter its configuration, its state folder
(its "disk") and its log. The counter and one discovery agent a limiter are the project's stand-ins, in this
process; so are the relays, which are put on those kinds of link that a fault of the scenario concerns.
"""

import asyncio
import contextlib
import json
import signal
import sys
import time
from pathlib import Path
from random import Random
from typing import Any

from lapisgrade.interface import Group, Repeat
from lapisgrade.lab.emulator import scenario as scenarios
from lapisgrade.lab.emulator.scenario import Fault, Scenario
from lapisgrade.lab.fleet import history as h
from lapisgrade.lab.fleet import process
from lapisgrade.lab.fleet.process import Failed, Helper, Process, Supervisor
from lapisgrade.lab.fleet.relay import BACK, THERE, Link, TcpRelay, UdpRelay
from lapisgrade.standins import http
from lapisgrade.standins.counter import Counter, Manner
from lapisgrade.standins.discovery import Discovery, Row
from lapisgrade.standins.site import answers_up, free_port

LIMITER = (sys.executable, "-m", "lapisgrade")
SERVE = (sys.executable, "-m", "lapisgrade.cli", "serve")  # one that may read an operator's file
UP_S = 20.0  # how long a limiter's process may take to answer `GET /up`, on a machine busy with others'
LOOK_S = 0.03  # between looks whether it is up
NOTICE_S = 2.0  # discovery tells of a server that vanished so long after, as in the emulator
SETTLE_S = 0.7  # after the last limiter is up, before the play begins
ENDS_S = 3.0  # past the longest hard stop, for a limiter that was told to end
SEEDS = 2  # limiters that every other meets the rest by
COUNTER_CONNECTIONS = 8  # the stand-in counter takes so many for each limiter, old ones and new ones
SLOW_S = 0.010  # the emulator's factor of ten on a counter's millisecond
REPEATS = {Repeat.IDEMPOTENT: "repeatable", Repeat.DEDUPLICATED: "by_key", Repeat.UNREPEATABLE: "once"}
GROUPS = {Group.ALL: "all", Group.ZONE: "zone", Group.CELL: "cell"}


def settings(sc: Scenario, index: int) -> dict[str, Any]:
    """A limiter's settings as the operators name them, as the scenario has them."""
    return {
        "SelfIndex": index,
        "NInstances": sc.limiters,
        "Zone": sc.zone_of(index),
        "Zones": [f"z{i}" for i in range(sc.zones)],
        "RequestClasses": [
            {
                "Name": each.name,
                "Idempotency": REPEATS[each.repeat],
                "Aim": each.quoted_us / 1000,
                "Deadline": each.hard_stop_us / 1000,
                "Worth": each.payoff,
                "LateWorth": each.late_payoff,
                "Group": GROUPS[each.group],
                "KeyTtl": each.remembered_us / 1000,
            }
            for each in sc.categories
        ],
        "TiersOfService": [
            {
                "Name": each.name,
                "UnitsPerS": each.rate,
                "Burst": each.burst,
                "BeyondEarns": each.beyond_earns,
                "ExcessCost": each.beyond_costs,
                "NeverOverRate": each.ceiling_rate,
                "CeilingBurst": each.ceiling_burst,
                "CapSlack": each.ceiling_slack,
            }
            for each in sc.plans
        ],
        "Ceilings": {
            "AttemptsCap": sc.leave.hops,
            "Cancel": sc.leave.cancel,
            "ParallelTries": sc.leave.second_copies,
            "RetryAfter": sc.leave.longest_advice_us > 0,
            "MaxRetryAfter": sc.leave.longest_advice_us / 1000,
            "DialTimeout": 200.0,
            "Keepalive": 30000.0,
        },
        "Rules": {
            "DrainGrace": sc.duties.drain_grace_us / 1000,
            "Cold": sc.duties.cold_us / 1000,
            "ColdFrom": sc.duties.cold_from,
            "Fall": sc.duties.fall_us / 1000,
            "FallMultiple": sc.duties.fall_multiple,
        },
        "Specifics": {
            "SharedCounter": sc.calls,
            "CountLimit": sc.count_limit_us / 1000,
            "UnitsTop": sc.most_units,
        },
    }


class SeenCounter(Counter):
    """The stand-in counter, which writes down each call."""

    writer: h.Writer

    async def _accept(self, reader, writer) -> None:
        self.writer.put(h.Opened(at=h.now_us(), to="counter"))
        await super()._accept(reader, writer)

    async def _answer(self, words, half: int) -> bytes:
        said = await super()._answer(words, half)
        if isinstance(words, list) and len(words) == 4 and words[0] == b"INCRTTL":
            with contextlib.suppress(ValueError):
                added = said.startswith(b"$")
                total = float(said.split(b"\r\n")[1]) if added else 0.0
                self.writer.put(
                    h.Counted(
                        at=h.now_us(),
                        name=words[1].decode("latin-1"),
                        amount=float(words[2]),
                        total=total,
                        added=added,
                    )
                )
        return said


class Agent(Discovery):
    """One limiter's discovery agent: tells of servers by the addresses that this limiter reaches them at, and
    writes down what it has told, and when."""

    def __init__(self, writer: h.Writer, limiter: int) -> None:
        super().__init__()
        self.writer, self.limiter = writer, limiter
        self._last_told: dict[str, str] = {}

    async def _accept(self, reader, writer) -> None:
        self.writer.put(h.Opened(at=h.now_us(), to="discovery"))
        await super()._accept(reader, writer)

    async def _handle(self, asked: http.Asked) -> http.Reply:
        self.writer.put(h.Asked(at=h.now_us(), limiter=self.limiter))
        reply = await super()._handle(asked)
        if reply.status == 200:
            for row in json.loads(reply.body)["instances"]:
                name, state = row["instanceId"], row["lifecycle"]
                if self._last_told.get(name) != state:
                    self._last_told[name] = state
                    told = h.Told(at=h.now_us(), limiter=self.limiter, server=name, state=state)
                    self.writer.put(told)
        return reply

    def anew(self) -> None:
        """A new process asks: what was told to the last one is not told to it."""
        self._last_told.clear()


class Limiter:
    """One limiter of the play: its process, its folder, its links."""

    def __init__(self, ground: "Ground", index: int) -> None:
        self.ground, self.index = ground, index
        self.folder = ground.folder / f"limiter-{index}"
        self.state = self.folder / "state"
        self.state.mkdir(parents=True, exist_ok=True)
        self.port = free_port()
        self.agent = Agent(ground.writer, index)
        self.counter_at = ""
        self.links: dict[str, list[tuple[TcpRelay | UdpRelay, int]]] = {kind: [] for kind in scenarios.LINKS}
        self.config, self.site = self.folder / "config.json", self.folder / "site.toml"
        self.peer_port, self.reached_at = 0, ""  # for what other limiters send it
        args = list(ground.command)
        if ground.sc.peers:
            args = [*SERVE, str(self.config), "--site", str(self.site)]
        env = {"ROUTER_CONFIG": str(self.config)}
        self.process = Process(f"limiter {index}", args, self.folder / "log", env, self.folder)
        self.up = False  # it answers, and so has its handlers of signals

    def life(self, what: str) -> None:
        self.ground.writer.put(h.Life(at=h.now_us(), limiter=self.index, what=what, pid=self.process.pid))

    def write_config(self) -> None:
        sc = self.ground.sc
        offset = sc.clock_offset_ms * (2 * self.index / max(1, sc.limiters - 1) - 1) if sc.limiters > 1 else 0
        discovery = self.links["discovery"][0][0].address if self.links["discovery"] else self.agent.address
        told = {
            "name": f"lg-{self.index}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery,
            "counter": self.counter_at,
            "seed": f"{(sc.seed * 1_000_003 + self.index) % (1 << 64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 1024},
            "known": self.agent.whole(),
            "settings": settings(sc, self.index),
            "state": str(self.state),
            "clock": {"offset_ms": offset},
        }
        self.config.write_text(json.dumps(told, indent=1))
        if sc.peers:
            seeds = [each.reached_at for each in self.ground.limiters[:SEEDS]]
            self.site.write_text(
                f'[peers]\nlisten = "127.0.0.1:{self.peer_port}"\n'
                f'reached_at = "{self.reached_at}"\nseeds = {json.dumps(seeds)}\n'
            )

    async def start(self) -> None:
        """A new process, and wait until it serves; Failed where it ends or is too slow."""
        self.agent.anew()
        self.write_config()
        self.up, told = False, self.config.read_bytes()
        await self.ground.supervisor.start(self.process)
        self.life("started")
        until = time.monotonic() + UP_S
        while time.monotonic() < until:
            if not self.process.running:
                raise Failed(f"limiter {self.index} ended while starting, see {self.process.log}")
            if await answers_up(("127.0.0.1", self.port)):
                self.up = True
                self.life("up")
                if self.config.read_bytes() != told:
                    self.reread()
                return
            await asyncio.sleep(LOOK_S)
        raise Failed(f"limiter {self.index} did not come up in {UP_S:g} s")

    def reread(self) -> None:
        """Its file is another: it is told, once it can hear. A process that has not yet set its handlers is
        ended by SIGHUP (guards plays in which a counter is swapped while a limiter starts)."""
        if self.up:
            self.process.signal(signal.SIGHUP)


class Ground:
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
        self.counter = SeenCounter(most_connections=COUNTER_CONNECTIONS * sc.limiters)
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
                longest_us = max(each.hard_stop_us for each in sc.categories)
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
                limiter.agent.put(Row(f"s{number}", address, sc.zone_of(number), cell=number % 4))
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
            await asyncio.wait_for(helper.wait(), process.END_S)

    # ---- faults

    async def _faults(self) -> None:
        for fault in sorted(self.sc.faults, key=lambda each: each.at_us):
            wait = self._begun + fault.at_us / h.SECOND - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            # A surge is in the clients' schedule: here it is only marked.
            work = self._surge(fault) if fault.kind == "surge" else self._one(fault)
            self._undoing.append(asyncio.create_task(work))
        if self._undoing:
            await asyncio.gather(*self._undoing)

    def _mark(self, fault: Fault, on: bool) -> None:
        self.writer.put(h.Fault(at=h.now_us(), what=fault.kind, target=fault.target, on=on))

    async def _surge(self, fault: Fault) -> None:
        self._mark(fault, True)
        if await self._for(fault):
            self._mark(fault, False)

    async def _one(self, fault: Fault) -> None:
        """One fault, from its beginning to its end."""
        self._mark(fault, True)
        kind = fault.kind
        if kind.startswith("limiter_") or kind.startswith("disk_"):
            await self._on_limiters(fault)
        elif kind.startswith("server_"):
            await self._on_servers(fault)
        elif kind.startswith("link_") or kind in ("partition", "counter_cut"):
            await self._on_links(fault)
        elif kind.startswith("counter_"):
            await self._on_counter(fault)
        elif kind == "discovery_stale":
            self.held = []
            await self._for(fault)
            held, self.held = self.held, None
            for state, number in held:
                self._news(state, number)
        self._mark(fault, False)

    async def _for(self, fault: Fault) -> bool:
        """Wait for the fault's length; whether it has an end."""
        if fault.for_us:
            await asyncio.sleep(fault.for_us / h.SECOND)
        return bool(fault.for_us)

    def _picked(self, fault: Fault, count: int) -> list[int]:
        target = fault.target
        if target == "all":
            return list(range(count))
        if target.startswith("share:"):
            return sorted(self.chance.sample(range(count), min(count, round(float(target[6:]) * count))))
        return numbers(target, count)

    async def _on_limiters(self, fault: Fault) -> None:
        picked = [self.limiters[i] for i in self._members(fault)]

        async def one(place: int, limiter: Limiter) -> None:
            await asyncio.sleep(place * fault.wave_us / h.SECOND)
            await self._limiter(fault, limiter)

        await asyncio.gather(*(one(place, each) for place, each in enumerate(picked)))

    def _members(self, fault: Fault) -> list[int]:
        if fault.target.startswith("group:"):
            return numbers(self.sc.parties[fault.target[6:]].limiters, self.sc.limiters)
        return self._picked(fault, self.sc.limiters)

    async def _limiter(self, fault: Fault, limiter: Limiter) -> None:
        kind, proc = fault.kind, limiter.process
        if kind == "limiter_pause":
            if proc.pause():
                limiter.life("paused")
                if await self._for(fault) and proc.resume():
                    limiter.life("resumed")
        elif kind == "disk_full":
            proc.refuse_writes(True)
            if await self._for(fault):
                proc.refuse_writes(False)
        elif kind == "limiter_term":
            limiter.life("ended")
            await proc.end(max(each.hard_stop_us for each in self.sc.categories) / h.SECOND + ENDS_S)
            if await self._for(fault):
                await limiter.start()
        else:
            limiter.life("killed")
            await proc.kill()
            if kind.startswith("disk_"):
                {"lost": process.lose, "truncated": process.truncate, "flipped": process.flip}[kind[5:]](
                    limiter.state
                )
            if await self._for(fault) or kind == "limiter_restart":
                await limiter.start()

    async def _on_servers(self, fault: Fault) -> None:
        which, kind = self._picked(fault, self.sc.servers), fault.kind.removeprefix("server_")
        if kind in ("slow", "failing", "fast_errors", "silent", "well"):
            await self.servers.ask(do="mode", which=which, mode=kind, factor=fault.factor)
            if await self._for(fault):
                await self.servers.ask(do="mode", which=which, mode="well")
        elif kind == "drain":
            for i in which:
                self._news("terminating", i)
            await self.servers.ask(do="drain", which=which)
            await asyncio.sleep(4 * self.sc.duties.drain_grace_us / h.SECOND)
            for i in which:
                self._news("terminated", i)
            await self.servers.ask(do="kill", which=which)
        elif kind == "kill":
            await self.servers.ask(do="kill", which=which)
            back = fault.for_us / h.SECOND
            await asyncio.sleep(min(NOTICE_S, back) if back else NOTICE_S)
            for i in which:
                self._news("terminated", i)
            if back:
                await asyncio.sleep(max(0.0, back - NOTICE_S))
                await self._restart(which)
        elif kind == "restart":
            await self._restart(which)

    async def _restart(self, which: list[int]) -> None:
        await self.servers.ask(do="restart", which=which)
        for i in which:
            self._news("in_service", i)

    def _news(self, state: str, number: int) -> None:
        """A server's state changes; discovery's agents hear of it, unless discovery keeps its news back."""
        self.writer.put(h.Fact(at=h.now_us(), server=f"s{number}", state=state))
        if self.held is not None:
            self.held.append((state, number))
            return
        for each in self.limiters:
            row = each.agent.rows[f"s{number}"]
            if state == "in_service":
                started_ms = time.time_ns() // 1_000_000
                each.agent.put(Row(row.instance_id, row.host_port, row.zone, row.cell, started_ms=started_ms))
            elif state == "terminating":
                each.agent.drain(row.instance_id)
            else:
                each.agent.remove(row.instance_id)

    async def _on_links(self, fault: Fault) -> None:
        picked = self._links(fault)
        for relay in picked:
            turn(relay.link, fault)
            relay.turn()
        self._part(fault, True)
        if await self._for(fault):
            for relay in picked:
                relay.link.heal()
                relay.turn()
            self._part(fault, False)

    def _links(self, fault: Fault) -> list[TcpRelay]:
        """The relays of the links that the fault concerns."""
        if fault.kind != "partition":
            kinds = (
                ["counter"]
                if fault.kind == "counter_cut"
                else ([fault.link] if fault.link else list(scenarios.LINKS))
            )
            members = [self.limiters[i] for i in self._members(fault)]
            return [relay for each in members for kind in kinds for relay, _ in each.links[kind]]
        party = self.sc.parties[fault.target[6:]]
        inside = set(numbers(party.limiters, self.sc.limiters))
        servers = set(numbers(party.servers, self.sc.servers))
        made = []
        for each in self.limiters:
            here = each.index in inside
            for kind, links in each.links.items():
                for relay, number in links if kind != "peer" else ():
                    there = party.counter if kind == "counter" else number in servers
                    if kind != "discovery" and here != there:  # the agent is on the limiter's own machine
                        made.append(relay)
        return made

    def _part(self, fault: Fault, on: bool) -> None:
        """What limiters send one another goes by the receiver's relay: that is deaf to those cut off from
        it. In a partition these are all of the other side; where a link is cut, those whose it is."""
        apart = fault.kind == "partition"
        if not apart and (fault.kind not in ("link_cut", "link_cut_back") or fault.link not in ("", "peer")):
            return
        inside = set(self._members(fault))
        for each in self.limiters:
            away = {
                other.peer_port
                for other in self.limiters
                if other is not each
                and ((other.index in inside) != (each.index in inside) if apart else other.index in inside)
            }
            for relay, _ in each.links["peer"]:
                relay.deaf = relay.deaf | away if on else relay.deaf - away

    async def _on_counter(self, fault: Fault) -> None:
        counter, kind = self.counter, fault.kind.removeprefix("counter_")
        if kind == "lost":
            counter.turn(Manner.SILENT)
            if await self._for(fault):
                counter.turn(Manner.WELL)
        elif kind in ("back", "well"):
            counter.turn(Manner.WELL)
        elif kind == "slow":
            counter.delay_s = SLOW_S
            counter.turn(Manner.SLOW)
            if await self._for(fault):
                counter.turn(Manner.WELL)
        elif kind in ("stale", "spoilt"):
            counter.turn(Manner(kind))
            if await self._for(fault):
                counter.turn(Manner.WELL)
        elif kind == "restart":
            counter.restart()
        elif kind == "split":
            counter.split()
            if await self._for(fault):
                counter.heal()
        elif kind == "swap":
            fresh = SeenCounter(most_connections=COUNTER_CONNECTIONS * self.sc.limiters)
            fresh.writer = self.writer
            self.swapped.append(await fresh.open())
            for each in self.limiters:
                each.counter_at = fresh.address
                each.write_config()
                each.reread()


def held_us(sc: Scenario, fault: Fault) -> int:
    """How much later than it was sent something may come through a link with this fault: what was written
    before or during a cut goes out when the link is healed, as a kernel sends it again."""
    if fault.kind == "link_slow":
        return fault.delay_us + fault.jitter_us
    if fault.kind == "partition" or fault.kind.startswith("link_cut"):
        return fault.for_us or sc.seconds_us
    return 0


def turn(link: Link, fault: Fault) -> None:
    """A link takes on what the fault says."""
    kind = fault.kind
    if kind in ("link_cut", "partition", "counter_cut"):
        link.cut = frozenset((THERE, BACK))
    elif kind == "link_cut_there":
        link.cut = frozenset((THERE,))
    elif kind == "link_cut_back":
        link.cut = frozenset((BACK,))
    elif kind == "link_reset":
        link.reset = True
    elif kind == "link_slow":
        link.delay_s, link.jitter_s = fault.delay_us / h.SECOND, fault.jitter_us / h.SECOND
        link.rate = fault.rate


def numbers(text: str, count: int) -> list[int]:
    """`N` or `N-M` (or nothing) as numbers below `count`."""
    if not text:
        return []
    low, _, high = text.partition("-")
    return [i for i in range(int(low), int(high or low) + 1) if i < count]


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
