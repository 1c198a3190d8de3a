"""An entry's record of one run of a backend."""

from __future__ import annotations

from dataclasses import dataclass

from canvasyoke.coordination import Ejection
from canvasyoke.state import Endpoint


@dataclass(slots=True)
class Member:
    """A listed backend; guarded by the roster's lock."""

    endpoint: Endpoint
    ejection: Ejection
    #: Time at which the endpoint was last updated.
    updated_at: int
    #: In-flight requests of this entry.
    own_requests: int = 0
    #: In-flight requests of other entries in the last load report, and its time.
    peer_requests: int = 0
    reported_at: int = 0
    #: Moving average of request durations in milliseconds.
    mean_duration: float = 0.0
    #: Time until which it is avoided after refusing a request.
    full_until: int = 0
    #: Time until which it is avoided because it closed the connection of a request.
    connection_lost_until: int = 0
    #: Time until which it is avoided because another run answered at its address.
    address_conflict_until: int = 0
    #: Slots that requests of this entry left recently, and the time until which no other entry is
    #: assumed to know of them.
    freed: int = 0
    freed_until: int = 0
    #: Time until which the last draw for a free slot holds, and whether it was won.
    draw_until: int = 0
    draw_won: bool = False
    #: Requests in its queue as last reported, less those of this entry that have ended since.
    reported_queue: int = 0
