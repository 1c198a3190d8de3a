"""Registries that decorators fill, for behaviour that varies by name.

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
    """A name that no registration has provided."""

    def __init__(self, kind: str, name: str, known: list[str]) -> None:
        super().__init__(f"no {kind} is called {name!r}; known: {', '.join(known) or 'none'}")


class Registry(Generic[T]):
    """Named values of one kind."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._values: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that files its argument under ``name``."""

        def add(value: T) -> T:
            if name in self._values:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._values[name] = value
            return value

        return add

    def get(self, name: str) -> T:
        """Return the value filed under ``name`` or raise :class:`UnknownNameError`."""
        try:
            return self._values[name]
        except KeyError:
            raise UnknownNameError(self._kind, name, self.names()) from None

    def names(self) -> list[str]:
        """Return all registered names in order."""
        return sorted(self._values)
