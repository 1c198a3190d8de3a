"""The root object, which lists the active files and the most recent changes."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """The change that created one generation."""

    generation: int
    submission: str
    operator: str
    wall: int
    files: list[str]


class Root(msgspec.Struct, frozen=True, kw_only=True):
    """The active files, as names with content hashes, and recent changes."""

    generation: int
    files: Annotated[dict[str, str], Meta(max_length=1_000)]
    history: list[Change] = []

    def find(self, submission: str) -> Change | None:
        """Return the change made by ``submission`` if it is in the history."""
        return next((c for c in self.history if c.submission == submission), None)

    def since(self, generation: int) -> list[Change]:
        """Return the changes in the history after ``generation``."""
        return [c for c in self.history if c.generation > generation]
