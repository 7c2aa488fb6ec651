"""Scenarios in TOML: the fleet, its traffic, and the faults with their times.

docs/lab.md documents the format. Every key has a default, so a scenario sets only what differs. An invalid
scenario raises a `ScenarioError` with the file, the line and the reason of the first error.
"""

import re
import tomllib
from dataclasses import dataclass, field
from random import Random
from typing import Any

from lapisgrade.interface import Category, DeduplicationScope, Permissions, Plan, RepeatSafety, ServerRules
from lapisgrade.lab.emulator.model import CounterParameters, ServerParameters

SECOND = 1_000_000  # us
MS = 1_000  # us
# Values of `repeat` and of `group` in a [[category]] table.
REPEAT_SAFETY = {
    "idempotent": RepeatSafety.IDEMPOTENT,
    "deduplicated": RepeatSafety.DEDUPLICATED,
    "unrepeatable": RepeatSafety.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
POLICIES = ("module", "local", "central")
FAULT_KINDS = (
    "server_kill",
    "server_drain",
    "server_restart",
    "server_slow",
    "server_failing",
    "server_fast_errors",
    "server_silent",
    "server_well",
    "limiter_kill",
    "limiter_restart",
    "counter_lost",
    "counter_back",
    "counter_slow",
    "counter_well",
    "counter_restart",
    "counter_cut",
    "counter_split",
    "surge",
    "discovery_stale",
)
# Faults of real processes, links and disks, which only `lapisgrade lab fleet run` supports.
PROCESS_FAULT_KINDS = (
    "limiter_term",
    "limiter_pause",
    "counter_swap",
    "counter_stale",
    "counter_spoilt",
    "link_cut",
    "link_cut_there",
    "link_cut_back",
    "link_reset",
    "link_slow",
    "partition",
    "disk_lost",
    "disk_truncated",
    "disk_flipped",
    "disk_full",
)
LINKS = ("counter", "discovery", "server", "peer")
TARGET = re.compile(r"all|\d+(-\d+)?|share:(0(\.\d+)?|1(\.0+)?)|group:[\w-]+")
# Shape of the Pareto distribution of the customers' weights; a few customers send several times the mean.
DEFAULT_SKEW = 1.2


class ScenarioError(ValueError):
    """A scenario is invalid or can't be run; the message is one line."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault at a given time.

    Attributes:
        at_us: Time from the start of the run.
        kind: One of FAULT_KINDS or PROCESS_FAULT_KINDS.
        target: Servers or limiters: `all`, `N` (counted from 0), `N-M` (inclusive), `share:F` (a random
            share) or `group:NAME`.
        duration_us: Time until the fault is reverted; 0: never.
        factor: Factor on service times or on the request rate, or share of failing operations.
        link: Affected links of the target's limiters, one of LINKS; empty: all of them.
        delay_us: Added delay of a slow link.
        jitter_us: Largest random extra delay of a slow link.
        rate: Bandwidth of a slow link in bytes per second; 0: unlimited.
        wave_interval_us: Time between one item of the target and the next; 0: all at once.
        line: Line in the scenario file, for messages.
    """

    at_us: int
    kind: str
    target: str = "all"
    duration_us: int = 0
    factor: float = 1.0
    link: str = ""
    delay_us: int = 0
    jitter_us: int = 0
    rate: float = 0.0
    wave_interval_us: int = 0
    line: int = 0


@dataclass(frozen=True, slots=True)
class PartitionGroup:
    """Limiters and servers that a partition separates from all others.

    Attributes:
        name: Name, as in the target `group:NAME`.
        limiters: Indexes of its limiters, `N` or `N-M` (inclusive); empty: none.
        servers: Indexes of its servers, `N` or `N-M` (inclusive); empty: none.
        counter: Whether the counter belongs to the group. No partition cuts off discovery, as its agents run
            on the limiters' machines.
    """

    name: str
    limiters: str
    servers: str
    counter: bool


@dataclass(slots=True)
class Customer:
    """A customer, whose operations go to a set of consecutive limiters.

    Attributes:
        name: 16 hexadecimal digits.
        plan: The customer's plan.
        first: Index of the first limiter of the set; `Scenario.spread` is the size of the set.
        weight: Request rate relative to other customers.
    """

    name: str
    plan: Plan
    first: int
    weight: float


@dataclass(slots=True)
class Customers:
    """All customers, to be drawn by weight.

    Attributes:
        all: The customers.
        by_name: The same customers, by name.
        cumulative: Cumulative weights, in the order of `all`.
    """

    all: list[Customer]
    by_name: dict[str, Customer]
    cumulative: list[float]

    def pick(self, random: Random) -> Customer:
        """Draw the customer of an operation."""
        return random.choices(self.all, cum_weights=self.cumulative)[0]


@dataclass(slots=True)
class Scenario:
    """A fleet, its traffic and its faults.

    Attributes:
        name: Name in results; by default the file's name without `.toml`.
        seed: Seed of all random numbers.
        seconds_us: Time in which clients send operations.
        limiters: Number of limiters.
        servers: Number of servers.
        zones: Number of zones, over which limiters and servers are distributed in turn.
        customers: Number of customers.
        rate: Operations per second from all clients together.
        policy: One of POLICIES.
        spread: Number of limiters in a customer's set.
        max_units: Largest cost of an operation in units; costs are uniform from 1.
        skew: Shape of the Pareto distribution of the customers' weights; 0: equal weights.
        retry_share: Share of retryable rejections after which the client retries, once.
        leave_share: Share of operations whose clients disconnect at a random time before the deadline.
        discovery_lag_us: Delay of server list updates.
        uses_shared_counter: Whether the limiters may call the shared counter.
        counter_timeout_us: Time-out of a call to the counter.
        server: Capacity, service time and slow start of every server.
        counter: Latency and throughput of the shared counter.
        categories: Categories of operations.
        category_shares: Relative frequency of each category, in the same order.
        plans: Plans of customers.
        plan_shares: Relative frequency of each plan, in the same order.
        server_rules: Rules for draining and cold servers.
        permissions: What the limiters may do: attempts, cancellation, hedging, Retry-After.
        faults: Faults, in the order of the file.
        partition_groups: Groups that partitions separate, by name; only in fleet runs.
        peers: Whether the limiters exchange membership messages; only in fleet runs.
        clock_offset_ms: The limiters' clocks are spread evenly within this offset in both directions; only in
            fleet runs.
        over_bound: Largest excess over a quota, in units, that is allowed for any customer in any window;
            None: unchecked. Only in fleet runs.
    """

    name: str = "scenario"
    seed: int = 1
    seconds_us: int = 30 * SECOND
    limiters: int = 10
    servers: int = 20
    zones: int = 2
    customers: int = 200
    rate: float = 500.0
    policy: str = "module"
    spread: int = 2
    max_units: int = 2
    skew: float = DEFAULT_SKEW
    retry_share: float = 0.5
    leave_share: float = 0.01
    discovery_lag_us: int = 200 * MS
    uses_shared_counter: bool = True
    counter_timeout_us: int = 50 * MS
    server: ServerParameters = field(default_factory=ServerParameters)
    counter: CounterParameters = field(default_factory=CounterParameters)
    categories: list[Category] = field(default_factory=list)
    category_shares: list[float] = field(default_factory=list)
    plans: list[Plan] = field(default_factory=list)
    plan_shares: list[float] = field(default_factory=list)
    server_rules: ServerRules = field(
        default_factory=lambda: ServerRules(250 * MS, 5 * SECOND, 0.3, SECOND, 3.0)
    )
    permissions: Permissions = field(default_factory=lambda: Permissions(3, True, True, False, 2 * SECOND))
    faults: list[Fault] = field(default_factory=list)
    partition_groups: dict[str, PartitionGroup] = field(default_factory=dict)
    peers: bool = False
    clock_offset_ms: float = 0.0
    over_bound: float | None = None

    def zone_of(self, index: int) -> str:
        """Return the zone of the limiter or server with that index."""
        return f"z{index % max(1, self.zones)}"

    def customer_table(self, seed: int) -> Customers:
        """Draw the plans and weights of all customers; their sets start at one limiter after another."""
        random = Random(seed)
        customers, total, cumulative = [], 0.0, []
        for number in range(self.customers):
            plan = random.choices(self.plans, self.plan_shares)[0]
            weight = random.paretovariate(self.skew) if self.skew else 1.0
            customers.append(Customer(f"{number + 1:016x}", plan, number % self.limiters, weight))
            total += weight
            cumulative.append(total)
        return Customers(customers, {customer.name: customer for customer in customers}, cumulative)


# The [[category]] and [[plan]] tables of a scenario without any.
DEFAULT_CATEGORIES = [
    {
        "name": "read",
        "repeat": "idempotent",
        "quoted_ms": 300,
        "hard_stop_ms": 1000,
        "payoff": 1.0,
        "share": 0.7,
    },
    {
        "name": "ticket",
        "repeat": "deduplicated",
        "quoted_ms": 600,
        "hard_stop_ms": 2000,
        "payoff": 3.0,
        "late_payoff": 0.5,
        "remembered_ms": 5000,
        "share": 0.2,
    },
    {
        "name": "flash",
        "repeat": "unrepeatable",
        "quoted_ms": 1500,
        "hard_stop_ms": 4000,
        "payoff": 5.0,
        "late_payoff": 1.0,
        "share": 0.1,
    },
]
DEFAULT_PLANS = [
    {"name": "basic", "rate": 2.0, "burst": 6.0, "share": 0.8},
    {
        "name": "pro",
        "rate": 8.0,
        "burst": 20.0,
        "ceiling_rate": 12.0,
        "ceiling_burst": 30.0,
        "ceiling_slack": 4.0,
        "share": 0.2,
    },
]


class Reader:
    """Takes values from one table and validates them; errors name the file, the line and the key.

    Each method for a type returns the value of `key`, or the default, and raises `ScenarioError` for another
    type or a value that isn't allowed.

    Attributes:
        path: File name, for messages.
        text: Text of the file, to find lines.
        table: Values that were not taken yet.
        prefix: Name of the table with a dot, such as `run.` or `fault[0].`; empty for the top level.
    """

    def __init__(self, path: str, text: str, table: dict[str, Any], prefix: str) -> None:
        """Create a reader that takes its values from a copy of `table`."""
        self.path, self.text, self.table, self.prefix = path, text, dict(table), prefix

    def invalid(self, key: str, reason: str) -> ScenarioError:
        """Return the error for an invalid value of `key`."""
        return ScenarioError(
            f"{self.path}:{line_of(self.text, self.prefix, key)}: {self.prefix}{key}: {reason}"
        )

    def number(self, key: str, default: float, minimum: float = 0.0, maximum: float = float("inf")) -> float:
        """Take a number from `minimum` to `maximum`, both allowed."""
        value = self.table.pop(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.invalid(key, f"not a number: {value!r}")
        if not minimum <= value <= maximum:
            raise self.invalid(key, f"{value} is outside {minimum:g} to {maximum:g}")
        return float(value)

    def integer(self, key: str, default: int, minimum: int = 0, maximum: int = 10**9) -> int:
        """Take an integer from `minimum` to `maximum`, both allowed."""
        value = self.table.get(key, default)
        if isinstance(value, float | bool):
            raise self.invalid(key, f"not an integer: {value!r}")
        return int(self.number(key, default, minimum, maximum))

    def string(self, key: str, default: str, choices: tuple[str, ...] | dict | None = None) -> str:
        """Take a string, one of `choices` if there are any."""
        value = self.table.pop(key, default)
        if not isinstance(value, str):
            raise self.invalid(key, f"not a string: {value!r}")
        if choices is not None and value not in choices:
            raise self.invalid(key, f"{value!r} is not one of {', '.join(choices)}")
        return value

    def boolean(self, key: str, default: bool) -> bool:
        """Take true or false."""
        value = self.table.pop(key, default)
        if not isinstance(value, bool):
            raise self.invalid(key, f"not true or false: {value!r}")
        return value

    def reject_unknown_keys(self) -> None:
        """Raise `ScenarioError` for the first value that was not taken."""
        if self.table:
            key = next(iter(self.table))
            raise self.invalid(key, "unknown key")


def line_of(text: str, prefix: str, key: str) -> int:
    """Return the number of the line that sets `key` in the table `prefix`, or of the table's line, or 1.

    tomllib reports no lines, so the text is searched from the table on; the first line with that key counts.
    """
    lines = text.splitlines()
    start = 0
    table = prefix.rstrip(".").split("[")[0]
    if table:
        for number, line in enumerate(lines):
            if re.match(rf"\s*\[\[?\s*{re.escape(table)}\s*\]\]?", line):
                start = number
                if "[" in prefix:
                    index = int(prefix.split("[")[1].split("]")[0])
                    table_lines = [
                        table_line
                        for table_line, content in enumerate(lines)
                        if re.match(rf"\s*\[\[\s*{re.escape(table)}", content)
                    ]
                    start = table_lines[index] if index < len(table_lines) else number
                break
    for number in range(start, len(lines)):
        if re.match(rf"\s*{re.escape(key)}\s*=", lines[number]):
            return number + 1
    return start + 1


def read(path: str) -> Scenario:
    """Read a scenario file.

    Raises:
        ScenarioError: The file can't be read or is invalid.
    """
    return parse(read_text(path), path)


def read_for_emulator(path: str) -> Scenario:
    """Read a scenario file for the emulator.

    Raises:
        ScenarioError: The file can't be read, is invalid, or needs real processes.
    """
    scenario = read(path)
    if scenario.peers:
        raise ScenarioError(f"{path}: the emulator doesn't support run.peers; use `lapisgrade lab fleet run`")
    for fault in scenario.faults:
        location = f"{path}:{fault.line}: the emulator can't play"
        if fault.kind in PROCESS_FAULT_KINDS:
            raise ScenarioError(f"{location} fault kind {fault.kind!r}; use `lapisgrade lab fleet run`")
        if fault.wave_interval_us or fault.target.startswith("group:"):
            raise ScenarioError(
                f"{location} faults with wave_ms or a group target; use `lapisgrade lab fleet run`"
            )
    return scenario


def read_text(path: str) -> str:
    """Return the text of a scenario file; bytes that aren't UTF-8 are replaced.

    Raises:
        ScenarioError: The file can't be read.
    """
    try:
        with open(path, "rb") as file:
            return file.read().decode("utf-8", "replace")
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror or error}") from None


def override(scenario: Scenario, changes: dict[str, Any]) -> Scenario:
    """Set the fields in `changes`, except those with the value None, in place; return the scenario."""
    for name, value in changes.items():
        if value is not None:
            setattr(scenario, name, value)
    return scenario


def parse(text: str, path: str = "scenario") -> Scenario:
    """Parse the text of a scenario file; `path` is for messages and the default name.

    Raises:
        ScenarioError: The text is invalid.
    """
    try:
        tree = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{path}: {error}") from None
    top = Reader(path, text, tree, "")
    scenario = Scenario()
    run = Reader(path, text, top.table.pop("run", {}), "run.")
    scenario.name = run.string("name", path.rsplit("/", 1)[-1].removesuffix(".toml"))
    scenario.seed = run.integer("seed", 1, 0, 2**63)
    scenario.seconds_us = round(run.number("seconds", 30, 0.001, 3600) * SECOND)
    scenario.limiters = run.integer("limiters", 10, 1, 10_000)
    scenario.servers = run.integer("servers", 20, 1, 10_000)
    scenario.zones = run.integer("zones", 2, 1, 64)
    scenario.customers = run.integer("customers", 200, 1, 1_000_000)
    scenario.rate = run.number("rate", 500, 0.001, 1_000_000)
    scenario.policy = run.string("policy", "module", POLICIES)
    scenario.spread = run.integer("spread", 2, 1, 10_000)
    scenario.max_units = run.integer("most_units", 2, 1, 1000)
    scenario.skew = run.number("skew", DEFAULT_SKEW, 0, 100)
    scenario.peers = run.boolean("peers", False)
    scenario.clock_offset_ms = run.number("clock_offset_ms", 0, 0, 3_600_000)
    bound = run.number("over_bound", -1, -1, 1e9)  # -1, the default, means None
    scenario.over_bound = bound if bound >= 0 else None
    run.reject_unknown_keys()
    clients = Reader(path, text, top.table.pop("clients", {}), "clients.")
    scenario.retry_share = clients.number("retry_share", 0.5, 0, 1)
    scenario.leave_share = clients.number("leave_share", 0.01, 0, 1)
    clients.reject_unknown_keys()
    servers = Reader(path, text, top.table.pop("servers", {}), "servers.")
    scenario.server = ServerParameters(
        capacity=servers.integer("capacity", 16, 1, 100_000),
        queue=servers.integer("queue", 32, 0, 1_000_000),
        median_us=round(servers.number("median_ms", 20, 0.001, 60_000) * MS),
        sigma=servers.number("sigma", 0.5, 0, 3),
        cold_from=servers.number("cold_from", 0.3, 0.01, 1),
        warm_us=round(servers.number("warm_s", 5, 0, 3600) * SECOND),
    )
    servers.reject_unknown_keys()
    counter = Reader(path, text, top.table.pop("counter", {}), "counter.")
    scenario.counter = CounterParameters(
        round(counter.number("median_ms", 1, 0.001, 60_000) * MS),
        counter.number("sigma", 0.3, 0, 3),
        counter.number("calls_per_s", 20_000, 1, 1e8),
    )
    scenario.uses_shared_counter = counter.boolean("shared", True)
    scenario.counter_timeout_us = round(counter.number("time_out_ms", 50, 1, 60_000) * MS)
    counter.reject_unknown_keys()
    discovery = Reader(path, text, top.table.pop("discovery", {}), "discovery.")
    scenario.discovery_lag_us = round(discovery.number("lag_ms", 200, 0, 600_000) * MS)
    discovery.reject_unknown_keys()
    rules = Reader(path, text, top.table.pop("rules", {}), "rules.")
    scenario.server_rules = ServerRules(
        round(rules.number("drain_grace_ms", 250, 0, 600_000) * MS),
        scenario.server.warm_us,
        scenario.server.cold_from,
        round(rules.number("fall_ms", 1000, 0, 600_000) * MS),
        rules.number("fall_multiple", 3.0, 1, 100),
    )
    scenario.permissions = Permissions(
        rules.integer("hops", 3, 1, 10),
        rules.boolean("cancel", True),
        rules.boolean("second_copies", True),
        False,
        round(rules.number("longest_advice_ms", 2000, 0, 600_000) * MS),
    )
    rules.reject_unknown_keys()
    scenario.categories, scenario.category_shares = [], []
    for number, row in enumerate(top.table.pop("category", DEFAULT_CATEGORIES)):
        category = Reader(path, text, row, f"category[{number}].")
        timeout_ms = category.number("hard_stop_ms", 1000, 1, 600_000)
        scenario.categories.append(
            Category(
                category.string("name", f"c{number}"),
                REPEAT_SAFETY[category.string("repeat", "idempotent", REPEAT_SAFETY)],
                round(category.number("quoted_ms", timeout_ms / 2, 1, timeout_ms) * MS),
                round(timeout_ms * MS),
                category.number("payoff", 1.0, 0, 1e6),
                category.number("late_payoff", 0.0, 0, 1e6),
                DEDUPLICATION_SCOPES[category.string("group", "all", DEDUPLICATION_SCOPES)],
                round(category.number("remembered_ms", 0, 0, 600_000) * MS),
            )
        )
        scenario.category_shares.append(category.number("share", 1.0, 0, 1e6))
        category.reject_unknown_keys()
    scenario.plans, scenario.plan_shares = [], []
    for number, row in enumerate(top.table.pop("plan", DEFAULT_PLANS)):
        plan = Reader(path, text, row, f"plan[{number}].")
        scenario.plans.append(
            Plan(
                plan.string("name", f"p{number}"),
                plan.number("rate", 1.0, 0, 1e9),
                plan.number("burst", 1.0, 0, 1e9),
                overage_value=plan.number("beyond_earns", 0, 0, 1e6),
                overage_cost=plan.number("beyond_costs", 0, 0, 1e6),
                rate_limit_per_s=plan.number("ceiling_rate", 0, 0, 1e9),
                rate_limit_burst=plan.number("ceiling_burst", 0, 0, 1e9),
                rate_limit_slack=plan.number("ceiling_slack", 0, 0, 1e9),
            )
        )
        scenario.plan_shares.append(plan.number("share", 1.0, 0, 1e6))
        plan.reject_unknown_keys()
    if not scenario.categories or not scenario.plans:
        raise ScenarioError(f"{path}: a scenario needs at least one category and one plan")
    for number, row in enumerate(top.table.pop("party", [])):
        party = Reader(path, text, row, f"party[{number}].")
        name = party.string("name", f"p{number}")
        members = [party.string(key, "") for key in ("limiters", "servers")]
        for key, indexes in zip(("limiters", "servers"), members, strict=True):
            if indexes and not re.fullmatch(r"\d+(-\d+)?", indexes):
                raise party.invalid(key, f"{indexes!r} is not N or N-M")
        scenario.partition_groups[name] = PartitionGroup(name, *members, party.boolean("counter", False))
        party.reject_unknown_keys()
    for number, row in enumerate(top.table.pop("fault", [])):
        fault = Reader(path, text, row, f"fault[{number}].")
        kind = fault.string("kind", "", FAULT_KINDS + PROCESS_FAULT_KINDS)
        target = fault.string("target", "all")
        if not TARGET.fullmatch(target):
            raise fault.invalid("target", f"{target!r} is not one of all, N, N-M, share:F, group:NAME")
        if target.startswith("group:") and target[6:] not in scenario.partition_groups:
            raise fault.invalid("target", f"there is no [[party]] named {target[6:]!r}")
        if kind == "partition" and not target.startswith("group:"):
            raise fault.invalid("target", "the target of a partition must be group:NAME")
        scenario.faults.append(
            Fault(
                round(fault.number("at_s", 0, 0, 3600) * SECOND),
                kind,
                target,
                round(fault.number("for_s", 0, 0, 3600) * SECOND),
                fault.number("factor", 1.0, 0, 1e6),
                fault.string("link", "", ("", *LINKS)),
                round(fault.number("delay_ms", 0, 0, 600_000) * MS),
                round(fault.number("jitter_ms", 0, 0, 600_000) * MS),
                fault.number("rate", 0, 0, 1e12),
                round(fault.number("wave_ms", 0, 0, 600_000) * MS),
                line_of(text, f"fault[{number}].", "kind"),
            )
        )
        fault.reject_unknown_keys()
    top.reject_unknown_keys()
    return scenario
