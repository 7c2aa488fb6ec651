"""Models of the servers and the shared counter in simulated time. No I/O.

Times are whole microseconds. Each server and the counter draws from its own seeded `random.Random`.
"""

import math
from collections import deque
from dataclasses import dataclass
from enum import Enum
from random import Random

from lapisgrade.interface import AttemptOutcome, CounterOutcome, ServerState

SECOND = 1_000_000  # us
NETWORK_DELAY_US = 150  # one way between any two processes, as on a loopback or within a rack
REJECT_DELAY_US = 300  # from an attempt's arrival at a full or draining server to its rejection
CONNECT_FAILURE_DELAY_US = 1_000  # until a connection to a removed server fails
FAST_ERROR_DELAY_US = 500  # from an attempt's arrival to the status 500 of mode FAST_ERRORS


class Mode(Enum):
    """Behavior of a server or the counter; the counter has only NORMAL, SLOW and SILENT."""

    NORMAL = "well"
    SLOW = "slow"  # a server's service times are multiplied by `factor`, the counter's by 10
    FAILING = "failing"  # a share `factor` of the operations ends with status 500 after the usual time
    FAST_ERRORS = "fast_errors"  # every operation ends with status 500 at once
    SILENT = "silent"  # accepts operations or calls and never responds


@dataclass(slots=True)
class ServerParameters:
    """Capacity, service time and slow start of one server.

    Attributes:
        capacity: Operations that run concurrently once the server is warm.
        queue: Further operations that may wait; a full queue rejects.
        median_us: Median of the log-normal service time.
        sigma: Standard deviation of the service time's natural logarithm.
        cold_from: Share of the capacity that a server has when it starts.
        warm_us: Duration of the slow start, in which the capacity grows linearly; 0: none.
    """

    capacity: int = 16
    queue: int = 32
    median_us: int = 20_000
    sigma: float = 0.5
    cold_from: float = 0.3
    warm_us: int = 5 * SECOND


@dataclass(slots=True)
class Job:
    """An attempt that a server accepted, and the limiter that sent it."""

    attempt: object
    limiter: object
    arrived_us: int
    is_cancelled: bool = False


class Server:
    """A server with a capacity, a queue, a slow start and a mode.

    Attributes:
        started_us: Time of the last start.
        state: State as discovery will notify it.
        factor: Parameter of the mode, see `Mode`.
        running: Number of operations in execution.
        queued: Attempts that wait for execution.
        counts: Numbers of attempts accepted and rejected, and of connections and operations that failed.
        peak_load: Largest load so far.
    """

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
        """Create a ready server that started at `started_us`."""
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
        """Return how many operations may run concurrently now; it grows during the slow start."""
        parameters = self.parameters
        warm_share = (
            1.0 if parameters.warm_us <= 0 else min(1.0, (now_us - self.started_us) / parameters.warm_us)
        )
        return max(
            1,
            math.floor(
                parameters.capacity * (parameters.cold_from + (1.0 - parameters.cold_from) * warm_share)
            ),
        )

    def is_cold(self, now_us: int) -> bool:
        """Return whether the slow start is still in progress."""
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
        """Draw the duration of one operation in the current mode."""
        parameters = self.parameters
        duration_us = parameters.median_us * math.exp(parameters.sigma * self.random.gauss(0.0, 1.0))
        return max(1, round(duration_us * (self.factor if self.mode is Mode.SLOW else 1.0)))

    def draw_is_error(self) -> bool:
        """Draw whether an operation ends with status 500 in the current mode."""
        return self.mode is Mode.FAILING and self.random.random() < self.factor


@dataclass(slots=True)
class CounterParameters:
    """Latency and throughput of the shared counter.

    Attributes:
        median_us: Median of the log-normal call duration, without network delay and waiting.
        sigma: Standard deviation of the call duration's natural logarithm.
        calls_per_s: Throughput; calls are processed one after another, and wait for their turn.
    """

    median_us: int = 1_000
    sigma: float = 0.3
    calls_per_s: float = 20_000.0


class Counter:
    """The shared counter: one queue of calls, and one store, or two after a split.

    Attributes:
        stores: For each store: total in units and expiry time in us, by counter id.
        next_call_us: Earliest time at which the next call is processed.
        is_down: Whether no call is answered.
        unreachable_from: Indexes of the limiters that can't reach the counter.
        split_from: Limiters from this index on use the second store; None without a split.
        counts: Number of calls, of calls that added, and of calls without a reply.
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
        """Create a counter with an empty store."""
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
        self, limiter_index: int, counter_id: int, amount: float, ttl_us: int, now_us: int
    ) -> tuple[int, CounterOutcome, float]:
        """Add `amount` units for a limiter; the first add sets the total's expiry.

        Returns:
            The time in us at which the reply reaches the limiter (-1: never), its outcome, and the total.
        """
        self.counts["calls"] += 1
        if self.is_down or limiter_index in self.unreachable_from or self.mode is Mode.SILENT:
            self.counts["unanswered"] += 1
            return -1, CounterOutcome.TIMED_OUT, 0.0
        parameters = self.parameters
        duration_us = parameters.median_us * math.exp(parameters.sigma * self.random.gauss(0.0, 1.0))
        if self.mode is Mode.SLOW:
            duration_us *= 10
        start_us = max(now_us + NETWORK_DELAY_US, self.next_call_us)
        self.next_call_us = start_us + round(SECOND / parameters.calls_per_s)
        store = self.stores[1 if self.split_from is not None and limiter_index >= self.split_from else 0]
        total, expires_us = store.get(counter_id, (0.0, 0))
        if expires_us <= now_us:
            total, expires_us = 0.0, now_us + min(ttl_us, 60 * SECOND)
        total += amount
        store[counter_id] = (total, expires_us)
        self.counts["added"] += 1
        return round(start_us + duration_us + NETWORK_DELAY_US), CounterOutcome.ADDED, total

    def restart(self) -> None:
        """Empty all stores, as a restart does."""
        self.stores = [{} for _ in self.stores]

    def delete_expired(self, now_us: int) -> None:
        """Delete expired totals, to bound the memory; `call` ignores them anyway."""
        for store in self.stores:
            for counter_id in [
                counter_id for counter_id, (_, expires_us) in store.items() if expires_us <= now_us
            ]:
                del store[counter_id]


def immediate_outcome(server: Server, now_us: int) -> AttemptOutcome | None:
    """Return the outcome of an attempt that the server rejects at once, or None if it accepts it."""
    if server.state is ServerState.REMOVED:
        return AttemptOutcome.CONNECT_FAILED
    if server.mode is Mode.FAST_ERRORS:
        return AttemptOutcome.ERROR
    if server.state is ServerState.DRAINING:
        return AttemptOutcome.OVERLOADED
    if server.running >= server.capacity(now_us) and len(server.queued) >= server.parameters.queue:
        return AttemptOutcome.OVERLOADED
    return None
