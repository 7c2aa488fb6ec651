"""Checks of a configuration before it is sent: its changes, errors and warnings.

No I/O: nothing is sent. API keys are not shown.
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
from lapisgrade.gateway.configuration_delta import MAX_TEXT_BYTES
from lapisgrade.gateway.configuration_values import check_integer, check_values
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.merge import fields as merge_fields
from lapisgrade.gateway.settings import decode_object, wire_name

WIRE_NAMES = {"target_time": "Target_time", "warmup_time": "Warmup_time"}
"""Wire names of fields for which `wire_name` returns another name."""

MAX_LINES = 200
"""Maximum number of changes and of warnings that are returned; there may be many hundred routes."""

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
    ("not above", "Ver must increase with each change"),
    ("required field", "it can't be left out"),
    ("are accepted", "remove or shorten items that are no longer needed"),
    ("nested deeper", "flatten the field; no known field has more than a few levels"),
    ("more than 64 bits", "write it as text, or as a smaller number"),
)
"""Substrings of error messages, each with a hint on how to correct the error; the first match applies."""


def read(text: bytes) -> JsonObject:
    """Return the JSON object in a configuration file.

    Raises:
        InvalidInputError: The file is not a JSON object.
    """
    return decode_object(text, "a configuration")


# ---- differences


def describe_changes(before: JsonObject, after: JsonObject) -> list[str]:
    """Describe the differences in one line per field; an added or removed item is one line as a whole."""
    old, new = merge_fields.to_fields(before), merge_fields.to_fields(after)
    added_items = {path for path in new if merge_fields.is_item(path) and path not in old}
    lines = []
    for change in merge_fields.diff(old, new):
        if change.path in added_items or change.removes_item:
            lines.append(f"{'+' if change.is_present else '-'} {merge_fields.format_path(change.path)}")
        elif change.path[:2] not in added_items:
            old_value = _value_text(change.was_present, change.base_value)
            new_value = _value_text(change.is_present, change.new_value)
            lines.append(f"  {merge_fields.format_path(change.path)}: {old_value} -> {new_value}")
    return lines


def _value_text(is_present: bool, value: Any) -> str:
    """Return a field's value as JSON, or `none` if the field is absent."""
    return msgspec.json.encode(value).decode() if is_present else "none"


# ---- warnings


def find_warnings(conf: Configuration, servers: JsonObject | None = None) -> list[str]:
    """Return warnings about valid but probably unintended settings.

    Args:
        conf: The configuration.
        servers: By service, the numbers of servers that are up and of their slots (`Servers` of
            `conf.status`); None if unknown.
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
        yield f"prefix {rule.match.pfx} does not end with a slash: it also matches longer path segments"
    if action.timeout < rule.target_time:
        yield (
            f"time-out of {action.timeout / SECOND:g} s is below "
            f"its latency target of {rule.target_time / SECOND:g} s"
        )
    if len(action.split) == 1:
        yield "split has only one service"
    for share in action.split:
        if not share.wt:
            yield f"service {share.svc} has weight 0: it gets no requests"
    if len({share.svc for share in action.split}) < len(action.split):
        yield "split lists a service twice"
    if rule.mode is Mode.IDEM and action.tries == 1:
        yield "is idempotent, but is limited to one attempt"
    if rule.public and conf.tenants is None:
        yield "is public, although no route requires a key"


def _host_warnings(conf: Configuration) -> Iterator[str]:
    for host, count in Counter(port.vhost.lower() for port in conf.ports).items():
        if count > 1:
            yield f"host {host} is listed {count} times: its routes are combined"


def _service_warnings(conf: Configuration, servers: JsonObject | None) -> Iterator[str]:
    routed = {share.svc for port in conf.ports for rule in port.policy for share in rule.action.shares()}
    for pool in conf.pools:
        if pool.name not in routed:
            yield f"service {pool.name}: no route uses it"
        elif servers is not None and not servers.get(pool.name, {}).get("Up"):
            yield f"service {pool.name}: no server is up"


def _tenant_warnings(tenants: tuple[Tenant, ...] | None) -> Iterator[str]:
    for tenant in tenants or ():
        if not tenant.apikeys:
            yield f"tenant {tenant.name}: has no key, so it can't send requests"
        if tenant.burst and not tenant.rate_s:
            yield f"tenant {tenant.name}: Burst has no effect without RateS"
        if tenant.rate_s and not tenant.burst:
            yield f"tenant {tenant.name}: no Burst: it defaults to the requests of one second"
    if tenants == ():
        yield "Tenants is empty: every request to a route that is not public is answered 401"


# ---- errors


def check_text(text: bytes, servers: JsonObject | None = None) -> tuple[list[str], list[str]]:
    """Check a configuration file.

    Args:
        text: The content of the file.
        servers: As for `find_warnings`.

    Returns:
        The errors, with hints on how to correct them, and the warnings, which are empty if there are errors.
    """
    try:
        raw = read(text)
        conf = configuration.read(raw)
        _check_storable(raw)
    except InvalidInputError as error:
        return _errors_with_hints(error), []
    return [], find_warnings(conf, servers)[:MAX_LINES]


def _check_storable(raw: JsonObject) -> None:
    """Check what the leader checks beside the fields: the size, the nesting and the integers.

    Raises:
        InvalidInputError: The leader would refuse the configuration.
    """
    check_values(raw)
    check_integer("Ver", raw["Ver"])
    size = len(msgspec.json.encode({name: value for name, value in raw.items() if name != "Base"}))
    if size > MAX_TEXT_BYTES:
        raise InvalidInputError(f"the configuration has {size} bytes, at most {MAX_TEXT_BYTES} are accepted")


def check_change(
    current: JsonObject, change: JsonObject, servers: JsonObject
) -> tuple[list[str], list[str], list[str]]:
    """Check a change of named items, or a complete configuration, against the current one.

    Args:
        current: The newest configuration, as JSON; empty if there is none.
        change: The change; its `Ver` and `Base` are ignored.
        servers: As for `find_warnings`.

    Returns:
        The changes, the errors, and the warnings that the current configuration does not have.
    """
    replaces_all = "Upsert" not in change and "Del" not in change
    try:
        changed = {**change} if replaces_all else apply_change(current, change)
        changed["Ver"] = current.get("Ver", 0) + 1
        changed.pop("Base", None)
        conf = configuration.read(changed)
        _check_storable(changed)
    except (InvalidInputError, KeyError, TypeError, AttributeError) as error:
        return [], _errors_with_hints(error), []
    known_warnings = set(find_warnings(configuration.read(current), servers)) if current else set()
    warnings = [warning for warning in find_warnings(conf, servers) if warning not in known_warnings]
    return describe_changes(current, changed)[:MAX_LINES], [], warnings[:MAX_LINES]


def _errors_with_hints(error: Exception) -> list[str]:
    """Return the errors that the message lists, separated by semicolons, each with a hint."""
    return [_with_hint(message) for message in str(error).split("; ")]


def _with_hint(error: str) -> str:
    """Return the error, with its place in wire names as in the file, and a hint on how to correct it."""
    message, separator, place = error.partition(" @ $")
    place = re.sub(r"\.(\w+)", lambda name: f".{WIRE_NAMES.get(name[1]) or wire_name(name[1])}", place)
    error = message + separator + place
    hint = next((hint for text, hint in HINTS if text in error), "")
    return f"{error} ({hint})" if hint else error
