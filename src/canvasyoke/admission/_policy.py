"""Decides whether a request gets a place, waits for one or is refused at once."""

from __future__ import annotations

import enum
import math
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.admission._request import PendingRequest
from canvasyoke.admission._room import ServiceRoom

#: Margins of the forecast, in standard errors, for a new request and for one that already waits. A
#: wait that ends refused costs more than a refusal at once, so a new request needs a good forecast,
#: and a wait goes on until the forecast has clearly turned.
NEW_REQUEST_MARGIN: Final = 2.0
WAITING_MARGIN: Final = -3.0
#: Relative standard error of the estimated rates; that of the number of places that become free is
#: its square root, assuming random ends.
_RATE_ERROR: Final = 0.1


class Decision(enum.Enum):
    """What happens to a request."""

    ADMIT = "admit"
    WAIT = "wait"
    REFUSE = "refuse"


def decide(
    request: PendingRequest,
    ahead: int,
    room: ServiceRoom,
    now: int,
    margin: float = NEW_REQUEST_MARGIN,
) -> Decision:
    """Decide on a request with ``ahead`` places to be given to others first.

    ``margin`` is in standard errors of the forecast.
    """
    if room.is_open and ahead < room.places - room.in_use:
        return Decision.ADMIT
    wait = forecast_wait(ahead, room, margin)
    if wait is None:
        return Decision.REFUSE
    return Decision.WAIT if now + wait <= request.latest_start else Decision.REFUSE


def forecast_wait(ahead: int, room: ServiceRoom, margin: float = 0.0) -> int | None:
    """Return the milliseconds until a request gets a place; ``None`` if that is unknown."""
    opens_in = 0 if room.is_open else room.opens_in
    if opens_in is None or room.entry_rate <= 0:
        return None
    needed = ahead + 1.0
    if not room.is_open and room.places:
        # By Little's law the rate times the duration is the number of places of this entry.
        own_places = room.entry_rate * room.mean_duration / SECOND
        needed -= own_places * max(0, room.places - room.in_use) / room.places
    if needed <= 0:
        return opens_in
    error = math.hypot(math.sqrt(needed), _RATE_ERROR * needed)
    return opens_in + round(max(0.0, needed + margin * error) * SECOND / room.entry_rate)
