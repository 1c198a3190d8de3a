"""What an entry has seen of one run of a backend."""

from __future__ import annotations

from dataclasses import dataclass

from canvasyoke.coordination import Ejection
from canvasyoke.state import Endpoint


@dataclass(slots=True)
class Member:
    """A listed backend; the roster guards it."""

    endpoint: Endpoint
    ejection: Ejection
    #: Time on the clock at which the newest word of it came.
    heard_at: int
    #: Requests of this entry under way there.
    own: int = 0
    #: Requests of other entries, by the last report, and when that came.
    others: int = 0
    reported_at: int = 0
    duration: float = 0.0
    #: Time on the clock until which it is passed over because it was full.
    full_until: int = 0
    #: Time on the clock until which another run is known to have its address.
    moved_until: int = 0
