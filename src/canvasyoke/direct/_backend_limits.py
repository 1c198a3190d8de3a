"""How many requests a second backends take from all entries together, and this entry's part.

A backend in need names a rate. Each entry that has heard of it, from the backend or from another
entry, keeps to its part of that rate by a bucket of its own, which nobody has to be asked about.
Among few entries each may save one request. Among more a burst would bring the saved one of
each: there tokens perish, and a part of the rate stays unused, since nobody deals the moments.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from canvasyoke._clock import SECOND, Clock

#: What a backend bears for a while beyond its rate: so many seconds of it, so many times as
#: much, and so many requests more.
_BORNE_FOR_S: Final = 4
_BORNE_TIMES: Final = 1.5
_BORNE_MORE: Final = 5
#: Part of the rate that is used where entries are many. Their tokens come at moments that are
#: independent of each other and may fall together, by so many standard deviations.
_USED_OF_MANY: Final = 0.8
_DEVIATIONS: Final = 3.0
#: Seconds of an entry's part that it may send at once, beyond one request.
_BURST_S: Final = 1.0
#: Least rate that is kept to, in requests a second of all entries: a backend that takes none
#: at all could never say otherwise.
_LEAST_RATE: Final = 0.05

#: Runs of which rates are kept; the oldest are dropped first.
_LIMIT: Final = 10_000


@dataclass(frozen=True, slots=True)
class RateWord:
    """A backend's word on the rate that it takes."""

    #: Requests a second of all entries; ``None`` where it takes whatever comes.
    rate: float | None
    #: Milliseconds since an entry heard it from the backend.
    age: int = 0


@dataclass(frozen=True, slots=True)
class Share:
    """This entry's part of what the backends of a service take."""

    #: 0 to 1; those of all entries add up to 1.
    part: float
    #: How many entries have one.
    entries: int


#: The share of an entry that is alone.
ALONE: Final = Share(1.0, 1)


@dataclass(frozen=True, slots=True)
class _Flow:
    """How an entry's tokens for one backend come and go."""

    #: Tokens a second.
    part: float
    #: Tokens that come while one that is not used lives; one or more if it never perishes.
    saved: float

    @classmethod
    def of(cls, rate: float, share: Share) -> _Flow:
        """Return the flow of a share of a rate."""
        borne = _BORNE_TIMES * _BORNE_FOR_S * rate + _BORNE_MORE
        sent = (_BORNE_FOR_S + _BURST_S) * rate
        if share.entries <= borne - sent:
            return cls(rate * share.part, 1.0)
        # The mean that is exceeded by what is borne only at so many deviations from it.
        mean = ((math.sqrt(_DEVIATIONS**2 + 4 * borne) - _DEVIATIONS) / 2) ** 2
        life = mean / (_USED_OF_MANY * rate) - _BORNE_FOR_S
        part = rate * share.part * _USED_OF_MANY
        return cls(part, min(1.0, max(0.0, part * life)))


@dataclass(slots=True)
class _Bucket:
    """Not thread-safe."""

    #: Requests a second of all entries; ``None`` once the backend has taken its word back.
    rate: float | None
    #: Time on the clock at which some entry heard the latest word.
    heard_at: int
    #: Requests that may be sent now; parts of one grow on.
    level: float
    #: Time on the clock up to which it has grown.
    grown_at: int

    def grow(self, flow: _Flow, now: int) -> None:
        """Let tokens come, and those perish that nobody has used."""
        grown = self.level + flow.part * (now - self.grown_at) / SECOND
        if flow.saved >= 1:
            grown = min(grown, 1 + flow.part * _BURST_S)
        elif grown > 1 + flow.saved:
            grown = math.fmod(grown, 1.0)
        self.level, self.grown_at = grown, now

    def take(self, flow: _Flow) -> None:
        """Use one token."""
        self.level = min(self.level, 1 + flow.part * _BURST_S) - 1


@dataclass(slots=True)
class BackendLimits:
    """Not thread-safe, the roster guards it. Keys are those of ``BackendWords``."""

    clock: Clock
    rng: random.Random
    #: Returns this entry's share in a service.
    share: Callable[[str], Share] = lambda _service: ALONE
    _buckets: dict[tuple[str, str], _Bucket] = field(default_factory=dict)

    @property
    def has_buckets(self) -> bool:
        """Tell whether any backend has ever named a rate."""
        return bool(self._buckets)

    @property
    def is_any(self) -> bool:
        """Tell whether any backend limits what it takes."""
        return any(bucket.rate is not None for bucket in self._buckets.values())

    def took(self, key: tuple[str, str], word: RateWord) -> bool:
        """Take a word, heard here or told by another entry; false if it changes nothing.

        Of several the one that was heard last holds.
        """
        now = self.clock.now()
        heard_at = now - word.age
        rate = None if word.rate is None else max(_LEAST_RATE, word.rate)
        known = self._buckets.get(key)
        if known is None:
            if rate is not None:
                # Entries hear it together: full buckets would make one burst of it.
                self._buckets[key] = _Bucket(rate, heard_at, self.rng.random(), now)
            if len(self._buckets) > _LIMIT:
                del self._buckets[next(iter(self._buckets))]
            return rate is not None
        if heard_at <= known.heard_at:
            return False
        is_news = rate != known.rate
        known.rate, known.heard_at = rate, heard_at
        return is_news

    def rate(self, key: tuple[str, str]) -> RateWord | None:
        """Return the latest word on a backend's rate; ``None`` if it has never named one."""
        bucket = self._buckets.get(key)
        if bucket is None:
            return None
        return RateWord(bucket.rate, max(0, self.clock.now() - bucket.heard_at))

    def wait(self, key: tuple[str, str], service: str) -> int:
        """Return the milliseconds until this entry may send a backend one more request."""
        bucket = self._buckets.get(key)
        if bucket is None or bucket.rate is None:
            return 0
        flow = _Flow.of(bucket.rate, self.share(service))
        bucket.grow(flow, self.clock.now())
        missing = 1 - bucket.level
        return math.ceil(missing / flow.part * SECOND) if missing > 0 else 0

    def part(self, key: tuple[str, str], service: str) -> float:
        """Return this entry's part of a backend's rate; 0 where it names none."""
        bucket = self._buckets.get(key)
        if bucket is None or bucket.rate is None:
            return 0.0
        return _Flow.of(bucket.rate, self.share(service)).part

    def sent(self, key: tuple[str, str], service: str) -> None:
        """Take note that a request is sent there."""
        bucket = self._buckets.get(key)
        if bucket is not None and bucket.rate is not None:
            bucket.take(_Flow.of(bucket.rate, self.share(service)))

    def was_not_sent(self, key: tuple[str, str]) -> None:
        """Give back what a request took that did not arrive after all."""
        bucket = self._buckets.get(key)
        if bucket is not None:
            bucket.level += 1
