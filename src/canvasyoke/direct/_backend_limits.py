"""Rate limits of backends, and this entry's share of them.

A backend under load can limit the requests a second that it accepts from all entries together.
Each entry that knows the limit enforces its own share with a local token bucket, without
coordination. In a small fleet each entry may store one token. In a large fleet the stored tokens
could all be spent in one burst, so unused tokens expire and part of the rate stays unused.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from canvasyoke._clock import SECOND, Clock

#: What a backend tolerates in a window of so many seconds: a multiple of its rate limit, plus a
#: fixed number of requests.
_TOLERANCE_WINDOW_S: Final = 4
_TOLERANCE_FACTOR: Final = 1.5
_TOLERANCE_EXTRA: Final = 5
#: Fraction of the rate that a large fleet uses. Its tokens arrive independently of each other;
#: the lifetime of a token keeps the sum within the tolerance by so many standard deviations.
_LARGE_FLEET_UTILIZATION: Final = 0.8
_DEVIATIONS: Final = 3.0
#: Seconds of an entry's share that it may send at once, beyond one request.
_BURST_S: Final = 1.0
#: Lowest rate that is enforced, in requests a second of all entries. Limits are only updated by
#: answers, so some requests must always be sent.
_MIN_RATE: Final = 0.05

#: Runs for which limits are kept; the oldest are dropped first.
_MAX_RUNS: Final = 10_000


@dataclass(frozen=True, slots=True)
class RateLimit:
    """A rate limit as stated by a backend."""

    #: Requests a second of all entries; ``None`` for no limit.
    rate: float | None
    #: Milliseconds since an entry received it from the backend.
    age: int = 0


@dataclass(frozen=True, slots=True)
class Share:
    """This entry's share of the rate limits of a service's backends."""

    #: 0 to 1; those of all entries add up to 1.
    fraction: float
    #: Number of entries that have a share.
    entries: int


#: The share of an entry that is alone.
WHOLE_SHARE: Final = Share(1.0, 1)


@dataclass(frozen=True, slots=True)
class _RefillPolicy:
    """How an entry's tokens for one backend are added and expire."""

    #: Tokens a second.
    refill_rate: float
    #: Tokens added during the lifetime of an unused one; 1 or more if tokens do not expire.
    tokens_per_lifetime: float

    @classmethod
    def of(cls, limit: float, share: Share) -> _RefillPolicy:
        """Return the policy for a share of a rate limit."""
        tolerated = _TOLERANCE_FACTOR * _TOLERANCE_WINDOW_S * limit + _TOLERANCE_EXTRA
        sent = (_TOLERANCE_WINDOW_S + _BURST_S) * limit
        if share.entries <= tolerated - sent:
            return cls(limit * share.fraction, 1.0)
        # The mean of a Poisson distribution that stays within the tolerance by _DEVIATIONS.
        mean = ((math.sqrt(_DEVIATIONS**2 + 4 * tolerated) - _DEVIATIONS) / 2) ** 2
        lifetime = mean / (_LARGE_FLEET_UTILIZATION * limit) - _TOLERANCE_WINDOW_S
        refill_rate = limit * share.fraction * _LARGE_FLEET_UTILIZATION
        return cls(refill_rate, min(1.0, max(0.0, refill_rate * lifetime)))


@dataclass(slots=True)
class _TokenBucket:
    """Not thread-safe."""

    #: Requests a second of all entries; ``None`` once the backend has lifted its limit.
    rate: float | None
    #: Time on the clock at which some entry received the latest limit.
    received_at: int
    #: Requests that may be sent now, including the fraction accrued so far.
    tokens: float
    #: Time on the clock of the latest refill.
    refilled_at: int

    def refill(self, policy: _RefillPolicy, now: int) -> None:
        """Add the tokens accrued since the last refill, and drop those that have expired."""
        tokens = self.tokens + policy.refill_rate * (now - self.refilled_at) / SECOND
        if policy.tokens_per_lifetime >= 1:
            tokens = min(tokens, 1 + policy.refill_rate * _BURST_S)
        elif tokens > 1 + policy.tokens_per_lifetime:
            tokens = math.fmod(tokens, 1.0)
        self.tokens, self.refilled_at = tokens, now

    def consume(self, policy: _RefillPolicy) -> None:
        """Use one token."""
        self.tokens = min(self.tokens, 1 + policy.refill_rate * _BURST_S) - 1


@dataclass(slots=True)
class BackendLimits:
    """Rate limits by backend run, with the keys of ``BackendNotices``.

    Not thread-safe; guarded by the roster's lock.
    """

    clock: Clock
    rng: random.Random
    #: Returns this entry's share in a service.
    share: Callable[[str], Share] = lambda _service: WHOLE_SHARE
    _buckets: dict[tuple[str, str], _TokenBucket] = field(default_factory=dict)

    @property
    def has_buckets(self) -> bool:
        """Return whether any backend has ever stated a rate limit."""
        return bool(self._buckets)

    @property
    def has_any(self) -> bool:
        """Return whether any rate limit is in effect."""
        return any(bucket.rate is not None for bucket in self._buckets.values())

    def update(self, key: tuple[str, str], limit: RateLimit) -> bool:
        """Apply a limit received here or by another entry; return whether it changes anything.

        The limit that was received from the backend last wins.
        """
        now = self.clock.now()
        received_at = now - limit.age
        rate = None if limit.rate is None else max(_MIN_RATE, limit.rate)
        known = self._buckets.get(key)
        if known is None:
            if rate is not None:
                # Entries learn of a limit together: full buckets would be spent in one burst.
                self._buckets[key] = _TokenBucket(rate, received_at, self.rng.random(), now)
            if len(self._buckets) > _MAX_RUNS:
                del self._buckets[next(iter(self._buckets))]
            return rate is not None
        if received_at <= known.received_at:
            return False
        is_new = rate != known.rate
        known.rate, known.received_at = rate, received_at
        return is_new

    def latest(self, key: tuple[str, str]) -> RateLimit | None:
        """Return a backend's latest limit; ``None`` if it has never stated one."""
        bucket = self._buckets.get(key)
        if bucket is None:
            return None
        return RateLimit(bucket.rate, max(0, self.clock.now() - bucket.received_at))

    def wait(self, key: tuple[str, str], service: str) -> int:
        """Return the milliseconds until this entry may send a backend one more request."""
        bucket = self._buckets.get(key)
        if bucket is None or bucket.rate is None:
            return 0
        policy = _RefillPolicy.of(bucket.rate, self.share(service))
        bucket.refill(policy, self.clock.now())
        missing = 1 - bucket.tokens
        return math.ceil(missing / policy.refill_rate * SECOND) if missing > 0 else 0

    def entry_rate(self, key: tuple[str, str], service: str) -> float:
        """Return the requests a second that this entry may send a backend; 0 for no limit."""
        bucket = self._buckets.get(key)
        if bucket is None or bucket.rate is None:
            return 0.0
        return _RefillPolicy.of(bucket.rate, self.share(service)).refill_rate

    def record_sent(self, key: tuple[str, str], service: str) -> None:
        """Consume a token for a request to a backend."""
        bucket = self._buckets.get(key)
        if bucket is not None and bucket.rate is not None:
            bucket.consume(_RefillPolicy.of(bucket.rate, self.share(service)))

    def refund(self, key: tuple[str, str]) -> None:
        """Return the token of a request that did not reach the backend."""
        bucket = self._buckets.get(key)
        if bucket is not None:
            bucket.tokens += 1
