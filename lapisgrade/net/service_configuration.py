"""Reads the limiter's configuration file: which kinds of value it holds, and where the services are."""

import json
from typing import Any

from lapisgrade.settings import MalformedInputError, parse_address

Address = tuple[str, int]

_VALUE_TYPES = {
    "name": str,
    "listen": str,
    "discovery": str,
    "seed": str,
    "limits": dict,
    "known": dict,
    "settings": dict,
}


def read_configuration(path: str) -> dict[str, Any]:
    """The configuration in a file. MalformedInputError if it is not a JSON object, or can't be read."""
    try:
        with open(path, encoding="utf-8") as file:
            configuration = json.load(file)
    except (OSError, ValueError) as error:
        raise MalformedInputError(f"{path}: {error}") from None
    if not isinstance(configuration, dict):
        raise MalformedInputError(f"{path}: not an object")
    return configuration


def check_value_types(configuration: dict[str, Any]) -> None:
    """Raise MalformedInputError where a value is missing or of another kind than it must be."""
    for name, kind in _VALUE_TYPES.items():
        if not isinstance(configuration.get(name), kind):
            raise MalformedInputError(f"{name} is missing or not of the kind {kind.__name__}")


def read_service_addresses(
    configuration: dict[str, Any], *, uses_counter: bool
) -> tuple[Address, Address | None]:
    """Where discovery and, for a limiter that uses it, the counter service are."""
    discovery = parse_address(configuration.get("discovery"), "discovery")
    counter = parse_address(configuration.get("counter"), "counter") if uses_counter else None
    return discovery, counter
