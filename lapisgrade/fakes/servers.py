"""A pool of fake HTTP/1.1 servers on loopback that follow the platform's protocol.

Each server has a capacity (concurrent operations) and a queue. In slow start it begins at a share of its
capacity and grows to full capacity over `warm_s`. Service times are log-normal, and a share of operations
ends in 500. With a full queue or while draining it rejects requests with 503 and `X-Not-Processed: 1`, and a
request without an id with 404, as the protocol requires. A running server can be drained, killed (listener
closed, all connections reset), paused, or made slow, silent or failing.
"""

import asyncio
import contextlib
import math
import time
from dataclasses import dataclass, field
from random import Random

from lapisgrade.fakes import http
from lapisgrade.fakes.listener import Listener

SILENCE_CHECK_INTERVAL_S = 0.05  # interval at which a silent server checks whether `silent` is still set


@dataclass(slots=True)
class ServerBehavior:
    """Behavior of one server. Times in seconds, shares from 0 to 1."""

    capacity: int = 8  # concurrent operations
    queue: int = 16  # operations that may wait beyond the capacity; further ones are rejected
    median_s: float = 0.020  # median service time
    sigma: float = 0.5  # sigma of the log-normal service time
    error_share: float = 0.0  # share of operations that end in 500
    cold_from: float = 1.0  # share of capacity at the start
    warm_s: float = 0.0  # duration of slow start
    silent: bool = False  # accepts operations and does not respond; those in progress are lost


@dataclass(slots=True)
class ServerCounts:
    """Counters of one server."""

    requests: int = 0  # operations received, including rejected ones, without those in `without_id`
    completed: int = 0  # responses with 200
    errors: int = 0  # responses with 500
    rejected: int = 0  # responses with 503 and X-Not-Processed
    without_id: int = 0  # requests without X-Request-ID, responses with 404
    health_checks: int = 0  # requests for /alive and /metrics/load
    max_in_flight: int = 0
    requests_after_drain_s: list[float] = field(default_factory=list)  # time since the drain, per request


class Server(Listener):
    """One fake server. After `await open()`, use `drain()`, `pause()`, `kill()` or change `behavior`."""

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
        self.drain_started_s: float | None = None
        self.paused_until_s = 0.0
        self.is_running = False
        self._slot_freed = asyncio.Condition()

    async def open(self) -> "Server":
        """Start listening, in slow start.

        Raises:
            OSError: The port is in use.
        """
        await super().open()
        self.started_s, self.drain_started_s, self.is_running = time.monotonic(), None, True
        return self

    def capacity_at(self, now_s: float) -> int:
        """Return the capacity at `now_s`; in slow start it grows from the share `cold_from`."""
        behavior = self.behavior
        warm = 1.0 if behavior.warm_s <= 0 else min(1.0, (now_s - self.started_s) / behavior.warm_s)
        share = behavior.cold_from + (1.0 - behavior.cold_from) * warm
        return max(1, math.floor(behavior.capacity * share + 1e-9))  # 1e-9 absorbs rounding errors

    def pause(self, seconds: float) -> None:
        """Delay the responses of operations for `seconds`, like a stalled process.

        Health checks and rejections are still answered.
        """
        self.paused_until_s = time.monotonic() + seconds

    def drain(self) -> None:
        """Reject new requests; complete those in progress."""
        self.drain_started_s = time.monotonic()

    async def kill(self) -> None:
        """Stop immediately, like a machine that fails: listener closed, all connections reset."""
        self.is_running = False
        self.stop_listening()
        self.reset_connections()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await http.serve(reader, writer, self._handle)

    async def _handle(self, request: http.Request) -> http.Response:
        now = time.monotonic()
        if request.path in ("/alive", "/metrics/load"):
            self.counts.health_checks += 1
            is_healthy = self.drain_started_s is None and self.in_flight < self.capacity_at(now)
            body = self._load(now).encode() if request.path == "/metrics/load" else b""
            return http.Response(200 if is_healthy else 503, body)
        if "x-request-id" not in request.headers:
            self.counts.without_id += 1
            return http.Response(404, b"no X-Request-ID")
        self.counts.requests += 1
        if self.drain_started_s is not None:
            self.counts.requests_after_drain_s.append(now - self.drain_started_s)
        if self.drain_started_s is not None or (
            self.in_flight >= self.capacity_at(now) and self.queued >= self.behavior.queue
        ):
            self.on_request(request, now, False)
            self.counts.rejected += 1
            return http.Response(503, b"", (("X-Not-Processed", "1"),))
        async with self._slot_freed:
            self.queued += 1
            try:
                await self._slot_freed.wait_for(lambda: self.in_flight < self.capacity_at(time.monotonic()))
            finally:
                self.queued -= 1
            self.in_flight += 1
        self.on_request(request, now, True)
        self.counts.max_in_flight = max(self.counts.max_in_flight, self.in_flight)
        try:
            return await self._process(request)
        finally:
            async with self._slot_freed:
                self.in_flight -= 1
                self._slot_freed.notify_all()

    async def _process(self, request: http.Request) -> http.Response:
        behavior = self.behavior
        if behavior.silent:
            while behavior.silent:
                await asyncio.sleep(SILENCE_CHECK_INTERVAL_S)
            return http.Response(500, abort=True)  # the operation is lost, its slot is freed
        await asyncio.sleep(behavior.median_s * math.exp(behavior.sigma * self.random.gauss(0.0, 1.0)))
        remaining_s = self.paused_until_s - time.monotonic()
        if remaining_s > 0:
            await asyncio.sleep(remaining_s)
        load = (("X-Server-Load", "TEXT " + self._load(time.monotonic())),)
        if self.random.random() < behavior.error_share:
            self.counts.errors += 1
            return http.Response(500, b"", load)
        self.counts.completed += 1
        return http.Response(
            200, b"done " + request.headers["x-request-id"].encode() + b" " + request.body, load
        )

    def on_request(self, request: http.Request, arrived_s: float, ran: bool) -> None:
        """Hook for subclasses: a request was rejected, or its processing starts.

        Args:
            request: The request.
            arrived_s: Arrival time on the monotonic clock.
            ran: Whether it is processed; False if it was rejected.
        """

    def _load(self, now_s: float) -> str:
        """Return the load in the platform's text format; `util` is the share of the capacity in use."""
        capacity = self.capacity_at(now_s)
        return (
            f"inflight={self.in_flight}, queue={self.queued}, util={min(1.0, self.in_flight / capacity):.2f}"
        )


class ServerPool:
    """Servers s0, s1, ... with equal behavior and seeds derived from one seed."""

    def __init__(self, size: int, behavior: ServerBehavior, seed: int, host: str = "127.0.0.1") -> None:
        random = Random(seed)
        self.servers = [
            Server(f"s{i}", ServerBehavior(**_behavior_fields(behavior)), random.getrandbits(48), host)
            for i in range(size)
        ]

    async def open(self) -> "ServerPool":
        """Start all servers and return the pool itself."""
        for server in self.servers:
            await server.open()
        return self

    async def close(self) -> None:
        """Stop all servers."""
        for server in self.servers:
            with contextlib.suppress(Exception):
                await server.kill()

    def totals(self) -> ServerCounts:
        """Return the sums of all servers' counters; `max_in_flight` is the maximum of any single server."""
        total = ServerCounts()
        for server in self.servers:
            for name in ("requests", "completed", "errors", "rejected", "without_id", "health_checks"):
                setattr(total, name, getattr(total, name) + getattr(server.counts, name))
            total.requests_after_drain_s.extend(server.counts.requests_after_drain_s)
        total.max_in_flight = max((each.counts.max_in_flight for each in self.servers), default=0)
        return total


def _behavior_fields(behavior: ServerBehavior) -> dict:
    return {name: getattr(behavior, name) for name in ServerBehavior.__slots__}
