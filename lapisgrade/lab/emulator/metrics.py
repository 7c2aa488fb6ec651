"""What an emulated run measures, second by second and in total, and the result it hands back.

Latency of finished operations goes into an HdrHistogram (the `hdrhistogram` package), in microseconds. The
payoff share is what was earned (payoff in the quoted time, late payoff by the hard stop) over what all
operations could have earned.
"""

from dataclasses import asdict, dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from lapisgrade.lab import quota

SECOND = 1_000_000
ENDS = ("finished", "turned back", "given up", "lost", "left", "front")
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@dataclass(slots=True)
class Result:
    """One run, in plain values (JSON as it is)."""

    name: str
    policy: str
    seed: int
    limiters: int
    servers: int
    customers: int
    seconds: float
    operations: int
    ends: dict[str, int]
    payoff_share: float
    latency_ms: dict[str, float]
    breaches: list[dict[str, Any]]
    broken: int
    nearest_ceiling: float
    most_cold_share: float
    overshoot: dict[str, float]  # of customers' quotas: admitted units beyond them, as shares
    quotas: dict[str, float]  # over all windows, and short of quota: see lab/quota.py
    counter_calls: int
    counter_unanswered: int
    hops: int
    spread: float  # operations of the busiest limiter over the mean
    advised: int  # turn-backs that said when to come back
    series: dict[str, list[int]]  # each second: arrivals and each end
    faults: list[tuple[int, str, str]]
    events: int
    wall_s: float
    events_per_s: float
    peak_mb: float

    def as_dict(self) -> dict[str, Any]:
        return asdict(self)


@dataclass(slots=True)
class Metrics:
    scenario: Any
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 600 * SECOND, 3))
    ends: dict[str, int] = field(default_factory=lambda: dict.fromkeys(ENDS, 0))
    earned: float = 0.0
    possible: float = 0.0
    operations: int = 0
    hops: int = 0
    advised: int = 0
    counter_refused: int = 0
    by_limiter: dict[int, int] = field(default_factory=dict)
    quotas: dict[str, quota.Quota] = field(default_factory=dict)  # by customer, as sent on
    admitted: dict[str, float] = field(default_factory=dict)  # units finished, per customer
    series: dict[str, list[int]] = field(default_factory=lambda: {name: [] for name in ("arrived", *ENDS)})
    _this_second: dict[str, int] = field(default_factory=lambda: dict.fromkeys(("arrived", *ENDS), 0))
    faults: list = field(default_factory=list)

    def arrived(self, record) -> None:
        self.operations += 1
        self._this_second["arrived"] += 1
        op = record.op
        self.possible += op.category.value * op.units
        self.quota(op).on_arrival(op.units, op.arrived_us)

    def quota(self, op) -> quota.Quota:
        kept = self.quotas.get(op.customer)
        if kept is None:
            kept = self.quotas[op.customer] = quota.Quota(op.plan.rate, op.plan.burst, SECOND)
        return kept

    def on_admission(self, record, now_us: int) -> None:
        """Its first hop goes out."""
        self.quota(record.op).on_admission(record.op.units, now_us)

    def end(self, name: str) -> None:
        self.ends[name] += 1
        self._this_second[name] += 1

    def taken(self, index: int) -> None:
        self.by_limiter[index] = self.by_limiter.get(index, 0) + 1

    def hop(self) -> None:
        self.hops += 1

    def finished(self, record, now_us: int) -> None:
        op = record.op
        took = now_us - op.arrived_us
        self.end("finished")
        self.latency.record_value(max(1, min(took, 600 * SECOND)))
        if took <= op.category.latency_target_us:
            self.earned += op.category.value * op.units
        elif took <= op.category.timeout_us:
            self.earned += op.category.late_value * op.units
        self.admitted[op.customer] = self.admitted.get(op.customer, 0.0) + op.units

    def answered(self, record, turned_back: bool, advised: bool) -> None:
        self.end("turned back" if turned_back else "given up")
        self.advised += advised and turned_back

    def lost(self, record) -> None:
        self.end("lost")

    def left(self, record) -> None:
        self.end("left")

    def front(self, record) -> None:
        """Its limiter died, or none of its set is alive; the front answered it."""
        self.end("front")

    def second(self, world) -> None:
        for name, count in self._this_second.items():
            self.series[name].append(count)
            self._this_second[name] = 0

    def overshoot(self, world) -> dict[str, float]:
        """Per customer, units finished beyond its quota over the run (burst and rate), as shares of it."""
        seconds = world.scenario.seconds_us / SECOND + 5  # the last arrivals end within the longest hard stop
        shares = []
        for customer in world.customers.all:
            quota = customer.plan.burst + customer.plan.rate * seconds
            used = self.admitted.get(customer.name, 0.0)
            if quota > 0 and used:
                shares.append(max(0.0, used - quota) / quota)
        shares.sort()
        if not shares:
            return {"customers": 0, "p50": 0.0, "p99": 0.0, "max": 0.0}
        return {
            "customers": len(shares),
            "p50": shares[len(shares) // 2],
            "p99": shares[min(len(shares) - 1, int(len(shares) * 0.99))],
            "max": shares[-1],
        }

    def result(self, world, wall_s: float, peak_bytes: int) -> Result:
        sc = world.scenario
        latency = {f"p{p:g}": self.latency.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
        latency["max"] = self.latency.get_max_value() / 1000
        taken = list(self.by_limiter.values()) or [0]
        mean = sum(taken) / len(taken)
        events = world.sim.events
        return Result(
            sc.name,
            sc.policy,
            sc.seed,
            sc.limiters,
            sc.servers,
            sc.customers,
            sc.seconds_us / SECOND,
            self.operations,
            dict(self.ends),
            self.earned / self.possible if self.possible else 0.0,
            latency,
            [asdict(each) for each in world.rules.breaches],
            world.rules.broken,
            world.rules.nearest_ceiling,
            world.rules.most_cold_share,
            self.overshoot(world),
            quota.summary(list(self.quotas.values()), sc.seconds_us / SECOND),
            world.counter.counts["calls"],
            world.counter.counts["unanswered"],
            self.hops,
            max(taken) / mean if mean else 0.0,
            self.advised,
            self.series,
            self.faults,
            events,
            wall_s,
            events / wall_s if wall_s else 0.0,
            peak_bytes / 2**20,
        )
