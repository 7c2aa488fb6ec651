"""A pool of HTTP/1.1 servers on loopback that answer as the platform's servers do.

Each server has a capacity (operations at work at once) and a queue; a cold one starts at a share of its
capacity and warms up over a stated time. Service times are drawn from a log-normal law; a share of operations
end in 500. A full queue, a draining server or a request without its id is turned away with 503 and
`X-Not-Processed: 1` (or 404 without the id), as the protocol says. A server can be drained, killed (listener
closed, every connection broken), paused whole, or made slow, silent or failing while it runs.
"""

import asyncio
import contextlib
import math
import time
from dataclasses import dataclass, field
from random import Random

from lapisgrade.fakes import http
from lapisgrade.fakes.listener import Listener

SILENT_LOOK_S = 0.05  # between a silent server's looks whether it is well again


@dataclass(slots=True)
class Knobs:
    """How one server behaves. Times in seconds, shares from 0 to 1."""

    capacity: int = 8  # operations at work at once
    queue: int = 16  # operations waiting beyond those; one more is turned away
    median_s: float = 0.020  # median service time
    sigma: float = 0.5  # spread of the log-normal law of service times
    error_share: float = 0.0  # operations that end in 500
    cold_from: float = 1.0  # share of capacity at the start
    warm_s: float = 0.0  # time to reach full capacity from the start
    silent: bool = False  # takes operations and never answers


@dataclass(slots=True)
class Counts:
    """What one server has seen."""

    asked: int = 0
    served: int = 0
    errors: int = 0
    turned_away: int = 0
    no_id: int = 0
    probes: int = 0
    most_at_work: int = 0
    after_drain: list[float] = field(default_factory=list)  # seconds after the drain at which work came


class Server(Listener):
    """One fake server. `await open()`, then `drain()`, `kill()`, and `knobs` at any time."""

    def __init__(self, name: str, knobs: Knobs, seed: int, host: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__(host, port)
        self.name, self.knobs = name, knobs
        self.random = Random(seed)
        self.counts = Counts()
        self.at_work = 0
        self.waiting = 0
        self.started_s = time.monotonic()
        self.drained_s: float | None = None
        self.paused_until_s = 0.0
        self.alive = False
        self._slot = asyncio.Condition()

    async def open(self) -> "Server":
        """Listen and start cold; OSError where the port is taken."""
        await super().open()
        self.started_s, self.drained_s, self.alive = time.monotonic(), None, True
        return self

    def room(self, now_s: float) -> int:
        """Operations it takes at work at once by now, warming from `cold_from` of its capacity."""
        knobs = self.knobs
        warm = 1.0 if knobs.warm_s <= 0 else min(1.0, (now_s - self.started_s) / knobs.warm_s)
        share = knobs.cold_from + (1.0 - knobs.cold_from) * warm
        return max(1, math.floor(knobs.capacity * share + 1e-9))  # rounding takes no slot away

    def pause(self, seconds: float) -> None:
        """Stall whole for `seconds`, as a process that stops: nothing is answered until then."""
        self.paused_until_s = time.monotonic() + seconds

    def drain(self) -> None:
        """Want nothing new; finish what is at hand."""
        self.drained_s = time.monotonic()

    async def kill(self) -> None:
        """End at once, as a machine that vanishes: no listener, every connection broken."""
        self.alive = False
        self.stop_listening()
        self.cut()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await http.serve(reader, writer, self._handle)

    async def _handle(self, asked: http.Asked) -> http.Reply:
        now = time.monotonic()
        if asked.path in ("/alive", "/metrics/load"):
            self.counts.probes += 1
            fit = self.drained_s is None and self.at_work < self.room(now)
            body = self._load(now).encode() if asked.path == "/metrics/load" else b""
            return http.Reply(200 if fit else 503, body)
        if "x-request-id" not in asked.headers:
            self.counts.no_id += 1
            return http.Reply(404, b"no X-Request-ID")
        self.counts.asked += 1
        if self.drained_s is not None:
            self.counts.after_drain.append(now - self.drained_s)
        if self.drained_s is not None or (
            self.at_work >= self.room(now) and self.waiting >= self.knobs.queue
        ):
            self.seen(asked, now, False)
            self.counts.turned_away += 1
            return http.Reply(503, b"", (("X-Not-Processed", "1"),))
        async with self._slot:
            self.waiting += 1
            try:
                await self._slot.wait_for(lambda: self.at_work < self.room(time.monotonic()))
            finally:
                self.waiting -= 1
            self.at_work += 1
        self.seen(asked, now, True)
        self.counts.most_at_work = max(self.counts.most_at_work, self.at_work)
        try:
            return await self._work(asked)
        finally:
            async with self._slot:
                self.at_work -= 1
                self._slot.notify_all()

    async def _work(self, asked: http.Asked) -> http.Reply:
        knobs = self.knobs
        if knobs.silent:
            while knobs.silent:
                await asyncio.sleep(SILENT_LOOK_S)
            return http.Reply(500, abort=True)  # what it sat on is lost; its slot is free again
        await asyncio.sleep(knobs.median_s * math.exp(knobs.sigma * self.random.gauss(0.0, 1.0)))
        stalled = self.paused_until_s - time.monotonic()
        if stalled > 0:
            await asyncio.sleep(stalled)
        load = (("X-Server-Load", "TEXT " + self._load(time.monotonic())),)
        if self.random.random() < knobs.error_share:
            self.counts.errors += 1
            return http.Reply(500, b"", load)
        self.counts.served += 1
        return http.Reply(200, b"done " + asked.headers["x-request-id"].encode() + b" " + asked.body, load)

    def seen(self, asked: http.Asked, came_s: float, ran: bool) -> None:
        """For whoever watches: a request that came at `came_s` was turned away, or is at work now."""

    def _load(self, now_s: float) -> str:
        room = self.room(now_s)
        return f"inflight={self.at_work}, queue={self.waiting}, util={min(1.0, self.at_work / room):.2f}"


class Pool:
    """Servers named s0, s1, ... with one knob set, each seeded from one seed."""

    def __init__(self, size: int, knobs: Knobs, seed: int, host: str = "127.0.0.1") -> None:
        chance = Random(seed)
        self.servers = [
            Server(f"s{i}", Knobs(**_fields(knobs)), chance.getrandbits(48), host) for i in range(size)
        ]

    async def open(self) -> "Pool":
        for server in self.servers:
            await server.open()
        return self

    async def close(self) -> None:
        for server in self.servers:
            with contextlib.suppress(Exception):
                await server.kill()

    def totals(self) -> Counts:
        total = Counts()
        for server in self.servers:
            for name in ("asked", "served", "errors", "turned_away", "no_id", "probes"):
                setattr(total, name, getattr(total, name) + getattr(server.counts, name))
            total.after_drain.extend(server.counts.after_drain)
        total.most_at_work = max((each.counts.most_at_work for each in self.servers), default=0)
        return total


def _fields(knobs: Knobs) -> dict:
    return {name: getattr(knobs, name) for name in Knobs.__slots__}
