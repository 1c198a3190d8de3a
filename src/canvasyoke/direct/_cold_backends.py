"""Tracks which backends are cold, and limits what this entry sends them.

An engine that has just started, or was out of use, accepts few requests a second from all
entries together and crashes if it gets many more, together with its rank group. It is also the
least loaded one, so without a limit all entries choose it at once.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property
from typing import Final, TypeAlias

from canvasyoke._clock import SECOND, Clock
from canvasyoke.direct._backend_parts import BackendParts
from canvasyoke.direct._send_window import SendWindow
from canvasyoke.state import Endpoint

#: Length in milliseconds of the window in which requests are limited: the platform counts those
#: within a second, plus a margin for the resolution of the clock.
_WINDOW: Final = 1_050
#: Fraction of the tolerated requests that is divided among the entries. Two groups of entries
#: that know different entries then send no more than tolerated together.
_USED_FRACTION: Final = 0.5
#: The same in a fleet in which some entries would otherwise hold no part of any backend.
_MAX_USED_FRACTION: Final = 0.6
#: Milliseconds after a failure to connect for which a backend that has not answered counts as
#: out of use.
_UNREACHABLE_TIME: Final = 10 * SECOND
#: Longest cold time in milliseconds that the store can state. Bounds the effect of a wrong value.
_MAX_STATED: Final = 600 * SECOND
#: Runs that are tracked although they are no longer listed; the oldest are dropped first. Their
#: entries in the store may have expired during an outage and are written again after it.
_MAX_REMOVED: Final = 1_000

#: A run of a backend and its address, as in ``BackendNotices``.
_Key: TypeAlias = tuple[str, str]


@dataclass(frozen=True)
class ColdRule:
    """Limit of a service's cold backends."""

    #: Requests a second that a cold backend accepts from all entries together.
    rate: float
    #: Milliseconds for which a backend stays cold after its start or return.
    time: int
    #: Requests within a second above which it crashes.
    tolerated: float

    @cached_property
    def requests(self) -> int:
        """Requests within the window that are divided among the entries."""
        return max(1, math.floor(self.tolerated * _USED_FRACTION))

    @cached_property
    def max_requests(self) -> int:
        """The same in a fleet that is too large for them."""
        return max(1, math.floor(self.tolerated * _MAX_USED_FRACTION))

    @cached_property
    def window(self) -> int:
        """Length of the window in milliseconds; longer than a second if the rate is low."""
        return max(_WINDOW, math.ceil(self.max_requests / self.rate * SECOND))


@dataclass(frozen=True, slots=True)
class ColdChange:
    """A backend that has turned cold or warm."""

    endpoint: Endpoint
    is_cold: bool
    #: What made it count as cold; empty if it is warm.
    source: str
    #: Milliseconds for which it remains cold.
    remaining: int


@dataclass(slots=True)
class _ColdRecord:
    endpoint: Endpoint
    is_listed: bool = True
    #: Clock time from which it has been in use; ``None`` if it was warm in the first list.
    in_use_since: int | None = None
    #: Clock time until which the store has stated that it is cold.
    stated_until: int = 0
    #: Clock time until which it counts as out of use because connecting has failed.
    unreachable_until: int = 0
    source: str = ""
    #: Whether it was reported as cold.
    was_cold: bool = False
    window: SendWindow = field(default_factory=SendWindow)

    def cold_until(self, rule: ColdRule) -> int:
        """Return the clock time at which it turns warm."""
        if self.in_use_since is None:
            return self.stated_until
        return max(self.stated_until, self.in_use_since + rule.time)


@dataclass(slots=True)
class ColdBackends:
    """Cold backends by run and address. Not thread-safe; guarded by the roster's lock."""

    clock: Clock
    parts: BackendParts
    #: Rules by service; services without one are not limited.
    rules: Mapping[str, ColdRule] = field(default_factory=dict)
    _records: dict[_Key, _ColdRecord] = field(default_factory=dict)
    #: Keys of the records that are not listed, in the order of their removal.
    _removed: dict[_Key, None] = field(default_factory=dict)
    #: Clock time at which this entry started. What it sent before is not known.
    _started_at: int = field(init=False)
    #: Latest times of all records. After them, and the cold time, no backend is cold.
    _last_in_use_since: int = -_MAX_STATED
    _last_stated_until: int = 0

    def __post_init__(self) -> None:
        self._started_at = self.clock.now()

    @property
    def may_have_any(self) -> bool:
        """Return whether any backend may be cold, so that callers can skip the lookups if not."""
        if not self.rules:
            return False
        longest = max(rule.time for rule in self.rules.values())
        return self.clock.now() < max(self._last_stated_until, self._last_in_use_since + longest)

    def record_listed(self, endpoint: Endpoint, is_new: bool, is_first_list: bool) -> None:
        """Record a listed backend or a change of one.

        A backend that is new after the first list may have just started. The first list has
        backends of any age, so those that it states as warm count as warm.
        """
        now = self.clock.now()
        key = _key(endpoint)
        record = self._records.setdefault(key, _ColdRecord(endpoint))
        record.endpoint, record.is_listed = endpoint, True
        self._removed.pop(key, None)
        stated = min(endpoint.cold_remaining, _MAX_STATED)
        if stated or record.stated_until > now:
            record.stated_until = now + stated
            self._last_stated_until = max(self._last_stated_until, record.stated_until)
        if stated:
            record.source = "store"
        if is_new and not is_first_list:
            self._set_in_use(record, now, "listed")

    def record_removed(self, endpoint: Endpoint) -> None:
        """Record that a backend is no longer listed."""
        key = _key(endpoint)
        record = self._records.get(key)
        if record is None:
            return
        record.is_listed = False
        self._removed[key] = None
        while len(self._removed) > _MAX_REMOVED:
            oldest = next(iter(self._removed))
            del self._removed[oldest], self._records[oldest]

    def record_unreachable(self, endpoint: Endpoint) -> None:
        """Record a failure to connect: the backend counts as cold until it has returned."""
        record = self._records.get(_key(endpoint))
        if record is not None:
            record.unreachable_until = self.clock.now() + _UNREACHABLE_TIME
            self._set_in_use(record, record.unreachable_until, "unreachable")

    def record_answer(self, endpoint: Endpoint) -> None:
        """Record an answer: the cold time of a backend that was unreachable begins."""
        record = self._records.get(_key(endpoint))
        if record is not None and record.unreachable_until:
            record.in_use_since = min(self.clock.now(), record.unreachable_until)
            record.unreachable_until = 0

    def mark_domain(self, domain: str, source: str) -> None:
        """Count all backends of a domain as cold from now on, since they were out of use."""
        now = self.clock.now()
        for record in self._records.values():
            if record.endpoint.domain == domain:
                self._set_in_use(record, now, source)

    def _set_in_use(self, record: _ColdRecord, since: int, source: str) -> None:
        """Count a backend as cold from ``since``, which can be in the future."""
        record.in_use_since, record.source = since, source
        self._last_in_use_since = max(self._last_in_use_since, since)

    def remaining(self, key: _Key) -> int:
        """Return the milliseconds for which a backend remains cold; 0 if it is warm."""
        record = self._records.get(key) if self.rules else None
        rule = self.rules.get(record.endpoint.service) if record is not None else None
        if record is None or rule is None:
            return 0
        return max(0, record.cold_until(rule) - self.clock.now())

    def wait(self, key: _Key) -> int:
        """Return the milliseconds until this entry may send a backend one more request."""
        record = self._records.get(key) if self.rules else None
        rule = self.rules.get(record.endpoint.service) if record is not None else None
        if record is None or rule is None:
            return 0
        now = self.clock.now()
        remaining = record.cold_until(rule) - now
        if remaining <= 0:
            return 0
        part = self.parts.part(record.endpoint.run, rule.requests, rule.max_requests)
        if not part:
            return min(remaining, rule.window)
        wait = max(record.window.wait(part, rule.window, now), self._started_at + rule.window - now)
        return min(remaining, wait)

    def entry_rate(self, key: _Key) -> float:
        """Return the requests a second that this entry may send a cold backend; 0 if warm."""
        if not self.remaining(key):
            return 0.0
        endpoint = self._records[key].endpoint
        rule = self.rules[endpoint.service]
        part = self.parts.part(endpoint.run, rule.requests, rule.max_requests)
        return max(1, part) * SECOND / rule.window

    def record_sent(self, key: _Key) -> None:
        """Count a request for which a backend was chosen; also while it is warm.

        It may turn cold within the same second.
        """
        record = self._records.get(key)
        rule = self.rules.get(record.endpoint.service) if record is not None else None
        if record is not None and rule is not None:
            record.window.reserve(rule.window, self.clock.now())

    def record_written(self, key: _Key) -> None:
        """Record that a chosen backend's request is written now."""
        record = self._records.get(key)
        if record is not None and record.endpoint.service in self.rules:
            record.window.record_written(self.clock.now())

    def refund(self, key: _Key) -> None:
        """Undo ``record_sent`` for a request that did not reach the backend."""
        record = self._records.get(key)
        if record is not None:
            record.window.refund()

    def counts(self) -> dict[str, int]:
        """Return the number of listed cold backends by service that has a rule."""
        counts = dict.fromkeys(self.rules, 0)
        for key, record in self._records.items():
            if record.is_listed and self.remaining(key):
                counts[record.endpoint.service] += 1
        return counts

    def take_changes(self) -> list[ColdChange]:
        """Return the backends that have turned cold or warm since the last call."""
        changes = []
        for key, record in self._records.items():
            remaining = self.remaining(key) if record.is_listed else 0
            if bool(remaining) != record.was_cold:
                record.was_cold = bool(remaining)
                source = record.source if remaining else ""
                changes.append(ColdChange(record.endpoint, bool(remaining), source, remaining))
        return changes


def _key(endpoint: Endpoint) -> _Key:
    return endpoint.run, endpoint.address
