"""Checks of a configuration before it is sent: what would change, what is wrong, and what to mind.

Pure: nothing is sent, and no key is shown.
"""

import re
from collections import Counter
from collections.abc import Iterator
from typing import Any

import msgspec

from lapisgrade.gateway import SECOND, configuration
from lapisgrade.gateway.cli.operator_client import JsonObject
from lapisgrade.gateway.configuration import Configuration, Mode, Rule, Tenant
from lapisgrade.gateway.configuration_change import apply_change
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.merge import fields as merge_fields
from lapisgrade.gateway.settings import decode_object, wire_name

WIRE_NAMES = {"target_time": "Target_time", "warmup_time": "Warmup_time"}
"""Fields that aren't encoded in wire_name case."""

MAX_LINES = 200
"""Lines of one kind that are shown; a configuration may have many hundred routes."""

HINTS = (
    ("is not in Pools", "name the service under Pools, or send the route to one that is there"),
    ("add up to 0", "give one of the services a weight above 0"),
    ("below 0", "weights, RateS and Burst are 0 or more"),
    ("not above 0", "give it a value above 0"),
    ("is not a time", "times are a number and a unit, as in 1500ms or 2.5s"),
    ("does not begin with a slash", "prefixes begin and end with a slash"),
    ("not both and not none", "an Action has Svc, or Split with weights"),
    ("stands twice", "names, keys and a host's prefixes are there once"),
    ("is no mode", "Mode is idem for what may be repeated, keyed for what bears an Op-Key, else mutate"),
    ("not above", "Ver climbs with each change"),
    ("required field", "it can't be left out"),
)
"""What an error's text contains, and how the error is mended; the first that fits counts."""


def read(text: bytes) -> JsonObject:
    """Return a configuration's file as JSON.

    Raises:
        InvalidInputError: it is none.
    """
    return decode_object(text, "a configuration")


# ---- differences


def describe_changes(before: JsonObject, after: JsonObject) -> list[str]:
    """Describe what differs, a line a field; items that come or go as one line."""
    old, new = merge_fields.to_fields(before), merge_fields.to_fields(after)
    added_items = {path for path in new if merge_fields.is_item(path) and path not in old}
    lines = []
    for op in merge_fields.diff(old, new):
        if op.path in added_items or op.removes_item:
            lines.append(f"{'+' if op.is_present else '-'} {merge_fields.format_path(op.path)}")
        elif op.path[:2] not in added_items:
            old_value = _value_text(op.was_present, op.base_value)
            new_value = _value_text(op.is_present, op.new_value)
            lines.append(f"  {merge_fields.format_path(op.path)}: {old_value} -> {new_value}")
    return lines


def _value_text(is_present: bool, value: Any) -> str:
    return msgspec.json.encode(value).decode() if is_present else "none"


# ---- warnings


def find_warnings(conf: Configuration, servers: JsonObject | None = None) -> list[str]:
    """Say what may be meant otherwise, though it can be taken.

    Args:
        conf: the configuration.
        servers: by service, how many are up (`Servers` of `conf.status`); None where that isn't known.
    """
    return [
        *_route_warnings(conf),
        *_host_warnings(conf),
        *_service_warnings(conf, servers),
        *_tenant_warnings(conf.tenants),
    ]


def _route_warnings(conf: Configuration) -> Iterator[str]:
    for port in conf.ports:
        for rule in port.policy:
            for warning in _rule_warnings(rule, conf):
                yield f"route {rule.name}: {warning}"


def _rule_warnings(rule: Rule, conf: Configuration) -> Iterator[str]:
    action = rule.action
    if not rule.match.pfx.endswith("/"):
        yield f"the prefix {rule.match.pfx} has no slash at its end: it begins other words too"
    if action.timeout < rule.target_time:
        yield f"is held {action.timeout / SECOND:g} s at most, and aims at {rule.target_time / SECOND:g} s"
    if len(action.split) == 1:
        yield "a split of one service"
    for share in action.split:
        if not share.wt:
            yield f"service {share.svc} has weight 0: nothing goes there"
    if len({share.svc for share in action.split}) < len(action.split):
        yield "a service stands twice in its split"
    if rule.mode is Mode.IDEM and action.tries == 1:
        yield "may be repeated, but is tried once"
    if rule.public and conf.tenants is None:
        yield "is public where no key is wanted anyway"


def _host_warnings(conf: Configuration) -> Iterator[str]:
    for host, count in Counter(port.vhost.lower() for port in conf.ports).items():
        if count > 1:
            yield f"host {host} stands {count} times: its routes count together"


def _service_warnings(conf: Configuration, servers: JsonObject | None) -> Iterator[str]:
    routed = {share.svc for port in conf.ports for rule in port.policy for share in rule.action.shares()}
    for pool in conf.pools:
        if pool.name not in routed:
            yield f"service {pool.name}: no route goes there"
        elif servers is not None and not servers.get(pool.name, {}).get("Up"):
            yield f"service {pool.name}: no server is up"


def _tenant_warnings(tenants: tuple[Tenant, ...] | None) -> Iterator[str]:
    for tenant in tenants or ():
        if not tenant.apikeys:
            yield f"tenant {tenant.name}: has no key, so no request is its"
        if tenant.burst and not tenant.rate_s:
            yield f"tenant {tenant.name}: a Burst without RateS is no limit"
        if tenant.rate_s and not tenant.burst:
            yield f"tenant {tenant.name}: no Burst: a second's rate is taken for it"
    if tenants == ():
        yield "Tenants is empty: every request but on public routes gets 401"


# ---- errors


def check_text(text: bytes, servers: JsonObject | None = None) -> tuple[list[str], list[str]]:
    """Check a configuration's file; returns errors, each with how it is mended, and warnings."""
    try:
        conf = configuration.read(read(text))
    except InvalidInputError as error:
        return _errors_with_hints(error), []
    return [], find_warnings(conf, servers)[:MAX_LINES]


def check_change(
    current: JsonObject, change: JsonObject, servers: JsonObject
) -> tuple[list[str], list[str], list[str]]:
    """Check a change of named items, or a whole configuration, on top of the current one.

    Returns:
        What changes, the errors, and the warnings that were not there before.
    """
    is_whole = "Upsert" not in change and "Del" not in change
    try:
        changed = {**change} if is_whole else apply_change(current, change)
        changed["Ver"] = current.get("Ver", 0) + 1
        changed.pop("Base", None)
        conf = configuration.read(changed)
    except (InvalidInputError, KeyError, TypeError, AttributeError) as error:
        return [], _errors_with_hints(error), []
    known = set(find_warnings(configuration.read(current), servers)) if current else set()
    warnings = [warning for warning in find_warnings(conf, servers) if warning not in known]
    return describe_changes(current, changed)[:MAX_LINES], [], warnings[:MAX_LINES]


def _errors_with_hints(error: Exception) -> list[str]:
    return [_with_hint(each) for each in str(error).split("; ")]


def _with_hint(error: str) -> str:
    """The error with its place in the file's own names, and how it is mended."""
    message, separator, place = error.partition(" @ $")
    place = re.sub(r"\.(\w+)", lambda name: f".{WIRE_NAMES.get(name[1]) or wire_name(name[1])}", place)
    error = message + separator + place
    hint = next((hint for text, hint in HINTS if text in error), "")
    return f"{error} ({hint})" if hint else error
