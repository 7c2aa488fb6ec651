"""Metrics of an emulated run, per second and in total, and its result.

Latencies of finished operations go into an HdrHistogram (the `hdrhistogram` package), in microseconds. The
payoff share is the value earned (full value within the latency target, late value until the deadline) over
the value that all operations could have earned.
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
    """Result of one run, in values that JSON can represent.

    Attributes:
        ends: Number of operations by how they ended.
        nearest_ceiling: Largest use of a rate limit's slack, as a share of it.
        most_cold_share: Largest load of a cold server, as a share of its overload limit.
        overshoot: Customers' units finished beyond their quotas, as shares of the quotas.
        quotas: Excess and shortfall over all windows; see `lab/quota.py`.
        spread: Operations of the busiest limiter over the mean.
        advised: Rejections with a Retry-After time.
        series: Arrivals and ends, by name, for each second.
        faults: Time in microseconds, kind and target of each fault.
    """

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
    overshoot: dict[str, float]
    quotas: dict[str, float]
    counter_calls: int
    counter_unanswered: int
    hops: int
    spread: float
    advised: int
    series: dict[str, list[int]]
    faults: list[tuple[int, str, str]]
    events: int
    wall_s: float
    events_per_s: float
    peak_mb: float

    def as_dict(self) -> dict[str, Any]:
        return asdict(self)


@dataclass(slots=True)
class Metrics:
    """Counters of a running emulation.

    Attributes:
        earned_value: Value of the operations finished in time.
        possible_value: Value of all operations if all had met their latency targets.
        retry_after_count: Rejections with a Retry-After time.
        oversized_add_count: Additions to the counter of more than 1e9 units.
        operations_by_limiter: Operations received, by the limiter's index.
        quotas: Quota use by customer, counting operations when their first attempt is sent.
        finished_units: Units of finished operations, by customer.
    """

    scenario: Any
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 600 * SECOND, 3))
    ends: dict[str, int] = field(default_factory=lambda: dict.fromkeys(ENDS, 0))
    earned_value: float = 0.0
    possible_value: float = 0.0
    operation_count: int = 0
    attempt_count: int = 0
    retry_after_count: int = 0
    oversized_add_count: int = 0
    operations_by_limiter: dict[int, int] = field(default_factory=dict)
    quotas: dict[str, quota.Quota] = field(default_factory=dict)
    finished_units: dict[str, float] = field(default_factory=dict)
    series: dict[str, list[int]] = field(default_factory=lambda: {name: [] for name in ("arrived", *ENDS)})
    _this_second: dict[str, int] = field(default_factory=lambda: dict.fromkeys(("arrived", *ENDS), 0))
    faults: list = field(default_factory=list)

    def on_arrival(self, record) -> None:
        self.operation_count += 1
        self._this_second["arrived"] += 1
        op = record.op
        self.possible_value += op.category.value * op.units
        self.quota_of(op).on_arrival(op.units, op.arrived_us)

    def quota_of(self, op) -> quota.Quota:
        known = self.quotas.get(op.customer)
        if known is None:
            known = self.quotas[op.customer] = quota.Quota(op.plan.rate, op.plan.burst, SECOND)
        return known

    def on_admission(self, record, now_us: int) -> None:
        """Count the operation as admitted when its first attempt is sent."""
        self.quota_of(record.op).on_admission(record.op.units, now_us)

    def count_end(self, name: str) -> None:
        self.ends[name] += 1
        self._this_second[name] += 1

    def on_operation_routed(self, index: int) -> None:
        self.operations_by_limiter[index] = self.operations_by_limiter.get(index, 0) + 1

    def on_attempt(self) -> None:
        self.attempt_count += 1

    def on_finished(self, record, now_us: int) -> None:
        op = record.op
        latency_us = now_us - op.arrived_us
        self.count_end("finished")
        self.latency.record_value(max(1, min(latency_us, 600 * SECOND)))
        if latency_us <= op.category.latency_target_us:
            self.earned_value += op.category.value * op.units
        elif latency_us <= op.category.timeout_us:
            self.earned_value += op.category.late_value * op.units
        self.finished_units[op.customer] = self.finished_units.get(op.customer, 0.0) + op.units

    def on_rejected(self, record, is_retryable: bool, has_retry_after: bool) -> None:
        self.count_end("turned back" if is_retryable else "given up")
        self.retry_after_count += has_retry_after and is_retryable

    def on_unanswered(self, record) -> None:
        self.count_end("lost")

    def on_abandoned(self, record) -> None:
        self.count_end("left")

    def on_front_end_answer(self, record) -> None:
        """Count an operation whose limiter died, or whose limiters are all dead; the front end answers it."""
        self.count_end("front")

    def end_second(self, world) -> None:
        for name, count in self._this_second.items():
            self.series[name].append(count)
            self._this_second[name] = 0

    def overshoot(self, world) -> dict[str, float]:
        """Return how far finished units exceed customers' quotas over the run, as shares of them."""
        seconds = world.scenario.seconds_us / SECOND + 5  # margin for the latest deadlines
        shares = []
        for customer in world.customers.all:
            allowed = customer.plan.burst + customer.plan.rate * seconds
            used = self.finished_units.get(customer.name, 0.0)
            if allowed > 0 and used:
                shares.append(max(0.0, used - allowed) / allowed)
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
        operation_counts = list(self.operations_by_limiter.values()) or [0]
        mean = sum(operation_counts) / len(operation_counts)
        events = world.sim.events
        return Result(
            sc.name,
            sc.policy,
            sc.seed,
            sc.limiters,
            sc.servers,
            sc.customers,
            sc.seconds_us / SECOND,
            self.operation_count,
            dict(self.ends),
            self.earned_value / self.possible_value if self.possible_value else 0.0,
            latency,
            [asdict(each) for each in world.rules.breaches],
            world.rules.breach_count,
            world.rules.nearest_ceiling,
            world.rules.most_cold_share,
            self.overshoot(world),
            quota.summary(list(self.quotas.values()), sc.seconds_us / SECOND),
            world.counter.counts["calls"],
            world.counter.counts["unanswered"],
            self.attempt_count,
            max(operation_counts) / mean if mean else 0.0,
            self.retry_after_count,
            self.series,
            self.faults,
            events,
            wall_s,
            events / wall_s if wall_s else 0.0,
            peak_bytes / 2**20,
        )
