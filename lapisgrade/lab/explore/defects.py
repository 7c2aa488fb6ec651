"""Injection of known defects: an exploration that does not find them proves nothing."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple


class Defect(NamedTuple):
    """An attribute of a module or class, and its defective replacement."""

    owner: Any
    attribute: str
    replacement: Any


Defects = dict[str, Defect]
"""Defects by name."""


@contextmanager
def injected(defects: Defects, name: str) -> Iterator[None]:
    """Inject the defect with that name while the context is entered; none if the name is empty."""
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
