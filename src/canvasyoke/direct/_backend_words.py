"""What backends have said of themselves in their answers, for as long as it holds.

That an entry is to back off binds the one that was asked, until the time that was named. That a run
leaves holds until it has ended. Both are kept by run and address, not with the backend's place
in the list: an entry of the store lapses while the store is away, and comes back.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from canvasyoke._clock import SECOND, Clock
from canvasyoke.backend import BackendNotice
from canvasyoke.direct._backend_limits import BackendLimits, RateWord
from canvasyoke.state import Endpoint

#: Milliseconds of backoff that one answer can ask for. A backend that named a time without an
#: end by mistake is asked again after it.
LONGEST_BACKOFF: Final = 600 * SECOND
#: Milliseconds by which the end of a backoff must be later to be news: refusals that were under
#: way together name ends that differ by no more.
_NEWS_STEP: Final = 500
#: Runs of which words are kept; the oldest are dropped first.
_LIMIT: Final = 10_000

#: A run of a backend, and its address: a run that does not tell its start is another one at
#: another address.
_Key: TypeAlias = tuple[str, str]


@dataclass(frozen=True, slots=True)
class WordChange:
    """What an answer's notice has changed."""

    #: Milliseconds of backoff from now on; 0 where that is no news.
    backoff: int = 0
    #: Whether the backend was not known to leave.
    leaves: bool = False
    #: Its word on the rate that it takes, where that is another than before.
    limit: RateWord | None = None

    @property
    def is_any(self) -> bool:
        """Tell whether anything has changed."""
        return bool(self.backoff) or self.leaves or self.limit is not None


_NO_CHANGE: Final = WordChange()


@dataclass(frozen=True, slots=True)
class ToldWord:
    """A backend's word as entries tell it each other."""

    #: Run of the backend, and its address.
    run: str
    address: str
    #: Milliseconds for which it wants nothing from one of the entries.
    backoff: int = 0
    is_leaving: bool = False
    #: Its word on the rate that it takes; ``None`` if it has never named one.
    limit: RateWord | None = None


@dataclass(slots=True)
class _Word:
    #: Time on the clock at which the latest of all backoffs ends.
    backoff_until: int = 0
    #: The same for other entries.
    backoff_elsewhere_until: int = 0
    is_leaving: bool = False


@dataclass(slots=True)
class BackendWords:
    """Not thread-safe, the roster guards it."""

    clock: Clock
    #: Rates that backends take.
    limits: BackendLimits
    _words: dict[_Key, _Word] = field(default_factory=dict)

    @property
    def is_any(self) -> bool:
        """Tell whether any word is kept; it spares each choice to look where there is none."""
        return bool(self._words) or self.limits.has_buckets

    def took(self, endpoint: Endpoint, notice: BackendNotice) -> WordChange:
        """Take the notice in an answer of a backend, and return what it changes.

        Of several backoffs the latest end holds: answers of before pass later ones on the way.
        """
        limit = self._took_limit(endpoint, notice)
        if not notice.backoff and not notice.is_leaving:
            return WordChange(limit=limit) if limit is not None else _NO_CHANGE
        now = self.clock.now()
        word = self._find(_key(endpoint))
        backoff = min(notice.backoff, LONGEST_BACKOFF)
        change = WordChange(
            backoff=backoff if now + backoff > word.backoff_until + _NEWS_STEP else 0,
            leaves=notice.is_leaving and not word.is_leaving,
            limit=limit,
        )
        word.backoff_until = max(word.backoff_until, now + backoff)
        word.is_leaving = word.is_leaving or notice.is_leaving
        return change

    def _took_limit(self, endpoint: Endpoint, notice: BackendNotice) -> RateWord | None:
        """Take what an answer says, or no longer says, of a limit; return it if it is news."""
        if not notice.tells_limit:
            return None
        word = RateWord(notice.rate_limit)
        return word if self.limits.took(_key(endpoint), word) else None

    def limit_wait(self, endpoint: Endpoint) -> int:
        """Return the milliseconds until this entry's part of a limit has room again."""
        return self.limits.wait(_key(endpoint), endpoint.service)

    def limit_part(self, endpoint: Endpoint) -> float:
        """Return this entry's part of the rate that a backend takes; 0 where it names none."""
        return self.limits.part(_key(endpoint), endpoint.service)

    def sent(self, endpoint: Endpoint) -> None:
        """Take note that a backend was chosen for a request."""
        self.limits.sent(_key(endpoint), endpoint.service)

    def was_not_sent(self, endpoint: Endpoint) -> None:
        """Take note that the request did not get there."""
        self.limits.was_not_sent(_key(endpoint))

    def backoff_left(self, endpoint: Endpoint) -> int:
        """Return the milliseconds for which a backend wants nothing from this entry."""
        word = self._words.get(_key(endpoint))
        return max(0, word.backoff_until - self.clock.now()) if word is not None else 0

    def heard(self, told: ToldWord) -> bool:
        """Take what another entry has heard from a backend; false if it is no news."""
        key = (told.run, told.address)
        is_limit_news = told.limit is not None and self.limits.took(key, told.limit)
        if not told.backoff and not told.is_leaving:
            return is_limit_news
        now = self.clock.now()
        word = self._find(key)
        until = now + min(told.backoff, LONGEST_BACKOFF)
        known = max(now, word.backoff_until, word.backoff_elsewhere_until)
        is_news = until > known + _NEWS_STEP or (told.is_leaving and not word.is_leaving)
        word.backoff_elsewhere_until = max(word.backoff_elsewhere_until, until)
        word.is_leaving = word.is_leaving or told.is_leaving
        return is_news or is_limit_news

    def to_tell(self, endpoint: Endpoint) -> ToldWord | None:
        """Return what still holds of a backend's word; ``None`` for nothing."""
        key = _key(endpoint)
        word = self._words.get(key, _Word())
        limit = self.limits.rate(key)
        until = max(word.backoff_until, word.backoff_elsewhere_until)
        backoff = max(0, until - self.clock.now())
        if not backoff and not word.is_leaving and limit is None:
            return None
        return ToldWord(endpoint.run, endpoint.address, backoff, word.is_leaving, limit)

    def backs_off_elsewhere(self, endpoint: Endpoint) -> bool:
        """Tell whether a backend wants nothing from another entry."""
        word = self._words.get(_key(endpoint)) if self._words else None
        return word is not None and self.clock.now() < word.backoff_elsewhere_until

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Tell whether a run has said that it is about to end."""
        word = self._words.get(_key(endpoint)) if self._words else None
        return word is not None and word.is_leaving

    def backing_off(self, endpoints: Iterable[Endpoint]) -> int:
        """Return how many of ``endpoints`` want nothing from this entry."""
        return sum(1 for endpoint in endpoints if self.backoff_left(endpoint))

    def leaving(self, endpoints: Iterable[Endpoint]) -> int:
        """Return how many of ``endpoints`` have said that they leave."""
        return sum(1 for endpoint in endpoints if self.is_leaving(endpoint))

    def _find(self, key: _Key) -> _Word:
        word = self._words.setdefault(key, _Word())
        while len(self._words) > _LIMIT:
            del self._words[next(iter(self._words))]
        return word


def _key(endpoint: Endpoint) -> _Key:
    return endpoint.run, endpoint.address
