"""A configuration as fields with paths, what an edit changes of them, and the way back. Pure.

Named items (routes, services, tenants) are told apart by their names, splits by service, keys one by one; all
else is compared as a whole, field by field. What an item has that is not known here is carried along.
"""

from typing import Any

import msgspec

Path = tuple[str, ...]
Fields = dict[Path, Any]
Json = dict[str, Any]

ROUTES, SERVICES, TENANTS = "Routes", "Pools", "Tenants"
SPLIT, KEYS = "Split", "Apikeys"
OBJECTS = ("Match", "Action", "Caps")  # whose parts are fields of their own; others are compared as a whole
TOP_KEYS = ("Ver", "Base", "Ports", SERVICES, TENANTS)


class FieldChange(msgspec.Struct, array_like=True, frozen=True):
    """One field as it was and as it is wanted.

    The end of a whole item is one change on the item's path, whose `base_value` is a list of its fields.

    Attributes:
        path: Where the field is.
        was_present: Whether it was there; tells an absent field from one that is null.
        base_value: What it was.
        is_present: Whether it is to be there.
        new_value: What it is to be.
    """

    path: Path
    was_present: bool
    base_value: Any
    is_present: bool
    new_value: Any

    @property
    def removes_item(self) -> bool:
        """Whether a whole item ends."""
        return not self.is_present and is_item(self.path)


def is_item(path: Path) -> bool:
    """Whether that is a named item, or the list of tenants as such."""
    return (len(path) == 2 and path[0] in (ROUTES, SERVICES, TENANTS)) or path == (TENANTS,)


def is_list(path: Path) -> bool:
    """Whether that is a list whose parts have paths below it."""
    return path[-1] in (SPLIT, KEYS) and path[0] in (ROUTES, TENANTS)


def is_in_item(path: Path) -> bool:
    """Whether that is a field of a named item."""
    return len(path) > 2 and path[0] in (ROUTES, SERVICES, TENANTS)


def is_destination(path: Path) -> bool:
    """Whether that says where a route's requests go: to one service, or to a split."""
    return path[0] == ROUTES and path[2:4] in (("Action", "Svc"), ("Action", SPLIT))


def is_at_or_below(path: Path, ancestor: Path) -> bool:
    """Whether a path is another one, or lies below it."""
    return path[: len(ancestor)] == ancestor


def format_path(path: Path) -> str:
    """Return a path for people; a key is a secret and is never repeated to anybody."""
    return "/".join("(a key)" if path[i - 1 : i] == (KEYS,) else part for i, part in enumerate(path))


# ---- to fields


def to_fields(configuration: Json) -> Fields:
    """Return a configuration that was checked (`configuration.read`) as fields."""
    fields: Fields = {}
    for port in configuration.get("Ports") or []:
        for rule in port.get("Policy") or []:
            path = (ROUTES, rule["Name"])
            fields[path] = True
            fields[(*path, "Vhost")] = port["Vhost"]
            _add_item(fields, path, rule)
    for key in (SERVICES, TENANTS):
        if key in configuration and key == TENANTS:
            fields[(TENANTS,)] = True  # whether keys are wanted at all
        for item in configuration.get(key) or []:
            fields[key, item["Name"]] = True
            _add_item(fields, (key, item["Name"]), item)
    for key, value in configuration.items():
        if key not in TOP_KEYS:
            _add_value(fields, (key,), value)
    return fields


def _add_item(fields: Fields, path: Path, item: Json) -> None:
    for key, value in item.items():
        if key != "Name":
            _add_value(fields, (*path, key), value)


def _add_value(fields: Fields, path: Path, value: Any) -> None:
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


# ---- and back


def from_fields(fields: Fields, layout: Json) -> Json:
    """Return the configuration of those fields, laid out in the order of `layout`, what is new at the end."""
    configuration: Json = {key: layout[key] for key in ("Ver",) if key in layout}
    items, top_level = _collect_items(fields)
    configuration.update(top_level)
    configuration["Ports"] = _build_ports(items, layout)
    for key in (SERVICES, TENANTS):
        order: list[Path] = [(key, item["Name"]) for item in layout.get(key) or []]
        listed = [{"Name": path[1], **items[path]} for path in _ordered(items, key, order)]
        if listed or (key,) in fields or (key in layout and key == SERVICES):
            configuration[key] = listed
    return configuration


def _collect_items(fields: Fields) -> tuple[dict[Path, Json], Json]:
    """Return the named items by path, and the values beside them by key."""
    items: dict[Path, Json] = {}
    top_level: Json = {}
    for path, value in fields.items():
        if is_item(path):
            if len(path) == 2:
                items.setdefault(path, {})
        elif path[0] in (ROUTES, SERVICES, TENANTS):
            _put(items.setdefault(path[:2], {}), path[2:], value, path)
        else:
            _put(top_level, path, value, path)
    return items, top_level


def _build_ports(items: dict[Path, Json], layout: Json) -> list[Json]:
    layout_ports = layout.get("Ports") or []
    order: list[Path] = [(ROUTES, rule["Name"]) for port in layout_ports for rule in port.get("Policy") or []]
    port_by_host = {port["Vhost"]: port for port in layout_ports}
    rules_by_host: dict[str, list[Json]] = {}
    for path in _ordered(items, ROUTES, order):
        rule = {"Name": path[1], **items[path]}
        rules_by_host.setdefault(rule.pop("Vhost"), []).append(rule)
    known_hosts = [host for host in port_by_host if host in rules_by_host]
    new_hosts = [host for host in rules_by_host if host not in port_by_host]
    return [
        {**port_by_host.get(host, {}), "Vhost": host, "Policy": rules_by_host[host]}
        for host in known_hosts + new_hosts
    ]


def _ordered(items: dict[Path, Json], key: str, order: list[Path]) -> list[Path]:
    present = {path for path in items if path[0] == key}
    return [path for path in order if path in present] + sorted(present - set(order))


def _put(item: Json, path: Path, value: Any, whole_path: Path) -> None:
    """Put a field into an item; `path` is below the item, `whole_path` is the field's own."""
    for i, name in enumerate(path[:-1]):
        is_list_above = i == len(path) - 2
        if is_list_above and name == SPLIT and whole_path[0] == ROUTES:
            item.setdefault(SPLIT, []).append({"Svc": path[-1], **value})
            return
        if is_list_above and name == KEYS and whole_path[0] == TENANTS:
            item.setdefault(KEYS, []).append(path[-1])
            return
        item = item.setdefault(name, {})
    if value != [] or path[-1] not in item:
        item[path[-1]] = [] if value == [] else value  # a list of its own for what comes into it


# ---- what an edit changes


def diff(base: Fields, new: Fields) -> list[FieldChange]:
    """Return the changes from one to the other by path; an item that ends is one change."""
    changes: list[FieldChange] = []
    removed = [path for path in base if is_item(path) and path not in new]
    for path in removed:
        if any(path != other and is_at_or_below(path, other) for other in removed):
            continue  # all tenants end, and each of them
        lost = [[list(each), value] for each, value in base.items() if is_at_or_below(each, path)]
        changes.append(FieldChange(path, True, sorted(lost, key=lambda pair: pair[0]), False, None))
    for path in base.keys() | new.keys():
        if any(is_at_or_below(path, each) for each in removed):
            continue
        was_present, is_present = path in base, path in new
        if was_present != is_present or base[path] != new[path]:
            changes.append(FieldChange(path, was_present, base.get(path), is_present, new.get(path)))
    return sorted(changes, key=lambda change: change.path)
