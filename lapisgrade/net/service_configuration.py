"""Reads the limiter's configuration file, and checks the types of its values."""

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
    """Read a configuration file and parse it from JSON.

    Raises:
        MalformedInputError: The file can't be read, or is not a JSON object.
    """
    try:
        with open(path, encoding="utf-8") as file:
            configuration = json.load(file)
    except (OSError, ValueError) as error:
        raise MalformedInputError(f"{path}: {error}") from None
    if not isinstance(configuration, dict):
        raise MalformedInputError(f"{path}: must be a JSON object")
    return configuration


def check_value_types(configuration: dict[str, Any]) -> None:
    """Check that all required values exist and have the right type.

    Raises:
        MalformedInputError: A value is missing or has another type.
    """
    for name, value_type in _VALUE_TYPES.items():
        if not isinstance(configuration.get(name), value_type):
            raise MalformedInputError(f"{name} must be present and of type {value_type.__name__}")


def read_service_addresses(
    configuration: dict[str, Any], *, uses_counter: bool
) -> tuple[Address, Address | None]:
    """Read the addresses of discovery and, if the limiter uses it, of the counter service.

    Raises:
        MalformedInputError: An address is missing or invalid.
    """
    discovery = parse_address(configuration.get("discovery"), "discovery")
    counter = parse_address(configuration.get("counter"), "counter") if uses_counter else None
    return discovery, counter
