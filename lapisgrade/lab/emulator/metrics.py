"""Metrics of an emulated run, per second and in total, and its result.

An HdrHistogram (package `hdrhistogram`) holds the latencies of finished operations in microseconds. The
payoff share is the value earned (full value within the latency target, late value until the deadline) over
the value that all operations could have earned.
"""

from dataclasses import asdict, dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from lapisgrade.lab import quota

SECOND = 1_000_000  # us
# How an operation ends: answered by a server, rejected as retryable, rejected as failed, never answered,
# abandoned by its client, or answered by the front end because its limiter died or none was alive.
ENDS = ("finished", "turned back", "given up", "lost", "left", "front")
PERCENTILES = (50.0, 90.0, 99.0, 99.9)  # of the latency, in the result


@dataclass(slots=True)
class Result:
    """Result of one run, in values that JSON can represent; the field names are the keys of a result file.

    Attributes:
        name: The scenario's name.
        policy: Policy of the limiters.
        seed: Seed of all random numbers.
        limiters: Number of limiters.
        servers: Number of servers.
        customers: Number of customers.
        seconds: Simulated time in which clients send operations.
        operations: Number of operations that clients sent.
        ends: Number of operations by how they ended, see ENDS.
        payoff_share: Value earned, as a share of the value that could have been earned.
        latency_ms: Percentiles and maximum of the latency of finished operations.
        breaches: The first breaches of rules, see `rules.Breach`.
        broken: Number of all breaches.
        nearest_ceiling: Largest use of a rate limit's slack, as a share of it.
        most_cold_share: Largest load of a cold server, as a share of its overload limit.
        overshoot: Customers' units finished beyond their quotas, as shares of the quotas.
        quotas: Excess and shortfall over all windows; see `lab/quota.py`.
        counter_calls: Number of calls to the shared counter.
        counter_unanswered: Number of those calls that the counter did not answer.
        hops: Number of attempts sent.
        spread: Operations of the busiest limiter over the mean.
        advised: Number of retryable rejections with a Retry-After time.
        series: Number of arrivals and of each end, by name, for each second.
        faults: Time in microseconds from the start, kind and target of each fault.
        events: Number of simulated events.
        wall_s: Real duration of the run.
        events_per_s: Simulated events per second of real time.
        peak_mb: Largest resident memory of the process so far, in MiB.
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
        """Return the result as a dictionary, for JSON."""
        return asdict(self)


@dataclass(slots=True)
class Metrics:
    """Counters of a running emulation.

    Attributes:
        scenario: The scenario.
        latency: Latencies of finished operations in us, up to 600 s.
        ends: Number of operations by how they ended, see ENDS.
        earned_value: Value of the operations finished in time.
        possible_value: Value of all operations if all had met their latency targets.
        operation_count: Number of operations that clients sent.
        attempt_count: Number of attempts sent.
        retry_after_count: Number of retryable rejections with a Retry-After time.
        oversized_add_count: Number of adds to the counter of more than 1e9 units.
        operations_by_limiter: Number of operations received, by the limiter's index.
        quotas: Quota use by customer; an operation counts as admitted when its first attempt is sent.
        finished_units: Units of finished operations, by customer.
        series: Number of arrivals and of each end, by name, for each second that is over.
        faults: Time in us from the start, kind and target of each fault.
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
        """Count an operation that a client sends."""
        self.operation_count += 1
        self._this_second["arrived"] += 1
        operation = record.op
        self.possible_value += operation.category.value * operation.units
        self.quota_of(operation).on_arrival(operation.units, operation.arrived_us)

    def quota_of(self, operation) -> quota.Quota:
        """Return the quota use of the operation's customer; it starts at the start of the run."""
        usage = self.quotas.get(operation.customer)
        if usage is None:
            usage = self.quotas[operation.customer] = quota.Quota(
                operation.plan.rate, operation.plan.burst, SECOND
            )
        return usage

    def on_admission(self, record, now_us: int) -> None:
        """Count an operation as admitted, as its first attempt is sent."""
        self.quota_of(record.op).on_admission(record.op.units, now_us)

    def count_end(self, name: str) -> None:
        """Count an operation that ended; `name` is one of ENDS."""
        self.ends[name] += 1
        self._this_second[name] += 1

    def on_operation_routed(self, index: int) -> None:
        """Count an operation for the limiter that receives it."""
        self.operations_by_limiter[index] = self.operations_by_limiter.get(index, 0) + 1

    def on_attempt(self) -> None:
        """Count an attempt that is sent."""
        self.attempt_count += 1

    def on_finished(self, record, now_us: int) -> None:
        """Count a server's response that reaches the client, with its latency and its value."""
        operation = record.op
        latency_us = now_us - operation.arrived_us
        self.count_end("finished")
        self.latency.record_value(max(1, min(latency_us, 600 * SECOND)))
        if latency_us <= operation.category.latency_target_us:
            self.earned_value += operation.category.value * operation.units
        elif latency_us <= operation.category.timeout_us:
            self.earned_value += operation.category.late_value * operation.units
        self.finished_units[operation.customer] = (
            self.finished_units.get(operation.customer, 0.0) + operation.units
        )

    def on_rejected(self, record, is_retryable: bool, has_retry_after: bool) -> None:
        """Count a rejection."""
        self.count_end("turned back" if is_retryable else "given up")
        self.retry_after_count += has_retry_after and is_retryable

    def on_unanswered(self, record) -> None:
        """Count an operation without an answer by its deadline and the grace period."""
        self.count_end("lost")

    def on_abandoned(self, record) -> None:
        """Count an operation whose client disconnected before the answer."""
        self.count_end("left")

    def on_front_end_answer(self, record) -> None:
        """Count an operation that the front end answers: its limiter died, or none of its set is alive."""
        self.count_end("front")

    def end_second(self, world) -> None:
        """Append the counts of the second that is over to the series, and reset them."""
        for name, count in self._this_second.items():
            self.series[name].append(count)
            self._this_second[name] = 0

    def overshoot(self, world) -> dict[str, float]:
        """Return the distribution, over customers, of finished units beyond the quota as a share of it.

        The quota over the run is burst + rate x time. Customers with a quota and a finished operation count.
        """
        # 5 s more than the clients send: the last operations finish within the longest deadline.
        seconds = world.scenario.seconds_us / SECOND + 5
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
        """Return the result of a run that took `wall_s` of real time and `peak_bytes` of memory."""
        scenario = world.scenario
        latency = {
            f"p{percentile:g}": self.latency.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
        }
        latency["max"] = self.latency.get_max_value() / 1000
        operation_counts = list(self.operations_by_limiter.values()) or [0]
        mean = sum(operation_counts) / len(operation_counts)
        events = world.sim.events
        return Result(
            scenario.name,
            scenario.policy,
            scenario.seed,
            scenario.limiters,
            scenario.servers,
            scenario.customers,
            scenario.seconds_us / SECOND,
            self.operation_count,
            dict(self.ends),
            self.earned_value / self.possible_value if self.possible_value else 0.0,
            latency,
            [asdict(breach) for breach in world.rules.breaches],
            world.rules.breach_count,
            world.rules.nearest_ceiling,
            world.rules.most_cold_share,
            self.overshoot(world),
            quota.summary(list(self.quotas.values()), scenario.seconds_us / SECOND),
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
