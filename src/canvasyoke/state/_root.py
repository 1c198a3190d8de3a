"""The root object: which files are in force, and what the last changes were."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One generation in the root's history."""

    generation: int
    submission: str
    operator: str
    wall: int
    files: list[str]


class Root(msgspec.Struct, frozen=True, kw_only=True):
    """The root object: which files are in force."""

    generation: int
    files: Annotated[dict[str, str], Meta(max_length=1_000)]
    history: list[Change] = []

    def find(self, submission: str) -> Change | None:
        """Return the generation that ``submission`` made, if it is recent."""
        return next((c for c in self.history if c.submission == submission), None)

    def since(self, generation: int) -> list[Change]:
        """Return the recent changes after ``generation``."""
        return [c for c in self.history if c.generation > generation]
