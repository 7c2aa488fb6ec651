"""Conversion of a configuration to and from fields with paths, and the changes between two versions. Pure.

Named items (routes, services, tenants) are identified by name, the shares of a split by service, and API keys
by value; every other field is compared as a whole. Unknown fields of an item are preserved.
"""

from typing import Any

import msgspec

FieldPath = tuple[str, ...]
Fields = dict[FieldPath, Any]
Json = dict[str, Any]

# First parts of the paths of named items. The configuration lists routes by host, under "Ports".
ROUTES, SERVICES, TENANTS = "Routes", "Pools", "Tenants"
SPLIT, KEYS = "Split", "Apikeys"  # lists whose elements have paths
OBJECTS = ("Match", "Action", "Caps")  # objects with a path per member; others are compared as a whole
TOP_KEYS = ("Ver", "Base", "Ports", SERVICES, TENANTS)  # versions, which are no fields, and lists of items


class FieldChange(msgspec.Struct, array_like=True, frozen=True):
    """A change of one field.

    The removal of an item is one change at the item's path, whose `base_value` is the list of its fields.

    Attributes:
        path: The path of the field.
        was_present: Whether the field existed before; distinguishes an absent field from a null one.
        base_value: The value before the change.
        is_present: Whether the field exists after the change.
        new_value: The value after the change.
    """

    path: FieldPath
    was_present: bool
    base_value: Any
    is_present: bool
    new_value: Any

    @property
    def removes_item(self) -> bool:
        """Whether the change removes an item."""
        return not self.is_present and is_item(self.path)


def is_item(path: FieldPath) -> bool:
    """Whether the path is that of a named item, or of the list of tenants."""
    return (len(path) == 2 and path[0] in (ROUTES, SERVICES, TENANTS)) or path == (TENANTS,)


def is_list(path: FieldPath) -> bool:
    """Whether the path is that of a list whose elements have paths below it."""
    return path[-1] in (SPLIT, KEYS) and path[0] in (ROUTES, TENANTS)


def is_in_item(path: FieldPath) -> bool:
    """Whether the path is that of a field of a named item."""
    return len(path) > 2 and path[0] in (ROUTES, SERVICES, TENANTS)


def is_destination(path: FieldPath) -> bool:
    """Whether the field is part of a route's destination: a single service or a split."""
    return path[0] == ROUTES and path[2:4] in (("Action", "Svc"), ("Action", SPLIT))


def is_at_or_below(path: FieldPath, ancestor: FieldPath) -> bool:
    """Whether a path equals `ancestor` or lies below it."""
    return path[: len(ancestor)] == ancestor


def format_path(path: FieldPath) -> str:
    """Return a human-readable path; API keys are secret and are never shown."""
    return "/".join("(a key)" if path[i - 1 : i] == (KEYS,) else part for i, part in enumerate(path))


# ---- configuration to fields


def to_fields(configuration: Json) -> Fields:
    """Return the fields of a valid configuration (checked by `configuration.read`)."""
    fields: Fields = {}
    for port in configuration.get("Ports") or []:
        for rule in port.get("Policy") or []:
            path = (ROUTES, rule["Name"])
            fields[path] = True
            fields[(*path, "Vhost")] = port["Vhost"]
            _add_item(fields, path, rule)
    for key in (SERVICES, TENANTS):
        if key in configuration and key == TENANTS:
            fields[(TENANTS,)] = True  # the list's presence, even if empty, makes API keys mandatory
        for item in configuration.get(key) or []:
            fields[key, item["Name"]] = True
            _add_item(fields, (key, item["Name"]), item)
    for key, value in configuration.items():
        if key not in TOP_KEYS:
            _add_value(fields, (key,), value)
    return fields


def _add_item(fields: Fields, path: FieldPath, item: Json) -> None:
    for key, value in item.items():
        if key != "Name":
            _add_value(fields, (*path, key), value)


def _add_value(fields: Fields, path: FieldPath, value: Any) -> None:
    if isinstance(value, dict) and path[-1] in OBJECTS:
        for key, part in value.items():
            _add_value(fields, (*path, key), part)
    elif path[-1] == SPLIT and path[0] == ROUTES and _has_unique_services(value):
        fields[path] = []
        for share in value:
            fields[(*path, share["Svc"])] = {key: part for key, part in share.items() if key != "Svc"}
    elif path[-1] == KEYS and path[0] == TENANTS:
        fields[path] = []
        for api_key in value:
            fields[(*path, api_key)] = True
    else:
        fields[path] = value


def _has_unique_services(split: list[Json]) -> bool:
    return len({share["Svc"] for share in split}) == len(split)


# ---- fields to configuration


def from_fields(fields: Fields, layout: Json) -> Json:
    """Return the configuration with those fields.

    Args:
        fields: The fields.
        layout: A configuration whose order of ports and items is kept; new ones are last.
    """
    configuration: Json = {key: layout[key] for key in ("Ver",) if key in layout}
    items, top_level = _collect_items(fields)
    configuration.update(top_level)
    configuration["Ports"] = _build_ports(items, layout)
    for key in (SERVICES, TENANTS):
        order: list[FieldPath] = [(key, item["Name"]) for item in layout.get(key) or []]
        listed = [{"Name": path[1], **items[path]} for path in _ordered_paths(items, key, order)]
        if listed or (key,) in fields or (key in layout and key == SERVICES):
            configuration[key] = listed
    return configuration


def _collect_items(fields: Fields) -> tuple[dict[FieldPath, Json], Json]:
    """Return the named items by path, and the other top-level values by key."""
    items: dict[FieldPath, Json] = {}
    top_level: Json = {}
    for path, value in fields.items():
        if is_item(path):
            if len(path) == 2:
                items.setdefault(path, {})
        elif path[0] in (ROUTES, SERVICES, TENANTS):
            _set_field(items.setdefault(path[:2], {}), path[2:], value, path)
        else:
            _set_field(top_level, path, value, path)
    return items, top_level


def _build_ports(items: dict[FieldPath, Json], layout: Json) -> list[Json]:
    layout_ports = layout.get("Ports") or []
    order: list[FieldPath] = [
        (ROUTES, rule["Name"]) for port in layout_ports for rule in port.get("Policy") or []
    ]
    port_by_host = {port["Vhost"]: port for port in layout_ports}
    rules_by_host: dict[str, list[Json]] = {}
    for path in _ordered_paths(items, ROUTES, order):
        rule = {"Name": path[1], **items[path]}
        rules_by_host.setdefault(rule.pop("Vhost"), []).append(rule)
    known_hosts = [host for host in port_by_host if host in rules_by_host]
    new_hosts = [host for host in rules_by_host if host not in port_by_host]
    return [
        {**port_by_host.get(host, {}), "Vhost": host, "Policy": rules_by_host[host]}
        for host in known_hosts + new_hosts
    ]


def _ordered_paths(items: dict[FieldPath, Json], key: str, order: list[FieldPath]) -> list[FieldPath]:
    """Return the paths of the items below `key`: first those in `order`, then the others, sorted."""
    present = {path for path in items if path[0] == key}
    return [path for path in order if path in present] + sorted(present - set(order))


def _set_field(item: Json, path: FieldPath, value: Any, full_path: FieldPath) -> None:
    """Set a field of an item; `path` is relative to the item, `full_path` to the configuration."""
    for i, name in enumerate(path[:-1]):
        is_parent = i == len(path) - 2
        if is_parent and name == SPLIT and full_path[0] == ROUTES:
            item.setdefault(SPLIT, []).append({"Svc": path[-1], **value})
            return
        if is_parent and name == KEYS and full_path[0] == TENANTS:
            item.setdefault(KEYS, []).append(path[-1])
            return
        item = item.setdefault(name, {})
    if value != [] or path[-1] not in item:
        # A new list, since elements are appended to it; elements that are already there are kept.
        item[path[-1]] = [] if value == [] else value


# ---- changes between two versions


def diff(base: Fields, new: Fields) -> list[FieldChange]:
    """Return the changes from `base` to `new`, sorted by path; the removal of an item is one change."""
    changes: list[FieldChange] = []
    removed_items = [path for path in base if is_item(path) and path not in new]
    for path in removed_items:
        if any(path != other and is_at_or_below(path, other) for other in removed_items):
            continue  # the removal of the tenant list covers its tenants
        removed_fields = [
            [list(field_path), value]
            for field_path, value in base.items()
            if is_at_or_below(field_path, path)
        ]
        changes.append(FieldChange(path, True, sorted(removed_fields, key=lambda pair: pair[0]), False, None))
    for path in base.keys() | new.keys():
        if any(is_at_or_below(path, item) for item in removed_items):
            continue
        was_present, is_present = path in base, path in new
        if was_present != is_present or base[path] != new[path]:
            changes.append(FieldChange(path, was_present, base.get(path), is_present, new.get(path)))
    return sorted(changes, key=lambda change: change.path)
