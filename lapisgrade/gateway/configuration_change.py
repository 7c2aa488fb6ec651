"""Changes of named items of a configuration, and the digest that identifies a change. No I/O.

A change (`conf.update`) has complete items to insert or replace in `Upsert`, and names of items to remove in
`Del`. Configurations are handled as raw JSON, so that they can be read back as the operator sent them.
"""

from collections.abc import Iterable
from hashlib import blake2b
from typing import Any

import msgspec

from lapisgrade.gateway.errors import ConfigurationError

DIGEST_BYTES = 16

# Lists of named items by their key in a configuration, with the keys that a change may use for them.
ITEM_LISTS = {"Pools": ("Pools", "Svcs"), "Tenants": ("Tenants",)}
ROUTE_KEYS = ("Routes", "Ports", "Policy")  # keys of `Del` that may list names of routes

Json = dict[str, Any]


def apply_change(current: Json, change: Json) -> Json:
    """Return the configuration that results from applying a change of named items.

    Raises:
        ConfigurationError: The change is malformed.
    """
    upsert, delete = change.get("Upsert") or {}, change.get("Del") or {}
    if not isinstance(upsert, dict) or not isinstance(delete, dict):
        raise ConfigurationError("Upsert and Del are objects")
    changed = dict(current)
    changed["Ver"] = change.get("Ver")
    changed["Ports"] = _change_routes(current, upsert, delete)
    for key, change_keys in ITEM_LISTS.items():
        items = _change_items(current, key, change_keys, upsert, delete)
        if items is not None:
            changed[key] = items
    if "Caps" in upsert:
        changed["Caps"] = upsert["Caps"]
    return changed


def _change_routes(current: Json, upsert: Json, delete: Json) -> list[Json]:
    """Return the hosts with their routes; a route that is upserted at another host moves there."""
    deleted = {name for key in ROUTE_KEYS for name in _names(delete, key)}
    rules_by_host: dict[str, list[Json]] = {}
    for port in current.get("Ports") or []:  # a host may be listed twice
        rules_by_host.setdefault(port["Vhost"], []).extend(port.get("Policy") or [])
    host_of_rule = {rule["Name"]: host for host, rules in rules_by_host.items() for rule in rules}
    for port in _items(upsert, "Ports"):
        host = port.get("Vhost")
        if not isinstance(host, str):
            raise ConfigurationError("an item of Ports has no Vhost")
        rules_by_host.setdefault(host, [])
        for rule in port.get("Policy") or []:
            _upsert_rule(rules_by_host, host_of_rule, host, rule)
    remaining = {
        host: [rule for rule in rules if rule["Name"] not in deleted] for host, rules in rules_by_host.items()
    }
    return [{"Vhost": host, "Policy": rules} for host, rules in remaining.items() if rules]


def _upsert_rule(
    rules_by_host: dict[str, list[Json]], host_of_rule: dict[str, str], host: str, rule: Any
) -> None:
    """Insert a route at a host, in place of the host's route with the same name or else at the end."""
    if not isinstance(rule, dict) or not isinstance(rule.get("Name"), str):
        raise ConfigurationError("an item of Policy has no Name")
    name = rule["Name"]
    old_host = host_of_rule.get(name)
    if old_host is not None and old_host != host:
        rules_by_host[old_host] = [other for other in rules_by_host[old_host] if other["Name"] != name]
    rules = rules_by_host[host]
    position = next((index for index, other in enumerate(rules) if other["Name"] == name), None)
    if position is None:
        rules.append(rule)
    else:
        rules[position] = rule
    host_of_rule[name] = host


def _change_items(
    current: Json, key: str, change_keys: Iterable[str], upsert: Json, delete: Json
) -> list[Json] | None:
    """Return a list of named items after the change; None if it exists neither before nor after."""
    items = {item["Name"]: item for item in current.get(key) or []}
    upserted = [item for change_key in change_keys for item in _items(upsert, change_key)]
    if any(not isinstance(item.get("Name"), str) for item in upserted):
        raise ConfigurationError(f"an item of {key} has no Name")
    items.update({item["Name"]: item for item in upserted})
    deleted = {name for change_key in change_keys for name in _names(delete, change_key)}
    if key not in current and not upserted:
        return None
    return [item for name, item in items.items() if name not in deleted]


def _items(upsert: Json, key: str) -> list[Json]:
    items = upsert.get(key) or []
    if not isinstance(items, list) or any(not isinstance(item, dict) for item in items):
        raise ConfigurationError(f"{key} is not a list of objects")
    return items


def _names(delete: Json, key: str) -> list[str]:
    """Return the names listed under a key, each given as a string or as an item with a `Name`."""
    items = delete.get(key) or []
    if not isinstance(items, list):
        raise ConfigurationError(f"{key} is not a list of names")
    return [item["Name"] if isinstance(item, dict) and "Name" in item else str(item) for item in items]


def digest(body: bytes) -> bytes:
    """Return a digest of a body's JSON content, independent of formatting and key order."""
    ordered = msgspec.json.encode(msgspec.json.decode(body), order="sorted")
    return blake2b(ordered, digest_size=DIGEST_BYTES).digest()
