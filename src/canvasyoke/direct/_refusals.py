"""What a caller is told whose request no backend has answered, and when to come back."""

from __future__ import annotations

import random
import threading
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.backend import MayHaveRun, NotRun, NotRunCause
from canvasyoke.direct._call import BrokeOff, DirectCall, GaveUp
from canvasyoke.direct._choice import NoneAvailable
from canvasyoke.direct._roster import Roster
from canvasyoke.protocol import Reason

#: Least time left, in milliseconds, with which an attempt is still begun.
LEAST_TIME: Final = 20
#: Milliseconds that a caller is asked to wait, drawn between the two so that callers
#: who were refused together do not come back together. A backend that is full has room
#: again after a step or two; where all wait in line, a burst must pass; a group without
#: one of its ranks is away for seconds, and callers ask again only once.
_RETRY_FULL: Final = (150, 400)
_RETRY_CROWDED: Final = (800, 2_400)
_RETRY_AWAY: Final = (2_400, 2_600)
#: What follows the end of a backoff, as a part of its time left, and in milliseconds at the
#: least: callers who were refused meanwhile come back over that time, not at once.
_RETURN_PART: Final = 0.5
_RETURN_LEAST: Final = 100
#: Milliseconds of the longest return that a limit asks for.
_LONGEST_RETURN: Final = 30 * SECOND
#: Part of its time left that a caller is asked to wait at the most; callers wait for up
#: to a third of it.
_RETRY_PART: Final = 0.32
_BAD_GATEWAY: Final = 502
_UNAVAILABLE: Final = 503
_GATEWAY_TIMEOUT: Final = 504
_BAD_REQUEST: Final = 400


class ReturnLine:
    """Times to come back for callers who are refused because of a limit; thread-safe.

    Each gets the next moment at which this entry may send a request that was not given to
    another caller. Told the first such moment, all would come at it, for one request.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        #: Time on the clock of the last moment given, by service.
        self._given: dict[str, float] = {}

    def place(self, service: str, wait: int, part: float) -> int:
        """Return the milliseconds after which a caller should come back.

        ``wait`` are those until the next request may be sent, ``part`` is how many may be sent
        a second.
        """
        now = self._clock.now()
        step = SECOND / part if part else _LONGEST_RETURN
        with self._lock:
            moment = max(now + wait, self._given.get(service, 0.0) + step)
            moment = min(moment, now + _LONGEST_RETURN)
            self._given[service] = moment
        return max(1, round(moment - now))


class Refusals:
    """Gives requests up, by what is known of the backends."""

    def __init__(self, roster: Roster, clock: Clock, rng: random.Random) -> None:
        self._roster = roster
        self._clock = clock
        self._rng = rng
        self._line = ReturnLine(clock)

    def give_up(
        self, call: DirectCall, detail: str, cause: NotRun | MayHaveRun | NoneAvailable
    ) -> GaveUp | BrokeOff:
        """Return the last word to a caller whose request no backend has answered."""
        if call.delivered:
            return BrokeOff(detail)
        out_of_time = call.deadline - self._clock.now() < LEAST_TIME
        if call.may_have_run:
            return GaveUp(_GATEWAY_TIMEOUT if out_of_time else _BAD_GATEWAY, detail)
        if isinstance(cause, NotRun) and cause.cause is NotRunCause.REJECTED:
            return GaveUp(_BAD_REQUEST, detail)
        return GaveUp(_UNAVAILABLE, detail, retry_after=self._retry_after(call, cause))

    def _retry_after(self, call: DirectCall, cause: NotRun | MayHaveRun | NoneAvailable) -> int:
        """Return when the caller should come back, by what kept the request from running.

        Where backends have said when they take requests again, the caller is told so, also
        if it cannot wait so long: a shorter time would bring it back to be refused again.
        """
        wait = self._roster.time_until_available(call.service)
        if isinstance(cause, NoneAvailable) and cause.reason is Reason.LIMITED:
            return self._line.place(call.service, wait, self._roster.rate_limit_share(call.service))
        if wait:
            return wait + self._rng.randint(1, max(_RETURN_LEAST, round(wait * _RETURN_PART)))
        bounds = _RETRY_FULL
        if self._roster.is_service_stalled(call.service) or _is_lasting(call, cause):
            bounds = _RETRY_AWAY
        elif isinstance(cause, NoneAvailable) and cause.reason is Reason.OVERLOADED:
            bounds = _RETRY_CROWDED
        longest = round((call.deadline - self._clock.now()) * _RETRY_PART)
        return max(1, min(self._rng.randint(*bounds), longest))


def _is_lasting(call: DirectCall, cause: NotRun | MayHaveRun | NoneAvailable) -> bool:
    """Tell whether what kept a request from running takes seconds to mend.

    So it does where a rank of the backend's group is missing, and where the list of
    backends is older than their last start: it catches up within some two seconds. An
    entry that has just started may know nothing of groups yet. Told 150 to 400 ms after
    all machines had been restarted, two of three callers came back too early.
    """
    if not isinstance(cause, NotRun):
        return False
    lacks_rank = cause.at_fault not in ("", call.tried[-1].chosen.endpoint.id)
    return lacks_rank or cause.cause is NotRunCause.MOVED
