"""The one reader of what a limiter is told at its start, on the bench and in service.

Names are the operators'; values come as the text of a line or as a parsed JSON tree.
"""

import math
from typing import Any

from lapisgrade.interface import (
    Category,
    ConnectionSettings,
    CounterSettings,
    DeduplicationScope,
    Permissions,
    Placement,
    Plan,
    RepeatSafety,
    ServerRules,
)

REPEAT_SAFETY = {
    "repeatable": RepeatSafety.IDEMPOTENT,
    "by_key": RepeatSafety.DEDUPLICATED,
    "once": RepeatSafety.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}


class MalformedInputError(Exception):
    """What was handed in can't be read; says what is wrong with it."""


class Fields(dict):
    """Named values, read with the defaults that the wire states."""

    __slots__ = ()

    def text(self, name: str) -> str:
        value = self.get(name)
        if value is None or value == "":
            raise MalformedInputError(f"{name} is missing")
        if not isinstance(value, str):
            raise MalformedInputError(f"{name} is not text: {value!r}")
        return value

    def integer(self, name: str, default: int | None = None) -> int:
        value = self.get(name)
        if value is None:
            if default is not None:
                return default
            raise MalformedInputError(f"{name} is missing")
        try:
            return int(value)
        except (ValueError, TypeError, OverflowError):
            raise MalformedInputError(f"{name} is not a whole number: {value!r}") from None

    def number(self, name: str, default: float = 0.0) -> float:
        value = self.get(name)
        if value is None:
            return default
        try:
            number = float(value)
        except (ValueError, TypeError, OverflowError):
            raise MalformedInputError(f"{name} is not a number: {value!r}") from None
        if number - number != 0.0:
            raise MalformedInputError(f"{name} is not a finite number: {value!r}")
        return number

    def duration_us(self, name: str, default_ms: float = 0.0) -> int:
        return round(self.number(name, default_ms) * 1000)

    def boolean(self, name: str, default: bool = False) -> bool:
        value = self.get(name)
        if value is None:
            return default
        if value in ("1", "true", True):
            return True
        if value in ("0", "false", False):
            return False
        raise MalformedInputError(f"{name} is neither true nor false: {value!r}")

    def choice(self, name: str, table: dict, default: str | None = None):
        value = self.get(name, default)
        if value is None:
            raise MalformedInputError(f"{name} is missing")
        if not isinstance(value, str) or value not in table:
            raise MalformedInputError(f"{name} is unknown: {value!r}")
        return table[value]


def parse_address(text: Any, name: str) -> tuple[str, int]:
    """Host and port."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or not 0 < int(port) < 65_536:
        raise MalformedInputError(f"{name} is not a host and a port: {str(text)[:80]!r}")
    return host, int(port)


def flatten(tree: dict[str, Any], at: str = "") -> Fields:
    """A JSON tree in the form of one line: a path for each value, `.count` for a list of objects."""
    fields = Fields()
    for name, value in tree.items():
        path = at + name
        if isinstance(value, list) and all(isinstance(each, dict) for each in value):
            fields[path + ".count"] = len(value)
            value = {str(i): each for i, each in enumerate(value)}
        if isinstance(value, dict):
            fields.update(flatten(value, path + "."))
        elif value is not None:
            fields[path] = value
    return fields


def read_categories(info: Fields) -> list[Category]:
    made = []
    for i in range(info.integer("RequestClasses.count", 0)):
        at = f"RequestClasses.{i}."
        hard_stop = info.duration_us(at + "Deadline", 1000.0)
        made.append(
            Category(
                name=info.text(at + "Name"),
                repeat_safety=info.choice(at + "Idempotency", REPEAT_SAFETY, "once"),
                latency_target_us=info.duration_us(at + "Aim", hard_stop / 1000),
                timeout_us=hard_stop,
                value=info.number(at + "Worth", 1.0),
                late_value=info.number(at + "LateWorth"),
                deduplication_scope=info.choice(at + "Group", DEDUPLICATION_SCOPES, "cell"),
                deduplication_window_us=info.duration_us(at + "KeyTtl"),
                is_streaming=info.boolean(at + "Streaming"),
            )
        )
    return made


def read_plans(info: Fields) -> list[Plan]:
    made = []
    for i in range(info.integer("TiersOfService.count", 0)):
        at = f"TiersOfService.{i}."
        made.append(
            Plan(
                name=info.text(at + "Name"),
                rate=info.number(at + "UnitsPerS"),
                burst=info.number(at + "Burst"),
                value_factor=info.number(at + "WorthFactor", 1.0),
                overage_value=info.number(at + "BeyondEarns"),
                overage_cost=info.number(at + "ExcessCost"),
                max_in_flight=info.integer(at + "MaxOut", 0),
                rate_limit_per_s=info.number(at + "NeverOverRate"),
                rate_limit_burst=info.number(at + "CeilingBurst"),
                rate_limit_slack=info.number(at + "CapSlack"),
            )
        )
    return made


def read_server_rules(info: Fields) -> ServerRules:
    return ServerRules(
        drain_grace_us=info.duration_us("Rules.DrainGrace"),
        slow_start_us=info.duration_us("Rules.Cold"),
        slow_start_initial_weight=info.number("Rules.ColdFrom", 1.0),
        overload_window_us=info.duration_us("Rules.Fall"),
        max_overload_factor=info.number("Rules.FallMultiple", 1.0),
    )


def read_permissions(info: Fields) -> Permissions:
    advice = info.duration_us("Ceilings.MaxRetryAfter") if info.boolean("Ceilings.RetryAfter") else 0
    return Permissions(
        max_attempts=info.integer("Ceilings.AttemptsCap", 1),
        may_cancel=info.boolean("Ceilings.Cancel"),
        may_hedge=info.boolean("Ceilings.ParallelTries"),
        may_probe=info.boolean("Ceilings.Probes"),
        max_retry_after_us=advice,
    )


def read_placement(info: Fields) -> Placement:
    return Placement(
        info.integer("SelfIndex", 0), max(1, info.integer("NInstances", 1)), info.get("Zone", "")
    )


def read_max_units(info: Fields) -> float:
    """The most that one operation may take from a quota."""
    return info.number("Specifics.UnitsTop") or math.inf


def read_counter_settings(info: Fields) -> CounterSettings:
    return CounterSettings(info.boolean("Specifics.SharedCounter"), info.duration_us("Specifics.CountLimit"))


def read_connection_settings(info: Fields) -> ConnectionSettings:
    return ConnectionSettings(
        info.duration_us("Ceilings.DialTimeout", 1000.0), info.duration_us("Ceilings.Keepalive", 10_000.0)
    )
