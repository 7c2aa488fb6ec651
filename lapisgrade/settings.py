"""Reads a limiter's settings, from the bench or a service configuration, into `lapisgrade.interface` types.

The operators define the names and defaults of settings; only this module maps the names to those in the
code. Values are the text of a line (the bench) or come from a parsed JSON tree, which `flatten` converts to
the same form: one path per value, such as `RequestClasses.0.Deadline`. Times are in ms in the settings and in
us in the code.

Every reader raises `MalformedInputError` for a value that it can't parse.
"""

import math
from collections.abc import Mapping
from typing import Any, TypeVar

from lapisgrade.errors import LapisgradeError
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

Value = TypeVar("Value")

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


class MalformedInputError(LapisgradeError):
    """Input that can't be parsed; the message states the name of the value and the problem."""


class Fields(dict[str, Any]):
    """Settings or message fields by name; the methods check and convert them."""

    __slots__ = ()

    def text(self, name: str) -> str:
        """Read a required, non-empty string."""
        value = self.get(name)
        if value is None or value == "":
            raise MalformedInputError(f"{name} is missing")
        if not isinstance(value, str):
            raise MalformedInputError(f"{name} is not a string: {value!r}")
        return value

    def integer(self, name: str, default: int | None = None) -> int:
        """Read an integer; it is required if there is no default."""
        value = self.get(name)
        if value is None:
            if default is not None:
                return default
            raise MalformedInputError(f"{name} is missing")
        try:
            return int(value)
        except (ValueError, TypeError, OverflowError):
            raise MalformedInputError(f"{name} is not an integer: {value!r}") from None

    def number(self, name: str, default: float = 0.0) -> float:
        """Read a finite number; returns the default if it is missing."""
        value = self.get(name)
        if value is None:
            return default
        try:
            number = float(value)
        except (ValueError, TypeError, OverflowError):
            raise MalformedInputError(f"{name} is not a number: {value!r}") from None
        if not math.isfinite(number):
            raise MalformedInputError(f"{name} is not a finite number: {value!r}")
        return number

    def duration_us(self, name: str, default_ms: float = 0.0) -> int:
        """Read a time in ms and return it in us, rounded."""
        return round(self.number(name, default_ms) * 1000)

    def boolean(self, name: str, default: bool = False) -> bool:
        """Read a Boolean value, one of `1`, `0`, `true` and `false`."""
        value = self.get(name)
        if value is None:
            return default
        if value in ("1", "true", True):
            return True
        if value in ("0", "false", False):
            return False
        raise MalformedInputError(f"{name} is not 1, 0, true or false: {value!r}")

    def choice(self, name: str, table: Mapping[str, Value], default: str | None = None) -> Value:
        """Read a key of `table`; returns its value there. It is required if there is no default."""
        value = self.get(name, default)
        if value is None:
            raise MalformedInputError(f"{name} is missing")
        if not isinstance(value, str) or value not in table:
            raise MalformedInputError(f"{name} has the unknown value {value!r}")
        return table[value]


def parse_address(text: Any, name: str) -> tuple[str, int]:
    """Parse `host:port`, with a port from 1 to 65535; `name` identifies the setting in error messages."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdecimal() or not 0 < int(port) < 65_536:
        raise MalformedInputError(f"{name} is not a host and a port: {str(text)[:80]!r}")
    return host, int(port)


def flatten(tree: dict[str, Any], prefix: str = "") -> Fields:
    """Flatten a JSON tree to one path per value, with a `.count` for each list of objects."""
    fields = Fields()
    for name, value in tree.items():
        path = prefix + name
        if isinstance(value, list) and all(isinstance(each, dict) for each in value):
            fields[path + ".count"] = len(value)
            value = {str(index): each for index, each in enumerate(value)}
        if isinstance(value, dict):
            fields.update(flatten(value, path + "."))
        elif value is not None:
            fields[path] = value
    return fields


def read_categories(fields: Fields) -> list[Category]:
    """Read all categories of operations."""
    count = fields.integer("RequestClasses.count", 0)
    return [_read_category(fields, f"RequestClasses.{i}.") for i in range(count)]


def _read_category(fields: Fields, path: str) -> Category:
    timeout_us = fields.duration_us(path + "Deadline", 1000.0)
    return Category(
        name=fields.text(path + "Name"),
        repeat_safety=fields.choice(path + "Idempotency", REPEAT_SAFETY, "once"),
        latency_target_us=fields.duration_us(path + "Aim", timeout_us / 1000),
        timeout_us=timeout_us,
        value=fields.number(path + "Worth", 1.0),
        late_value=fields.number(path + "LateWorth"),
        deduplication_scope=fields.choice(path + "Group", DEDUPLICATION_SCOPES, "cell"),
        deduplication_window_us=fields.duration_us(path + "KeyTtl"),
        is_streaming=fields.boolean(path + "Streaming"),
    )


def read_plans(fields: Fields) -> list[Plan]:
    """Read all customer plans."""
    count = fields.integer("TiersOfService.count", 0)
    return [_read_plan(fields, f"TiersOfService.{i}.") for i in range(count)]


def _read_plan(fields: Fields, path: str) -> Plan:
    return Plan(
        name=fields.text(path + "Name"),
        rate=fields.number(path + "UnitsPerS"),
        burst=fields.number(path + "Burst"),
        value_factor=fields.number(path + "WorthFactor", 1.0),
        overage_value=fields.number(path + "BeyondEarns"),
        overage_cost=fields.number(path + "ExcessCost"),
        max_in_flight=fields.integer(path + "MaxOut", 0),
        rate_limit_per_s=fields.number(path + "NeverOverRate"),
        rate_limit_burst=fields.number(path + "CeilingBurst"),
        rate_limit_slack=fields.number(path + "CapSlack"),
    )


def read_server_rules(fields: Fields) -> ServerRules:
    """Read the rules on draining and newly started servers."""
    return ServerRules(
        drain_grace_us=fields.duration_us("Rules.DrainGrace"),
        slow_start_us=fields.duration_us("Rules.Cold"),
        slow_start_initial_weight=fields.number("Rules.ColdFrom", 1.0),
        overload_window_us=fields.duration_us("Rules.Fall"),
        max_overload_factor=fields.number("Rules.FallMultiple", 1.0),
    )


def read_permissions(fields: Fields) -> Permissions:
    """Read what a limiter may do with operations."""
    max_retry_after_us = 0
    if fields.boolean("Ceilings.RetryAfter"):
        max_retry_after_us = fields.duration_us("Ceilings.MaxRetryAfter")
    return Permissions(
        max_attempts=fields.integer("Ceilings.AttemptsCap", 1),
        may_cancel=fields.boolean("Ceilings.Cancel"),
        may_hedge=fields.boolean("Ceilings.ParallelTries"),
        may_probe=fields.boolean("Ceilings.Probes"),
        max_retry_after_us=max_retry_after_us,
    )


def read_placement(fields: Fields) -> Placement:
    """Read the limiter's position among all limiters of the service."""
    return Placement(
        limiter_index=fields.integer("SelfIndex", 0),
        limiter_count=max(1, fields.integer("NInstances", 1)),
        zone=fields.get("Zone", ""),
    )


def read_max_units(fields: Fields) -> float:
    """Read the maximum number of units per operation; infinity if there is none."""
    return fields.number("Specifics.UnitsTop") or math.inf


def read_counter_settings(fields: Fields) -> CounterSettings:
    """Read whether there is a counter service, and its time-out."""
    return CounterSettings(
        is_available=fields.boolean("Specifics.SharedCounter"),
        timeout_us=fields.duration_us("Specifics.CountLimit"),
    )


def read_connection_settings(fields: Fields) -> ConnectionSettings:
    """Read the time-outs of connections to servers."""
    return ConnectionSettings(
        connect_timeout_us=fields.duration_us("Ceilings.DialTimeout", 1000.0),
        idle_timeout_us=fields.duration_us("Ceilings.Keepalive", 10_000.0),
    )
