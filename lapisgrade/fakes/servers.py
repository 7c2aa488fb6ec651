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

SILENCE_CHECK_INTERVAL_S = 0.05  # between a silent server's looks whether it is well again


@dataclass(slots=True)
class ServerBehavior:
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
class ServerCounts:
    """What one server has seen."""

    requests: int = 0
    completed: int = 0
    errors: int = 0
    rejected: int = 0
    without_id: int = 0
    health_checks: int = 0
    max_in_flight: int = 0
    requests_after_drain_s: list[float] = field(default_factory=list)  # how long after the drain they came


class Server(Listener):
    """One fake server. `await open()`, then `drain()`, `kill()`, and `behavior` at any time."""

    def __init__(
        self, name: str, behavior: ServerBehavior, seed: int, host: str = "127.0.0.1", port: int = 0
    ) -> None:
        super().__init__(host, port)
        self.name, self.behavior = name, behavior
        self.random = Random(seed)
        self.counts = ServerCounts()
        self.in_flight = 0
        self.queued = 0
        self.started_s = time.monotonic()
        self.drained_s: float | None = None
        self.paused_until_s = 0.0
        self.is_running = False
        self._slot = asyncio.Condition()

    async def open(self) -> "Server":
        """Listen and start cold; OSError where the port is taken."""
        await super().open()
        self.started_s, self.drained_s, self.is_running = time.monotonic(), None, True
        return self

    def capacity_at(self, now_s: float) -> int:
        """Operations it takes at work at once by now, warming from `cold_from` of its capacity."""
        behavior = self.behavior
        warm = 1.0 if behavior.warm_s <= 0 else min(1.0, (now_s - self.started_s) / behavior.warm_s)
        share = behavior.cold_from + (1.0 - behavior.cold_from) * warm
        return max(1, math.floor(behavior.capacity * share + 1e-9))  # rounding takes no slot away

    def pause(self, seconds: float) -> None:
        """Stall whole for `seconds`, as a process that stops: nothing is answered until then."""
        self.paused_until_s = time.monotonic() + seconds

    def drain(self) -> None:
        """Want nothing new; finish what is at hand."""
        self.drained_s = time.monotonic()

    async def kill(self) -> None:
        """End at once, as a machine that vanishes: no listener, every connection broken."""
        self.is_running = False
        self.stop_listening()
        self.reset_connections()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await http.serve(reader, writer, self._handle)

    async def _handle(self, request: http.Request) -> http.Response:
        now = time.monotonic()
        if request.path in ("/alive", "/metrics/load"):
            self.counts.health_checks += 1
            fit = self.drained_s is None and self.in_flight < self.capacity_at(now)
            body = self._load(now).encode() if request.path == "/metrics/load" else b""
            return http.Response(200 if fit else 503, body)
        if "x-request-id" not in request.headers:
            self.counts.without_id += 1
            return http.Response(404, b"no X-Request-ID")
        self.counts.requests += 1
        if self.drained_s is not None:
            self.counts.requests_after_drain_s.append(now - self.drained_s)
        if self.drained_s is not None or (
            self.in_flight >= self.capacity_at(now) and self.queued >= self.behavior.queue
        ):
            self.on_request(request, now, False)
            self.counts.rejected += 1
            return http.Response(503, b"", (("X-Not-Processed", "1"),))
        async with self._slot:
            self.queued += 1
            try:
                await self._slot.wait_for(lambda: self.in_flight < self.capacity_at(time.monotonic()))
            finally:
                self.queued -= 1
            self.in_flight += 1
        self.on_request(request, now, True)
        self.counts.max_in_flight = max(self.counts.max_in_flight, self.in_flight)
        try:
            return await self._work(request)
        finally:
            async with self._slot:
                self.in_flight -= 1
                self._slot.notify_all()

    async def _work(self, request: http.Request) -> http.Response:
        behavior = self.behavior
        if behavior.silent:
            while behavior.silent:
                await asyncio.sleep(SILENCE_CHECK_INTERVAL_S)
            return http.Response(500, abort=True)  # what it sat on is lost; its slot is free again
        await asyncio.sleep(behavior.median_s * math.exp(behavior.sigma * self.random.gauss(0.0, 1.0)))
        stalled = self.paused_until_s - time.monotonic()
        if stalled > 0:
            await asyncio.sleep(stalled)
        load = (("X-Server-Load", "TEXT " + self._load(time.monotonic())),)
        if self.random.random() < behavior.error_share:
            self.counts.errors += 1
            return http.Response(500, b"", load)
        self.counts.completed += 1
        return http.Response(
            200, b"done " + request.headers["x-request-id"].encode() + b" " + request.body, load
        )

    def on_request(self, request: http.Request, arrived_s: float, ran: bool) -> None:
        """For whoever watches: a request that came at `arrived_s` was turned away, or is at work now."""

    def _load(self, now_s: float) -> str:
        capacity = self.capacity_at(now_s)
        return (
            f"inflight={self.in_flight}, queue={self.queued}, util={min(1.0, self.in_flight / capacity):.2f}"
        )


class ServerPool:
    """Servers named s0, s1, ... with one knob set, each seeded from one seed."""

    def __init__(self, size: int, behavior: ServerBehavior, seed: int, host: str = "127.0.0.1") -> None:
        chance = Random(seed)
        self.servers = [
            Server(f"s{i}", ServerBehavior(**_fields(behavior)), chance.getrandbits(48), host)
            for i in range(size)
        ]

    async def open(self) -> "ServerPool":
        """Start all servers; returns the pool itself."""
        for server in self.servers:
            await server.open()
        return self

    async def close(self) -> None:
        """End all servers."""
        for server in self.servers:
            with contextlib.suppress(Exception):
                await server.kill()

    def totals(self) -> ServerCounts:
        """The counts of all servers together."""
        total = ServerCounts()
        for server in self.servers:
            for name in ("requests", "completed", "errors", "rejected", "without_id", "health_checks"):
                setattr(total, name, getattr(total, name) + getattr(server.counts, name))
            total.requests_after_drain_s.extend(server.counts.requests_after_drain_s)
        total.max_in_flight = max((each.counts.max_in_flight for each in self.servers), default=0)
        return total


def _fields(behavior: ServerBehavior) -> dict:
    return {name: getattr(behavior, name) for name in ServerBehavior.__slots__}
