"""Known defects, put in on purpose: an exploration that does not find them proves nothing."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple


class Defect(NamedTuple):
    """An attribute of a module or class, and what stands in its place with the defect."""

    owner: Any
    attribute: str
    replacement: Any


Defects = dict[str, Defect]
"""Defects by name."""


@contextmanager
def injected(defects: Defects, name: str) -> Iterator[None]:
    """Run with the defect of that name; with none for an empty name."""
    if not name:
        yield
        return
    defect = defects[name]
    original = getattr(defect.owner, defect.attribute)
    setattr(defect.owner, defect.attribute, defect.replacement)
    try:
        yield
    finally:
        setattr(defect.owner, defect.attribute, original)
