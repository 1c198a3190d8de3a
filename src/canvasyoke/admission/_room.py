"""What an entry knows of the places of a service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServiceRoom:
    """Places of a service at one moment; times in milliseconds."""

    #: Slots of the available backends.
    places: int
    #: Estimated number of slots in use.
    in_use: int
    #: Whether the service's rank group executes steps.
    is_open: bool
    #: Forecast time until the group executes steps again; ``None`` if unknown.
    opens_in: int | None
    #: Places a second that become free for this entry.
    entry_rate: float
    #: Mean duration of a request at a backend.
    mean_duration: int
