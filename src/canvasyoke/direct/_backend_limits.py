"""Rate limits of backends, and this entry's share of them.

A backend under load can limit the requests a second that it accepts from all entries together.
Each entry that knows the limit enforces its own share with a local token bucket, without
coordination. In a small fleet each entry may store one token. In a large fleet the stored tokens
could all be spent in one burst. There a few entries hold parts of a backend's rate
(``_backend_parts``), each for a fixed number of requests within a window. Where the names of the
entries are not known, unused tokens expire and part of the rate stays unused.

Cold backends (``_cold_backends``) are limited in addition, by parts in fleets of all sizes.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.direct._backend_parts import BackendParts
from canvasyoke.direct._cold_backends import ColdBackends
from canvasyoke.direct._send_window import SendWindow

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

#: Fraction of the tolerated requests that is divided into parts in a large fleet. The rest is
#: for a third more entries that join, whom the others have not heard of.
_DIVIDED_FRACTION: Final = 0.8
#: Least length in milliseconds of the window of a part: the tolerance window, plus a margin for
#: the resolution of the clock.
_MIN_PART_WINDOW: Final = _TOLERANCE_WINDOW_S * SECOND + 50

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
        tolerated = _tolerated(limit)
        if may_store_tokens(limit, share.entries):
            return cls(limit * share.fraction, 1.0)
        # The mean of a Poisson distribution that stays within the tolerance by _DEVIATIONS.
        mean = ((math.sqrt(_DEVIATIONS**2 + 4 * tolerated) - _DEVIATIONS) / 2) ** 2
        lifetime = mean / (_LARGE_FLEET_UTILIZATION * limit) - _TOLERANCE_WINDOW_S
        refill_rate = limit * share.fraction * _LARGE_FLEET_UTILIZATION
        return cls(refill_rate, min(1.0, max(0.0, refill_rate * lifetime)))


def _tolerated(limit: float) -> float:
    """Return the requests that a backend tolerates in a window from all entries."""
    return _TOLERANCE_FACTOR * _TOLERANCE_WINDOW_S * limit + _TOLERANCE_EXTRA


def may_store_tokens(limit: float, entries: int) -> bool:
    """Return whether one stored token of each entry fits into what a backend tolerates."""
    return entries <= _tolerated(limit) - (_TOLERANCE_WINDOW_S + _BURST_S) * limit


@dataclass(frozen=True, slots=True)
class _PartPolicy:
    """How many requests an entry may send a backend within a window."""

    #: 0 if this entry holds no part of the backend.
    requests: int
    #: Milliseconds.
    window: int

    @property
    def rate(self) -> float:
        """Requests a second; of an entry that holds a part if this one does not."""
        return max(1, self.requests) * SECOND / self.window


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
    #: Recent requests, for a part of the rate.
    window: SendWindow = field(default_factory=SendWindow)

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
    #: This entry's parts of the backends, and the limits of cold ones.
    parts: BackendParts = field(init=False)
    cold: ColdBackends = field(init=False)
    _buckets: dict[tuple[str, str], _TokenBucket] = field(default_factory=dict)
    #: Clock time at which this entry started. What it sent before is not known.
    _started_at: int = field(init=False)

    def __post_init__(self) -> None:
        self.parts = BackendParts(self.clock)
        self.cold = ColdBackends(self.clock, self.parts)
        self._started_at = self.clock.now()

    @property
    def may_limit(self) -> bool:
        """Return whether any backend has ever stated a rate limit, or may be cold now."""
        return bool(self._buckets) or self.cold.may_have_any

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
        stated = self._stated_wait(key, service) if self._buckets else 0
        return max(self.cold.wait(key), stated)

    def _stated_wait(self, key: tuple[str, str], service: str) -> int:
        bucket = self._buckets.get(key)
        if bucket is None or bucket.rate is None:
            return 0
        held = self._part_policy(key, bucket.rate, service)
        if held is not None:
            if not held.requests:
                return held.window
            now = self.clock.now()
            wait = bucket.window.wait(held.requests, held.window, now)
            return max(wait, self._started_at + held.window - now)
        policy = _RefillPolicy.of(bucket.rate, self.share(service))
        bucket.refill(policy, self.clock.now())
        missing = 1 - bucket.tokens
        return math.ceil(missing / policy.refill_rate * SECOND) if missing > 0 else 0

    def _part_policy(self, key: tuple[str, str], rate: float, service: str) -> _PartPolicy | None:
        """Return the policy for a part of a rate limit; ``None`` if shares apply.

        Shares follow the demand at the entries, so they are used where demand is exchanged.
        """
        if not self.parts.is_known or self.parts.is_full_mesh:
            return None
        if may_store_tokens(rate, self.share(service).entries):
            return None
        requests = math.floor(_DIVIDED_FRACTION * _tolerated(rate))
        window = max(_MIN_PART_WINDOW, math.ceil(requests / rate * SECOND))
        return _PartPolicy(self.parts.part(key[0], requests), window)

    def entry_rate(self, key: tuple[str, str], service: str) -> float:
        """Return the requests a second that this entry may send a backend; 0 for no limit."""
        bucket = self._buckets.get(key)
        if bucket is None or bucket.rate is None:
            return 0.0
        held = self._part_policy(key, bucket.rate, service)
        if held is not None:
            return held.rate
        return _RefillPolicy.of(bucket.rate, self.share(service)).refill_rate

    def record_sent(self, key: tuple[str, str], service: str) -> None:
        """Consume a token for a request to a backend."""
        self.cold.record_sent(key)
        bucket = self._buckets.get(key)
        if bucket is None or bucket.rate is None:
            return
        held = self._part_policy(key, bucket.rate, service)
        if held is not None:
            bucket.window.reserve(held.window, self.clock.now())
        else:
            bucket.consume(_RefillPolicy.of(bucket.rate, self.share(service)))

    def refund(self, key: tuple[str, str]) -> None:
        """Return the token of a request that did not reach the backend."""
        self.cold.refund(key)
        bucket = self._buckets.get(key)
        if bucket is not None:
            bucket.tokens += 1
            bucket.window.refund()

    def record_written(self, key: tuple[str, str]) -> None:
        """Record that a request is written to a backend now, after its connection was made."""
        self.cold.record_written(key)
        bucket = self._buckets.get(key)
        if bucket is not None and bucket.rate is not None:
            bucket.window.record_written(self.clock.now())
