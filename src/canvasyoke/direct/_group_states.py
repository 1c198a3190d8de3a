"""Whether the rank groups of a service execute steps."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServiceState:
    """State of the rank groups of one service; times in milliseconds."""

    #: Whether any group of the service executes steps, as far as is known.
    is_open: bool
    #: Clock time since which no group has executed steps; 0 if one does.
    closed_since: int
    #: Forecast time until a group executes steps again; ``None`` if unknown.
    opens_in: int | None
    #: Whether all available backends of the service belong to one group.
    is_single_group: bool
