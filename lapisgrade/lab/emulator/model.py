"""Models of the servers and the shared counter in simulated time. No I/O.

Times are whole microseconds. Each part draws from a seeded `random.Random` of its own.
"""

import math
from collections import deque
from dataclasses import dataclass
from enum import Enum
from random import Random

from lapisgrade.interface import AttemptOutcome, CounterOutcome, ServerState

SECOND = 1_000_000
NETWORK_DELAY_US = 150  # one way between any two parts, as on a loopback or within a rack
REJECT_DELAY_US = 300  # until a full or draining server rejects an attempt
CONNECT_FAILURE_DELAY_US = 1_000  # until a connection attempt to a removed server fails
FAST_ERROR_DELAY_US = 500  # until a server in mode FAST_ERRORS responds with status 500


class Mode(Enum):
    """Current behavior of a server or the counter."""

    NORMAL = "well"
    SLOW = "slow"  # service times are multiplied by `factor`
    FAILING = "failing"  # a share `factor` of the operations ends with status 500 after the usual time
    FAST_ERRORS = "fast_errors"  # every operation ends with status 500 at once
    SILENT = "silent"  # accepts work and never responds


@dataclass(slots=True)
class ServerParameters:
    """Capacity, service time and slow start of one server.

    Attributes:
        capacity: Operations that run concurrently.
        queue: Operations that wait beyond them.
        median_us: Median of the log-normal service time.
        sigma: Sigma of the log-normal service time.
        cold_from: Share of the capacity available at the start.
        warm_us: Time until the full capacity is available.
    """

    capacity: int = 16
    queue: int = 32
    median_us: int = 20_000
    sigma: float = 0.5
    cold_from: float = 0.3
    warm_us: int = 5 * SECOND


@dataclass(slots=True)
class Job:
    """An attempt at a server, and the limiter that sent it."""

    attempt: object
    limiter: object
    arrived_us: int
    is_cancelled: bool = False


class Server:
    """A server with capacity, queue, slow start, a mode, and its state at discovery."""

    __slots__ = (
        "cell",
        "counts",
        "factor",
        "mode",
        "name",
        "parameters",
        "peak_load",
        "queued",
        "random",
        "running",
        "started_us",
        "state",
        "zone",
    )

    def __init__(
        self, name: str, zone: str, cell: int, parameters: ServerParameters, seed: int, started_us: int
    ) -> None:
        self.name, self.zone, self.cell, self.parameters = name, zone, cell, parameters
        self.random = Random(seed)
        self.started_us = started_us
        self.state = ServerState.READY
        self.mode, self.factor = Mode.NORMAL, 1.0
        self.running = 0
        self.queued: deque[Job] = deque()
        self.counts = {"accepted": 0, "completed": 0, "errors": 0, "rejected": 0, "connect failed": 0}
        self.peak_load = 0

    def capacity(self, now_us: int) -> int:
        """Return how many operations run concurrently now; grows from `cold_from` during slow start."""
        parameters = self.parameters
        warm = 1.0 if parameters.warm_us <= 0 else min(1.0, (now_us - self.started_us) / parameters.warm_us)
        return max(
            1,
            math.floor(parameters.capacity * (parameters.cold_from + (1.0 - parameters.cold_from) * warm)),
        )

    def is_cold(self, now_us: int) -> bool:
        return self.parameters.warm_us > 0 and now_us - self.started_us < self.parameters.warm_us

    def load(self) -> int:
        """Return the number of running and queued operations."""
        return self.running + len(self.queued)

    def restart(self, now_us: int) -> None:
        """Start again, cold and empty; the old process's operations are lost."""
        self.started_us, self.state, self.mode, self.factor = now_us, ServerState.READY, Mode.NORMAL, 1.0
        self.running = 0
        self.queued.clear()

    def draw_service_time_us(self) -> int:
        parameters = self.parameters
        duration = parameters.median_us * math.exp(parameters.sigma * self.random.gauss(0.0, 1.0))
        return max(1, round(duration * (self.factor if self.mode is Mode.SLOW else 1.0)))

    def draw_is_error(self) -> bool:
        return self.mode is Mode.FAILING and self.random.random() < self.factor


@dataclass(slots=True)
class CounterParameters:
    """Latency and throughput of the shared counter.

    Attributes:
        median_us: Median of the log-normal call time.
        sigma: Sigma of the log-normal call time.
        calls_per_s: Calls processed per second, one after another; further calls queue.
    """

    median_us: int = 1_000
    sigma: float = 0.3
    calls_per_s: float = 20_000.0


class Counter:
    """The shared counter: one queue of calls, and one store, or two after a split.

    Attributes:
        stores: Total and expiry time in microseconds, by counter id.
        next_call_us: Time at which the next call can be processed.
        is_down: No call is answered.
        unreachable_from: Limiters that can't reach the counter.
        split_from: Limiters from this index on use the second store; None without a split.
    """

    __slots__ = (
        "counts",
        "is_down",
        "mode",
        "next_call_us",
        "parameters",
        "random",
        "split_from",
        "stores",
        "unreachable_from",
    )

    def __init__(self, parameters: CounterParameters, seed: int) -> None:
        self.parameters = parameters
        self.random = Random(seed)
        self.stores: list[dict[int, tuple[float, int]]] = [{}]
        self.next_call_us = 0
        self.is_down = False
        self.mode = Mode.NORMAL
        self.unreachable_from: set[int] = set()
        self.split_from: int | None = None
        self.counts = {"calls": 0, "added": 0, "unanswered": 0}

    def call(
        self, limiter: int, counter_id: int, amount: float, ttl_us: int, now_us: int
    ) -> tuple[int, CounterOutcome, float]:
        """Add to a counter.

        Returns:
            The time at which the reply reaches the limiter (-1 if there is none), the outcome, and the total.
        """
        self.counts["calls"] += 1
        if self.is_down or limiter in self.unreachable_from or self.mode is Mode.SILENT:
            self.counts["unanswered"] += 1
            return -1, CounterOutcome.TIMED_OUT, 0.0
        parameters = self.parameters
        duration = parameters.median_us * math.exp(parameters.sigma * self.random.gauss(0.0, 1.0))
        if self.mode is Mode.SLOW:
            duration *= 10
        start = max(now_us + NETWORK_DELAY_US, self.next_call_us)
        self.next_call_us = start + round(SECOND / parameters.calls_per_s)
        store = self.stores[1 if self.split_from is not None and limiter >= self.split_from else 0]
        total, expires_us = store.get(counter_id, (0.0, 0))
        if expires_us <= now_us:
            total, expires_us = 0.0, now_us + min(ttl_us, 60 * SECOND)
        total += amount
        store[counter_id] = (total, expires_us)
        self.counts["added"] += 1
        return round(start + duration + NETWORK_DELAY_US), CounterOutcome.ADDED, total

    def restart(self) -> None:
        """Restart with empty stores."""
        self.stores = [{} for _ in self.stores]

    def delete_expired(self, now_us: int) -> None:
        for store in self.stores:
            for counter_id in [
                counter_id for counter_id, (_, expires_us) in store.items() if expires_us <= now_us
            ]:
                del store[counter_id]


def immediate_outcome(server: Server, now_us: int) -> AttemptOutcome | None:
    """Return the outcome of an attempt that the server doesn't accept, or None if it accepts it."""
    if server.state is ServerState.REMOVED:
        return AttemptOutcome.CONNECT_FAILED
    if server.mode is Mode.FAST_ERRORS:
        return AttemptOutcome.ERROR
    if server.state is ServerState.DRAINING:
        return AttemptOutcome.OVERLOADED
    if server.running >= server.capacity(now_us) and len(server.queued) >= server.parameters.queue:
        return AttemptOutcome.OVERLOADED
    return None
