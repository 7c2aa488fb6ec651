"""Scenarios in TOML (read by tomllib): the fleet, its traffic and the faults at given times.

The format is documented in docs/lab.md. Every key has a default: a scenario says only what it changes.
What can't be read is one `ScenarioError` naming the file, the line where it can be found, and what is wrong.
"""

import re
import tomllib
from dataclasses import dataclass, field
from random import Random
from typing import Any

from lapisgrade.interface import Category, DeduplicationScope, Permissions, Plan, RepeatSafety, ServerRules
from lapisgrade.lab.emulator.model import CounterParameters, ServerParameters

SECOND = 1_000_000
MS = 1_000
REPEATS = {
    "idempotent": RepeatSafety.IDEMPOTENT,
    "deduplicated": RepeatSafety.DEDUPLICATED,
    "unrepeatable": RepeatSafety.NON_IDEMPOTENT,
}
GROUPS = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}
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
# What only real processes have (`lapisgrade lab fleet run`).
PROCESS_KINDS = (
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
SKEW = 1.2  # Pareto shape of the customers' weights: a few send several times the mean; 0: all alike


class ScenarioError(ValueError):
    """A scenario that can't be played; its text is the one line to show."""


@dataclass(frozen=True, slots=True)
class Fault:
    at_us: int
    kind: str
    target: str = "all"
    duration_us: int = 0  # undone after this long; 0: not undone
    factor: float = 1.0
    link: str = ""  # of LINKS, from the target's limiters; "": all of them
    delay_us: int = 0  # of a slow link
    jitter_us: int = 0
    rate: float = 0.0  # bytes a second of a slow link; 0: no bound
    wave_interval_us: int = 0  # between one of the target and the next; 0: all at once
    line: int = 0  # where it stands in the file


@dataclass(frozen=True, slots=True)
class PartitionGroup:
    """Limiters and servers that a partition cuts off together from all the rest."""

    name: str
    limiters: str
    servers: str
    counter: bool  # whether the counter and discovery are on its side


@dataclass(slots=True)
class Customer:
    name: str
    plan: Plan
    first: int  # the first limiter of its set
    weight: float


@dataclass(slots=True)
class Customers:
    """Who sends: drawn by weight, a heavy few and many light."""

    all: list[Customer]
    by_name: dict[str, Customer]
    cumulative: list[float]

    def pick(self, random: Random) -> Customer:
        return random.choices(self.all, cum_weights=self.cumulative)[0]


@dataclass(slots=True)
class Scenario:
    name: str = "scenario"
    seed: int = 1
    seconds_us: int = 30 * SECOND
    limiters: int = 10
    servers: int = 20
    zones: int = 2
    customers: int = 200
    rate: float = 500.0  # operations a second from all clients together
    policy: str = "module"
    spread: int = 2  # limiters in a customer's set
    max_units: int = 2
    skew: float = SKEW
    retry_share: float = 0.5  # of turned-back operations that their clients send again, once
    leave_share: float = 0.01  # of operations whose clients leave before their hard stop
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
    peers: bool = False  # the limiters know of one another (processes only)
    clock_offset_ms: float = 0.0  # the limiters' clocks lie evenly within so much to either side
    over_bound: float | None = None  # units over, of any customer in any window, that the scenario allows

    def zone_of(self, index: int) -> str:
        return f"z{index % max(1, self.zones)}"

    def customer_table(self, seed: int) -> Customers:
        chance = Random(seed)
        made, total, cumulative = [], 0.0, []
        for i in range(self.customers):
            plan = chance.choices(self.plans, self.plan_shares)[0]
            weight = chance.paretovariate(self.skew) if self.skew else 1.0
            made.append(Customer(f"{i + 1:016x}", plan, i % self.limiters, weight))
            total += weight
            cumulative.append(total)
        return Customers(made, {each.name: each for each in made}, cumulative)


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
    """Takes values out of one table, names what is wrong, and finds where in the text it stands."""

    def __init__(self, path: str, text: str, table: dict[str, Any], at: str) -> None:
        self.path, self.text, self.table, self.at = path, text, dict(table), at

    def wrong(self, key: str, what: str) -> ScenarioError:
        return ScenarioError(f"{self.path}:{line_of(self.text, self.at, key)}: {self.at}{key}: {what}")

    def number(self, key: str, default: float, low: float = 0.0, high: float = float("inf")) -> float:
        value = self.table.pop(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.wrong(key, f"not a number: {value!r}")
        if not low <= value <= high:
            raise self.wrong(key, f"{value} is outside {low:g} to {high:g}")
        return float(value)

    def whole(self, key: str, default: int, low: int = 0, high: int = 10**9) -> int:
        value = self.table.get(key, default)
        if isinstance(value, float | bool):
            raise self.wrong(key, f"not a whole number: {value!r}")
        return int(self.number(key, default, low, high))

    def text_of(self, key: str, default: str, among: tuple[str, ...] | dict | None = None) -> str:
        value = self.table.pop(key, default)
        if not isinstance(value, str):
            raise self.wrong(key, f"not text: {value!r}")
        if among is not None and value not in among:
            raise self.wrong(key, f"{value!r} is not one of {', '.join(among)}")
        return value

    def flag(self, key: str, default: bool) -> bool:
        value = self.table.pop(key, default)
        if not isinstance(value, bool):
            raise self.wrong(key, f"neither true nor false: {value!r}")
        return value

    def done(self) -> None:
        if self.table:
            key = next(iter(self.table))
            raise self.wrong(key, "no such key")


def line_of(text: str, at: str, key: str) -> int:
    """The line where `key` is set (after the table `at` is opened, where it can be found), or 1."""
    lines = text.splitlines()
    start = 0
    table = at.rstrip(".").split("[")[0]
    if table:
        for number, line in enumerate(lines):
            if re.match(rf"\s*\[\[?\s*{re.escape(table)}\s*\]\]?", line):
                start = number
                if "[" in at:
                    index = int(at.split("[")[1].split("]")[0])
                    seen = [
                        n for n, each in enumerate(lines) if re.match(rf"\s*\[\[\s*{re.escape(table)}", each)
                    ]
                    start = seen[index] if index < len(seen) else number
                break
    for number in range(start, len(lines)):
        if re.match(rf"\s*{re.escape(key)}\s*=", lines[number]):
            return number + 1
    return start + 1


def read(path: str) -> Scenario:
    """The scenario in the file at `path`; ScenarioError where it can't be read."""
    return parse(read_text(path), path)


def read_for_emulator(path: str) -> Scenario:
    """The scenario in the file at `path`; ScenarioError for a fault that the emulator can't play."""
    sc = read(path)
    if sc.peers:
        raise ScenarioError(f"{path}: the emulator can't play run.peers: it needs processes (lab fleet run)")
    for fault in sc.faults:
        at = f"{path}:{fault.line}: the emulator can't play"
        if fault.kind in PROCESS_KINDS:
            raise ScenarioError(f"{at} the fault {fault.kind!r}: it needs processes (lab fleet run)")
        if fault.wave_interval_us or fault.target.startswith("group:"):
            raise ScenarioError(f"{at} faults that come in waves or to a group: they need processes")
    return sc


def read_text(path: str) -> str:
    """The text of a scenario's file; ScenarioError where there is none."""
    try:
        with open(path, "rb") as file:
            return file.read().decode("utf-8", "replace")
    except OSError as wrong:
        raise ScenarioError(f"{path}: {wrong.strerror or wrong}") from None


def override(sc: Scenario, changes: dict[str, Any]) -> Scenario:
    """The scenario with other values of its fields, those that are not None; the same one."""
    for name, value in changes.items():
        if value is not None:
            setattr(sc, name, value)
    return sc


def parse(text: str, path: str = "scenario") -> Scenario:
    try:
        tree = tomllib.loads(text)
    except tomllib.TOMLDecodeError as wrong:
        raise ScenarioError(f"{path}: {wrong}") from None
    top = Reader(path, text, tree, "")
    sc = Scenario()
    run = Reader(path, text, top.table.pop("run", {}), "run.")
    sc.name = run.text_of("name", path.rsplit("/", 1)[-1].removesuffix(".toml"))
    sc.seed = run.whole("seed", 1, 0, 2**63)
    sc.seconds_us = round(run.number("seconds", 30, 0.001, 3600) * SECOND)
    sc.limiters = run.whole("limiters", 10, 1, 10_000)
    sc.servers = run.whole("servers", 20, 1, 10_000)
    sc.zones = run.whole("zones", 2, 1, 64)
    sc.customers = run.whole("customers", 200, 1, 1_000_000)
    sc.rate = run.number("rate", 500, 0.001, 1_000_000)
    sc.policy = run.text_of("policy", "module", POLICIES)
    sc.spread = run.whole("spread", 2, 1, 10_000)
    sc.max_units = run.whole("most_units", 2, 1, 1000)
    sc.skew = run.number("skew", SKEW, 0, 100)
    sc.peers = run.flag("peers", False)
    sc.clock_offset_ms = run.number("clock_offset_ms", 0, 0, 3_600_000)
    bound = run.number("over_bound", -1, -1, 1e9)
    sc.over_bound = bound if bound >= 0 else None
    run.done()
    clients = Reader(path, text, top.table.pop("clients", {}), "clients.")
    sc.retry_share = clients.number("retry_share", 0.5, 0, 1)
    sc.leave_share = clients.number("leave_share", 0.01, 0, 1)
    clients.done()
    servers = Reader(path, text, top.table.pop("servers", {}), "servers.")
    sc.server = ServerParameters(
        capacity=servers.whole("capacity", 16, 1, 100_000),
        queue=servers.whole("queue", 32, 0, 1_000_000),
        median_us=round(servers.number("median_ms", 20, 0.001, 60_000) * MS),
        sigma=servers.number("sigma", 0.5, 0, 3),
        cold_from=servers.number("cold_from", 0.3, 0.01, 1),
        warm_us=round(servers.number("warm_s", 5, 0, 3600) * SECOND),
    )
    servers.done()
    counter = Reader(path, text, top.table.pop("counter", {}), "counter.")
    sc.counter = CounterParameters(
        round(counter.number("median_ms", 1, 0.001, 60_000) * MS),
        counter.number("sigma", 0.3, 0, 3),
        counter.number("calls_per_s", 20_000, 1, 1e8),
    )
    sc.uses_shared_counter = counter.flag("shared", True)
    sc.counter_timeout_us = round(counter.number("time_out_ms", 50, 1, 60_000) * MS)
    counter.done()
    discovery = Reader(path, text, top.table.pop("discovery", {}), "discovery.")
    sc.discovery_lag_us = round(discovery.number("lag_ms", 200, 0, 600_000) * MS)
    discovery.done()
    rules = Reader(path, text, top.table.pop("rules", {}), "rules.")
    sc.server_rules = ServerRules(
        round(rules.number("drain_grace_ms", 250, 0, 600_000) * MS),
        sc.server.warm_us,
        sc.server.cold_from,
        round(rules.number("fall_ms", 1000, 0, 600_000) * MS),
        rules.number("fall_multiple", 3.0, 1, 100),
    )
    sc.permissions = Permissions(
        rules.whole("hops", 3, 1, 10),
        rules.flag("cancel", True),
        rules.flag("second_copies", True),
        False,
        round(rules.number("longest_advice_ms", 2000, 0, 600_000) * MS),
    )
    rules.done()
    sc.categories, sc.category_shares = [], []
    for i, row in enumerate(top.table.pop("category", DEFAULT_CATEGORIES)):
        kind = Reader(path, text, row, f"category[{i}].")
        hard_stop = kind.number("hard_stop_ms", 1000, 1, 600_000)
        sc.categories.append(
            Category(
                kind.text_of("name", f"c{i}"),
                REPEATS[kind.text_of("repeat", "idempotent", REPEATS)],
                round(kind.number("quoted_ms", hard_stop / 2, 1, hard_stop) * MS),
                round(hard_stop * MS),
                kind.number("payoff", 1.0, 0, 1e6),
                kind.number("late_payoff", 0.0, 0, 1e6),
                GROUPS[kind.text_of("group", "all", GROUPS)],
                round(kind.number("remembered_ms", 0, 0, 600_000) * MS),
            )
        )
        sc.category_shares.append(kind.number("share", 1.0, 0, 1e6))
        kind.done()
    sc.plans, sc.plan_shares = [], []
    for i, row in enumerate(top.table.pop("plan", DEFAULT_PLANS)):
        plan = Reader(path, text, row, f"plan[{i}].")
        sc.plans.append(
            Plan(
                plan.text_of("name", f"p{i}"),
                plan.number("rate", 1.0, 0, 1e9),
                plan.number("burst", 1.0, 0, 1e9),
                overage_value=plan.number("beyond_earns", 0, 0, 1e6),
                overage_cost=plan.number("beyond_costs", 0, 0, 1e6),
                rate_limit_per_s=plan.number("ceiling_rate", 0, 0, 1e9),
                rate_limit_burst=plan.number("ceiling_burst", 0, 0, 1e9),
                rate_limit_slack=plan.number("ceiling_slack", 0, 0, 1e9),
            )
        )
        sc.plan_shares.append(plan.number("share", 1.0, 0, 1e6))
        plan.done()
    if not sc.categories or not sc.plans:
        raise ScenarioError(f"{path}: a scenario needs at least one category and one plan")
    for i, row in enumerate(top.table.pop("party", [])):
        party = Reader(path, text, row, f"party[{i}].")
        name = party.text_of("name", f"p{i}")
        sides = [party.text_of(key, "") for key in ("limiters", "servers")]
        for key, side in zip(("limiters", "servers"), sides, strict=True):
            if side and not re.fullmatch(r"\d+(-\d+)?", side):
                raise party.wrong(key, f"{side!r} is neither N nor N-M")
        sc.partition_groups[name] = PartitionGroup(name, *sides, party.flag("counter", False))
        party.done()
    for i, row in enumerate(top.table.pop("fault", [])):
        fault = Reader(path, text, row, f"fault[{i}].")
        kind = fault.text_of("kind", "", FAULT_KINDS + PROCESS_KINDS)
        target = fault.text_of("target", "all")
        if not TARGET.fullmatch(target):
            raise fault.wrong("target", f"{target!r} is none of all, N, N-M, share:F, group:NAME")
        if target.startswith("group:") and target[6:] not in sc.partition_groups:
            raise fault.wrong("target", f"there is no [[party]] named {target[6:]!r}")
        if kind == "partition" and not target.startswith("group:"):
            raise fault.wrong("target", "a partition cuts off a group: group:NAME")
        sc.faults.append(
            Fault(
                round(fault.number("at_s", 0, 0, 3600) * SECOND),
                kind,
                target,
                round(fault.number("for_s", 0, 0, 3600) * SECOND),
                fault.number("factor", 1.0, 0, 1e6),
                fault.text_of("link", "", ("", *LINKS)),
                round(fault.number("delay_ms", 0, 0, 600_000) * MS),
                round(fault.number("jitter_ms", 0, 0, 600_000) * MS),
                fault.number("rate", 0, 0, 1e12),
                round(fault.number("wave_ms", 0, 0, 600_000) * MS),
                line_of(text, f"fault[{i}].", "kind"),
            )
        )
        fault.done()
    top.done()
    return sc
