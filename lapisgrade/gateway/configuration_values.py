"""Limits on the values of calls, so that what results from them can be stored, sent and read. No I/O.

JSON has numbers and nesting of any size. MessagePack, in which logs, snapshots and messages are encoded, has
integers of 64 bits, and the JSON decoder gives up at a depth that depends on its caller's stack.
"""

from typing import Any

import msgspec

from lapisgrade.gateway.errors import InvalidInputError

MAX_DEPTH = 64  # levels of nested objects and lists; a configuration has 7
MAX_INTEGER = 2**63 - 1  # one bit below MessagePack's maximum, as versions are incremented


def check_values(value: Any) -> None:
    """Check the nesting and the integers of a JSON value.

    Raises:
        InvalidInputError: The value is nested deeper than `MAX_DEPTH`, or has an integer beyond 64 bits.
    """
    _check_depth(value)
    if not is_encodable(value):
        raise InvalidInputError("a number has more than 64 bits")


def check_integer(name: str, number: int) -> None:
    """Check one integer.

    Raises:
        InvalidInputError: Its absolute value is above `MAX_INTEGER`.
    """
    if abs(number) > MAX_INTEGER:
        raise InvalidInputError(f"{name} is not between {-MAX_INTEGER} and {MAX_INTEGER}")


def is_encodable(value: Any) -> bool:
    """Return whether all integers in a value fit into MessagePack."""
    try:
        msgspec.msgpack.encode(value)
    except OverflowError:
        return False
    return True


def _check_depth(value: Any) -> None:
    level = [value]
    for _ in range(MAX_DEPTH):
        level = [child for parent in level for child in _children(parent)]
        if not level:
            return
    raise InvalidInputError(f"objects and lists are nested deeper than {MAX_DEPTH} levels")


def _children(value: Any) -> list[Any]:
    """Return the objects and lists directly in a value."""
    if isinstance(value, dict):
        items = list(value.values())
    elif isinstance(value, list):
        items = value
    else:
        return []
    return [item for item in items if isinstance(item, dict | list)]
