"""Servers, the counter and discovery as the limiters meet them, in simulated time. No I/O.

Times are whole microseconds. Each part draws from a seeded `random.Random` of its own.
"""

import math
from collections import deque
from dataclasses import dataclass
from enum import Enum
from random import Random

from lapisgrade.interface import AttemptOutcome, CounterOutcome, ServerState

SECOND = 1_000_000
WIRE_US = 150  # one way across the network between any two parts: a loopback or a rack
REFUSE_US = 300  # a server that is full or draining turns away this soon
NO_CONNECTION_US = 1_000  # a dial to a server that is gone fails after this
FAST_ERROR_US = 500  # a server that errs fast answers 500 this soon


class Mode(Enum):
    """How a server or the counter behaves from now on."""

    WELL = "well"
    SLOW = "slow"  # service times multiplied by `factor`
    FAILING = "failing"  # a share `factor` of its work ends in 500 after the usual time
    FAST_ERRORS = "fast_errors"  # every operation ends in 500 at once
    SILENT = "silent"  # takes work and never answers


@dataclass(slots=True)
class ServerKnobs:
    """One server's make: operations at work at once and waiting, service time law, warm-up."""

    capacity: int = 16
    queue: int = 32
    median_us: int = 20_000
    sigma: float = 0.5
    cold_from: float = 0.3  # share of capacity at its start
    warm_us: int = 5 * SECOND  # time to full capacity


@dataclass(slots=True)
class Job:
    """One hop at a server; `done` is called with the outcome once it ends there."""

    hop: object
    done: object
    came_us: int
    cancelled: bool = False


class Server:
    """One server: capacity and queue, cold start, a mode, and a state in the list."""

    __slots__ = (
        "at_work",
        "cell",
        "counts",
        "factor",
        "knobs",
        "mode",
        "most_held",
        "name",
        "random",
        "started_us",
        "state",
        "waiting",
        "zone",
    )

    def __init__(
        self, name: str, zone: str, cell: int, knobs: ServerKnobs, seed: int, started_us: int
    ) -> None:
        self.name, self.zone, self.cell, self.knobs = name, zone, cell, knobs
        self.random = Random(seed)
        self.started_us = started_us
        self.state = ServerState.READY
        self.mode, self.factor = Mode.WELL, 1.0
        self.at_work = 0
        self.waiting: deque[Job] = deque()
        self.counts = {"taken": 0, "finished": 0, "errors": 0, "turned away": 0, "no connection": 0}
        self.most_held = 0

    def room(self, now_us: int) -> int:
        """Operations it takes at work at once by now; a started server warms from `cold_from`."""
        knobs = self.knobs
        warm = 1.0 if knobs.warm_us <= 0 else min(1.0, (now_us - self.started_us) / knobs.warm_us)
        return max(1, math.floor(knobs.capacity * (knobs.cold_from + (1.0 - knobs.cold_from) * warm)))

    def cold(self, now_us: int) -> bool:
        return self.knobs.warm_us > 0 and now_us - self.started_us < self.knobs.warm_us

    def held(self) -> int:
        return self.at_work + len(self.waiting)

    def restart(self, now_us: int) -> None:
        """Come back cold and empty (what was at work is lost with the old process)."""
        self.started_us, self.state, self.mode, self.factor = now_us, ServerState.READY, Mode.WELL, 1.0
        self.at_work = 0
        self.waiting.clear()

    def service_us(self) -> int:
        knobs = self.knobs
        took = knobs.median_us * math.exp(knobs.sigma * self.random.gauss(0.0, 1.0))
        return max(1, round(took * (self.factor if self.mode is Mode.SLOW else 1.0)))

    def ends_in_error(self) -> bool:
        return self.mode is Mode.FAILING and self.random.random() < self.factor


@dataclass(slots=True)
class CounterKnobs:
    """The shared counter: its time for one call, how many it serves a second, and its time-out as seen."""

    median_us: int = 1_000
    sigma: float = 0.3
    calls_per_s: float = 20_000.0  # served one after another; a crowd waits


class Counter:
    """The counter as one queue of calls; a store, or two after a split; parts of the fleet may be cut off."""

    __slots__ = ("counts", "cut", "down", "free_us", "knobs", "mode", "random", "split", "stores")

    def __init__(self, knobs: CounterKnobs, seed: int) -> None:
        self.knobs = knobs
        self.random = Random(seed)
        self.stores: list[dict[int, tuple[float, int]]] = [{}]  # name: total, forgotten at
        self.free_us = 0  # when the counter can take the next call
        self.down = False  # lost: no call is answered
        self.mode = Mode.WELL
        self.cut: set[int] = set()  # limiters that can't reach it
        self.split: int | None = None  # limiters from this number on see a store of their own
        self.counts = {"calls": 0, "added": 0, "unanswered": 0}

    def call(
        self, limiter: int, name: int, amount: float, life_us: int, now_us: int
    ) -> tuple[int, CounterOutcome, float]:
        """When the answer comes back to the limiter, what it says, and the total."""
        self.counts["calls"] += 1
        if self.down or limiter in self.cut or self.mode is Mode.SILENT:
            self.counts["unanswered"] += 1
            return -1, CounterOutcome.TIMED_OUT, 0.0
        knobs = self.knobs
        took = knobs.median_us * math.exp(knobs.sigma * self.random.gauss(0.0, 1.0))
        if self.mode is Mode.SLOW:
            took *= 10
        start = max(now_us + WIRE_US, self.free_us)
        self.free_us = start + round(SECOND / knobs.calls_per_s)
        store = self.stores[1 if self.split is not None and limiter >= self.split else 0]
        total, until = store.get(name, (0.0, 0))
        if until <= now_us:
            total, until = 0.0, now_us + min(life_us, 60 * SECOND)
        total += amount
        store[name] = (total, until)
        self.counts["added"] += 1
        return round(start + took + WIRE_US), CounterOutcome.ADDED, total

    def restart(self) -> None:
        """Come back empty."""
        self.stores = [{} for _ in self.stores]

    def forget(self, now_us: int) -> None:
        for store in self.stores:
            for name in [name for name, (_, until) in store.items() if until <= now_us]:
                del store[name]


def outcome_at_server(server: Server, now_us: int) -> AttemptOutcome | None:
    """How a hop ends at once where it can't be taken, or None where it is taken."""
    if server.state is ServerState.REMOVED:
        return AttemptOutcome.CONNECT_FAILED
    if server.mode is Mode.FAST_ERRORS:
        return AttemptOutcome.ERROR
    if server.state is ServerState.DRAINING:
        return AttemptOutcome.OVERLOADED
    if server.at_work >= server.room(now_us) and len(server.waiting) >= server.knobs.queue:
        return AttemptOutcome.OVERLOADED
    return None
