"""Failures of single methods, to test that the rest goes on."""

from collections.abc import Callable
from typing import Any

import pytest


class Failure:
    """Replaces a method; its next calls raise, and later ones are passed on."""

    def __init__(self, target: Any, name: str, is_async: bool = False) -> None:
        self.method, self.is_async, self.failed, self.left = getattr(target, name), is_async, 0, 2
        self.target, self.name = target, name

    def install(self, patch: pytest.MonkeyPatch) -> "Failure":
        """Replace the method until `patch` is undone."""
        is_class = isinstance(self.target, type)
        patch.setattr(self.target, self.name, self._unbound() if is_class else self)
        return self

    def _unbound(self) -> Callable[..., Any]:
        return lambda instance, *args, **options: self(instance, *args, **options)

    def __call__(self, *args: Any, **options: Any) -> Any:
        if not self.left:
            return self.method(*args, **options)
        self.left -= 1
        self.failed += 1
        if self.is_async:
            return self._fail()
        raise ValueError("injected")

    async def _fail(self) -> None:
        raise ValueError("injected")
