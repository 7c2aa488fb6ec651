"""Schedules of operations and their due times, made before the run and independent of answers.

Pure: no clock, no sockets. Times are whole microseconds from the run's start. All random numbers come from
one seeded `random.Random`, so the same seed and shape give the same schedule.

Shapes (rates in operations per second):
- `constant`: evenly spaced at `rate`;
- `poisson`: exponential gaps at mean `rate`;
- `step`: `rate` until `at_s`, then `peak`;
- `burst`: `rate`, with `peak` from `at_s` for `length_s`;
- `ramp`: linearly from `rate` to `peak` over the run.
"""

import math
from dataclasses import dataclass
from random import Random

SECOND = 1_000_000  # us
SHAPES = ("constant", "poisson", "step", "burst", "ramp")
MAX_OPERATIONS = 5_000_000  # longer schedules are rejected: they would need too much memory


class ScheduleError(ValueError):
    """A shape or a trace is invalid; the message gives the reason."""


@dataclass(frozen=True, slots=True)
class Shape:
    """A traffic shape; rates in operations per second, times in seconds from the run's start.

    Attributes:
        kind: One of SHAPES; the module describes them.
        rate: Base rate.
        seconds: Duration of the run.
        peak: Rate of the step or burst, or at the end of the ramp.
        at_s: Start of the step or burst.
        length_s: Duration of the burst.
    """

    kind: str = "poisson"
    rate: float = 50.0
    seconds: float = 10.0
    peak: float = 0.0
    at_s: float = 0.0
    length_s: float = 0.0

    def check(self) -> None:
        """Check the values.

        Raises:
            ScheduleError: A value is out of range, or the schedule would have more than MAX_OPERATIONS.
        """
        if self.kind not in SHAPES:
            raise ScheduleError(f"shape {self.kind!r} is not one of {', '.join(SHAPES)}")
        if min(self.rate, self.peak, self.at_s, self.length_s) < 0 or not self.seconds > 0:
            raise ScheduleError(
                "rates, times and lengths must not be negative, and the duration must be positive"
            )
        if math.isinf(self.rate) or math.isinf(self.peak) or math.isinf(self.seconds):
            raise ScheduleError("rates and the duration must be finite")
        if max(self.rate, self.peak) * self.seconds > MAX_OPERATIONS:
            raise ScheduleError(f"the schedule would have more than {MAX_OPERATIONS} operations")

    def rate_at(self, t_s: float) -> float:
        """Return the rate (operations per second) at `t_s` seconds from the run's start."""
        if self.kind == "step":
            return self.peak if t_s >= self.at_s else self.rate
        if self.kind == "burst":
            return self.peak if self.at_s <= t_s < self.at_s + self.length_s else self.rate
        if self.kind == "ramp":
            return self.rate + (self.peak - self.rate) * min(1.0, t_s / self.seconds)
        return self.rate


@dataclass(frozen=True, slots=True)
class Mix:
    """The composition of the operations.

    Attributes:
        categories: Names of categories, with their shares.
        customers: Customer numbers, with their plans.
        timeouts_s: Names of categories, with their time-outs.
        max_units: Maximum units per operation; each operation's units are drawn uniformly from 1 to this.
        short_timeout_share: Share of the operations whose time-out is halved.
    """

    categories: tuple[tuple[str, float], ...]
    customers: tuple[tuple[int, str], ...]
    timeouts_s: tuple[tuple[str, float], ...]
    max_units: int = 2
    short_timeout_share: float = 0.0


# Share of operations by repeat safety of the category.
SHARES = {"repeatable": 0.7, "by_key": 0.2, "once": 0.1}
CUSTOMERS = 3  # number of customers in the default mix; the last has the last plan, the others the first


def default_mix(settings: dict) -> Mix:
    """Return the default mix for limiters with these settings (a configuration's `settings`)."""
    categories, plans = settings["RequestClasses"], [each["Name"] for each in settings["TiersOfService"]]
    return Mix(
        tuple((each["Name"], SHARES[each.get("Idempotency", "once")]) for each in categories),
        tuple((i, plans[-1] if i % CUSTOMERS == 0 else plans[0]) for i in range(1, CUSTOMERS + 1)),
        tuple((each["Name"], each["Deadline"] / 1000) for each in categories),
    )


@dataclass(frozen=True, slots=True)
class PlannedOperation:
    """An operation of the schedule."""

    due_us: int  # from the run's start
    customer: int
    plan: str
    category: str
    units: int
    timeout_us: int  # time from the due time for which the customer waits for the answer


def arrivals(shape: Shape, random: Random) -> list[int]:
    """Return the due times in us from the run's start, in ascending order.

    Raises:
        ScheduleError: The shape is invalid.
    """
    shape.check()
    end_us, times_us = round(shape.seconds * SECOND), []
    if shape.kind == "constant":
        if shape.rate > 0:
            gap_us = SECOND / shape.rate
            times_us = [
                round(i * gap_us) for i in range(math.ceil(end_us / gap_us)) if round(i * gap_us) < end_us
            ]
        return times_us
    # Thinning (Lewis and Shedler, 1979): arrivals are drawn at the maximum rate, and each is kept with the
    # probability rate / maximum rate.
    max_rate = max(shape.rate, shape.peak if shape.kind != "poisson" else 0.0)
    if max_rate <= 0:
        return times_us
    t_s = 0.0
    while True:
        t_s += random.expovariate(max_rate)
        if t_s * SECOND >= end_us:
            return times_us
        if shape.kind == "poisson" or random.random() * max_rate < shape.rate_at(t_s):
            times_us.append(round(t_s * SECOND))


def plan(shape: Shape, mix: Mix, seed: int) -> list[PlannedOperation]:
    """Return the schedule of a run.

    Raises:
        ScheduleError: The shape is invalid.
    """
    random = Random(seed)
    categories = [name for name, _ in mix.categories]
    shares = [share for _, share in mix.categories]
    timeouts_s = dict(mix.timeouts_s)
    planned = []
    for due_us in arrivals(shape, random):
        category = random.choices(categories, shares)[0]
        customer, plan_name = mix.customers[random.randrange(len(mix.customers))]
        timeout_s = timeouts_s.get(category, 1.0) * (
            0.5 if random.random() < mix.short_timeout_share else 1.0
        )
        planned.append(
            PlannedOperation(
                due_us,
                customer,
                plan_name,
                category,
                random.randint(1, mix.max_units),
                round(timeout_s * SECOND),
            )
        )
    return planned


def from_trace(rows: list[dict], mix: Mix) -> list[PlannedOperation]:
    """Return the schedule of a recorded trace.

    Its rows have `t_s` (seconds from the run's start), `customer` and `category`, and optionally `plan`,
    `units` (default 1) and `timeout_s`. The default plan and time-out are those of the mix; they are "basic"
    and 1 s for a customer or category that the mix does not have.

    Raises:
        ScheduleError: A row is invalid; the message names the first one.
    """
    plans, timeouts_s, planned = dict(mix.customers), dict(mix.timeouts_s), []
    for number, row in enumerate(rows, 1):
        try:
            customer, category = int(row["customer"]), str(row["category"])
            timeout_s = float(row.get("timeout_s") or timeouts_s.get(category, 1.0))
            plan_name = str(row.get("plan") or plans.get(customer, "basic"))
            planned.append(
                PlannedOperation(
                    round(float(row["t_s"]) * SECOND),
                    customer,
                    plan_name,
                    category,
                    int(row.get("units", 1)),
                    round(timeout_s * SECOND),
                )
            )
        except (KeyError, TypeError, ValueError) as error:
            raise ScheduleError(f"trace row {number}: {error!r}") from None
        if (
            planned[-1].due_us < 0
            or planned[-1].units < 1
            or planned[-1].timeout_us <= 0
            or not 0 <= customer < 2**33
        ):
            raise ScheduleError(f"trace row {number}: t_s, customer, units or timeout_s is out of range")
    planned.sort(key=lambda operation: operation.due_us)
    return planned
