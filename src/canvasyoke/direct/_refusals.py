"""Final responses to requests that no backend answered, with ``Retry-After``."""

from __future__ import annotations

import random
import threading
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.backend import MayHaveRun, NotRun, NotRunCause
from canvasyoke.direct._call import DirectCall, ErrorAnswer, IncompleteAnswer
from canvasyoke.direct._choice import NoneAvailable
from canvasyoke.direct._return_times import ReturnTimes
from canvasyoke.direct._roster import Roster
from canvasyoke.protocol import Reason

#: Minimum time to the deadline, in milliseconds, for another attempt.
MIN_ATTEMPT_TIME: Final = 20
#: Ranges of ``Retry-After`` in milliseconds, from which a value is drawn at random so that callers
#: refused together do not return together: a full backend frees a slot within a step or two, a
#: queue needs longer to drain, and a group that lost a rank needs seconds to recover. When an
#: evacuation is taken back is unknown, so its callers return as late as they may.
_RETRY_FULL: Final = (150, 400)
_RETRY_OVERLOADED: Final = (800, 2_400)
_RETRY_UNAVAILABLE: Final = (2_400, 2_600)
#: Random delay added to a backoff, as a fraction of its remaining time, and its least upper bound
#: in milliseconds. It spreads the return of the callers refused meanwhile.
_BACKOFF_SPREAD: Final = 0.5
_MIN_BACKOFF_SPREAD: Final = 100
#: Longest ``Retry-After`` in milliseconds for a rate limit.
_MAX_RETRY_AFTER: Final = 30 * SECOND
#: Largest ``Retry-After`` as a fraction of the caller's remaining time.
_RETRY_FRACTION: Final = 0.32
_BAD_GATEWAY: Final = 502
_UNAVAILABLE: Final = 503
_GATEWAY_TIMEOUT: Final = 504
_BAD_REQUEST: Final = 400


class RetryScheduler:
    """Assigns retry times to callers refused because of a rate limit; thread-safe.

    Each caller gets the next time at which this entry may send a request and that was not given to
    another caller. Otherwise all of them would return at once, for one request.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        #: Clock time of the last retry time assigned, by service.
        self._assigned: dict[str, float] = {}

    def assign(self, service: str, wait: int, rate: float) -> int:
        """Return the milliseconds after which a caller should retry.

        ``wait`` is the time until the next request may be sent in milliseconds, ``rate`` the
        permitted rate per second.
        """
        now = self._clock.now()
        interval = SECOND / rate if rate else _MAX_RETRY_AFTER
        with self._lock:
            retry_at = max(now + wait, self._assigned.get(service, 0.0) + interval)
            retry_at = min(retry_at, now + _MAX_RETRY_AFTER)
            self._assigned[service] = retry_at
        return max(1, round(retry_at - now))


class RefusalPolicy:
    """Chooses the final response to a request from the state of the backends."""

    def __init__(
        self, roster: Roster, return_times: ReturnTimes, clock: Clock, rng: random.Random
    ) -> None:
        self._roster = roster
        self._clock = clock
        self._rng = rng
        self._scheduler = RetryScheduler(clock)
        self._return_times = return_times

    def final_answer(
        self, call: DirectCall, detail: str, cause: NotRun | MayHaveRun | NoneAvailable
    ) -> ErrorAnswer | IncompleteAnswer:
        """Return the final response to a request that no backend answered."""
        if call.delivered:
            return IncompleteAnswer(detail)
        out_of_time = call.deadline - self._clock.now() < MIN_ATTEMPT_TIME
        if call.may_have_run:
            return ErrorAnswer(_GATEWAY_TIMEOUT if out_of_time else _BAD_GATEWAY, detail)
        if isinstance(cause, NotRun) and cause.cause is NotRunCause.REJECTED:
            return ErrorAnswer(_BAD_REQUEST, detail)
        return ErrorAnswer(_UNAVAILABLE, detail, retry_after=self._retry_after(call, cause))

    def _retry_after(self, call: DirectCall, cause: NotRun | MayHaveRun | NoneAvailable) -> int:
        """Return ``Retry-After`` in milliseconds, depending on why the request did not run.

        A backoff or limit announced by backends is reported in full, even past the deadline of the
        caller: with a shorter time it would return only to be refused again.
        """
        is_evacuated = self._roster.is_service_evacuated(call.service)
        wait = 0 if is_evacuated else self._roster.time_until_available(call.service)
        if isinstance(cause, NoneAvailable) and cause.reason is Reason.LIMITED:
            return self._scheduler.assign(
                call.service, wait, self._roster.rate_limit_share(call.service)
            )
        if wait:
            return wait + self._rng.randint(
                1, max(_MIN_BACKOFF_SPREAD, round(wait * _BACKOFF_SPREAD))
            )
        if not is_evacuated and self._return_times.applies(call) and not _is_moved(cause):
            return self._return_times.assign(call)
        bounds = _RETRY_FULL
        is_stalled = self._roster.is_service_stalled(call.service)
        if is_evacuated or is_stalled or _recovers_slowly(call, cause):
            bounds = _RETRY_UNAVAILABLE
        elif isinstance(cause, NoneAvailable) and cause.reason is Reason.OVERLOADED:
            bounds = _RETRY_OVERLOADED
        longest = round((call.deadline - self._clock.now()) * _RETRY_FRACTION)
        return max(1, min(self._rng.randint(*bounds), longest))


def _recovers_slowly(call: DirectCall, cause: NotRun | MayHaveRun | NoneAvailable) -> bool:
    """Return whether the cause of a refusal takes seconds to recover.

    This holds if a rank of the group of the backend is missing, and if the list of backends is
    older than their last restart. It does not depend on known groups, since an entry that has just
    started may know none.
    """
    if not isinstance(cause, NotRun):
        return False
    lacks_rank = cause.faulty_backend not in ("", call.attempts[-1].chosen.endpoint.id)
    return lacks_rank or cause.cause is NotRunCause.MOVED


def _is_moved(cause: NotRun | MayHaveRun | NoneAvailable) -> bool:
    """Return whether the list of backends is outdated, so that their states are unknown."""
    return isinstance(cause, NotRun) and cause.cause is NotRunCause.MOVED
