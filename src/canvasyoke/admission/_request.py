"""What a request brings to the admission decision."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

#: Milliseconds before the end of a caller's patience at which a place comes too late. The first
#: event then still arrives in time: connecting, prefill and one to two passes of 64 ms.
FIRST_EVENT_MARGIN: Final = 250


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request that asks for a place at a backend; times are on the clock, in milliseconds."""

    #: 0 is the most urgent.
    priority: int
    #: Name of the organisation; empty for a caller without a key.
    organisation: str
    arrived_at: int
    deadline: int
    #: Time at which the caller gives up if it has received no event.
    patience_until: int
    #: Expected milliseconds from the start at a backend to the end of the response.
    expected_duration: int

    @property
    def latest_start(self) -> int:
        """Return the latest time at which a place is of use to the caller."""
        return min(self.patience_until - FIRST_EVENT_MARGIN, self.deadline - self.expected_duration)
