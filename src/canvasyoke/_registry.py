"""Decorator-based registries for implementations selected by name.

>>> shapes: Registry[type] = Registry("shape")
>>> @shapes.register("round")
... class Round: ...
>>> shapes.get("round").__name__
'Round'
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class UnknownNameError(LookupError):
    """Raised when a name is not registered."""

    def __init__(self, kind: str, name: str, known: list[str]) -> None:
        super().__init__(f"unknown {kind} {name!r}; known: {', '.join(known) or 'none'}")


class Registry(Generic[T]):
    """Maps names to values of one kind, such as classes or functions."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._values: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its argument under ``name``."""

        def decorator(value: T) -> T:
            if name in self._values:
                raise ValueError(f"{self._kind} {name!r} is already registered")
            self._values[name] = value
            return value

        return decorator

    def get(self, name: str) -> T:
        """Return the value registered under ``name`` or raise :class:`UnknownNameError`."""
        try:
            return self._values[name]
        except KeyError:
            raise UnknownNameError(self._kind, name, self.names()) from None

    def names(self) -> list[str]:
        """Return all registered names in alphabetical order."""
        return sorted(self._values)
