"""When operations are to be sent, and what each one is: made ahead of the run, never from answers.

Pure: no clock, no sockets. Times are whole microseconds from the run's start. One seeded `random.Random`
draws everything, so the same seed and shape give the same schedule.

Shapes (rates in operations a second):
- `constant`: evenly spaced at `rate`;
- `poisson`: exponential gaps at mean `rate`;
- `step`: `rate` until `at_s`, then `peak`;
- `burst`: `rate`, with `peak` from `at_s` for `length_s`;
- `ramp`: from `rate` to `peak` in a straight line over the run.
"""

import math
from dataclasses import dataclass
from random import Random

SECOND = 1_000_000  # microseconds
SHAPES = ("constant", "poisson", "step", "burst", "ramp")
MOST_OPERATIONS = 5_000_000  # a schedule longer than this is refused: it would not fit in memory for long


class ScheduleError(ValueError):
    """The shape asked for can't be made; says why."""


@dataclass(frozen=True, slots=True)
class Shape:
    """A traffic shape: `kind` among SHAPES, rates in operations a second, times in seconds."""

    kind: str = "poisson"
    rate: float = 50.0
    seconds: float = 10.0
    peak: float = 0.0
    at_s: float = 0.0
    length_s: float = 0.0

    def check(self) -> None:
        if self.kind not in SHAPES:
            raise ScheduleError(f"shape {self.kind!r} is not one of {', '.join(SHAPES)}")
        if min(self.rate, self.peak, self.at_s, self.length_s) < 0 or not self.seconds > 0:
            raise ScheduleError("rates, times and lengths are positive numbers")
        if math.isinf(self.rate) or math.isinf(self.peak) or math.isinf(self.seconds):
            raise ScheduleError("rates and times are finite")
        if max(self.rate, self.peak) * self.seconds > MOST_OPERATIONS:
            raise ScheduleError(f"more than {MOST_OPERATIONS} operations")

    def rate_at(self, t_s: float) -> float:
        """Operations a second wanted at `t_s` seconds into the run."""
        if self.kind == "step":
            return self.peak if t_s >= self.at_s else self.rate
        if self.kind == "burst":
            return self.peak if self.at_s <= t_s < self.at_s + self.length_s else self.rate
        if self.kind == "ramp":
            return self.rate + (self.peak - self.rate) * min(1.0, t_s / self.seconds)
        return self.rate


@dataclass(frozen=True, slots=True)
class Mix:
    """What operations are made of: category names with shares, customers with their plans, units per
    operation (drawn evenly from 1 to `most_units`), and the share that waits only half as long."""

    categories: tuple[tuple[str, float], ...]
    customers: tuple[tuple[int, str], ...]
    timeouts_s: tuple[tuple[str, float], ...]
    most_units: int = 2
    hasty: float = 0.0


SHARES = {"repeatable": 0.7, "by_key": 0.2, "once": 0.1}  # of operations, by how their category may repeat
CUSTOMERS = 3  # every third has the last plan, the others the first


def default_mix(settings: dict) -> Mix:
    """The mix for limiters with these settings (a configuration's `settings`)."""
    kinds, plans = settings["RequestClasses"], [each["Name"] for each in settings["TiersOfService"]]
    return Mix(
        tuple((each["Name"], SHARES[each.get("Idempotency", "once")]) for each in kinds),
        tuple((i, plans[-1] if i % CUSTOMERS == 0 else plans[0]) for i in range(1, CUSTOMERS + 1)),
        tuple((each["Name"], each["Deadline"] / 1000) for each in kinds),
    )


@dataclass(frozen=True, slots=True)
class PlannedOperation:
    """One operation of the schedule: when it is due, who sends it, what it is, how long its sender waits."""

    due_us: int
    customer: int
    plan: str
    category: str
    units: int
    timeout_us: int


def arrivals(shape: Shape, chance: Random) -> list[int]:
    """Due times in microseconds, rising. ScheduleError where the shape can't be made."""
    shape.check()
    end_us, times = round(shape.seconds * SECOND), []
    if shape.kind == "constant":
        if shape.rate > 0:
            gap = SECOND / shape.rate
            times = [round(i * gap) for i in range(math.ceil(end_us / gap)) if round(i * gap) < end_us]
        return times
    # Thinning (Lewis and Shedler, 1979): draw at the highest rate, keep each in proportion to the rate then.
    top = max(shape.rate, shape.peak if shape.kind != "poisson" else 0.0)
    if top <= 0:
        return times
    t = 0.0
    while True:
        t += chance.expovariate(top)
        if t * SECOND >= end_us:
            return times
        if shape.kind == "poisson" or chance.random() * top < shape.rate_at(t):
            times.append(round(t * SECOND))


def plan(shape: Shape, mix: Mix, seed: int) -> list[PlannedOperation]:
    """The whole schedule for one run."""
    chance = Random(seed)
    names = [name for name, _ in mix.categories]
    weights = [share for _, share in mix.categories]
    timeouts = dict(mix.timeouts_s)
    made = []
    for due in arrivals(shape, chance):
        category = chance.choices(names, weights)[0]
        customer, plan_name = mix.customers[chance.randrange(len(mix.customers))]
        timeout = timeouts.get(category, 1.0) * (0.5 if chance.random() < mix.hasty else 1.0)
        made.append(
            PlannedOperation(
                due, customer, plan_name, category, chance.randint(1, mix.most_units), round(timeout * SECOND)
            )
        )
    return made


def from_trace(rows: list[dict], mix: Mix) -> list[PlannedOperation]:
    """A recorded trace as a schedule: rows with `t_s`, `customer`, `category`, and optionally `plan`,
    `units`, `timeout_s`. ScheduleError names the first row that can't be read."""
    plans, timeouts, made = dict(mix.customers), dict(mix.timeouts_s), []
    for number, row in enumerate(rows, 1):
        try:
            customer, category = int(row["customer"]), str(row["category"])
            timeout_s = float(row.get("timeout_s") or timeouts.get(category, 1.0))
            plan_name = str(row.get("plan") or plans.get(customer, "basic"))
            made.append(
                PlannedOperation(
                    round(float(row["t_s"]) * SECOND),
                    customer,
                    plan_name,
                    category,
                    int(row.get("units", 1)),
                    round(timeout_s * SECOND),
                )
            )
        except (KeyError, TypeError, ValueError) as wrong:
            raise ScheduleError(f"trace row {number}: {wrong!r}") from None
        if made[-1].due_us < 0 or made[-1].units < 1 or made[-1].timeout_us <= 0 or not 0 <= customer < 2**33:
            raise ScheduleError(f"trace row {number}: a time, customer, units or timeout out of range")
    made.sort(key=lambda each: each.due_us)
    return made
