"""Whether the rank groups of a service execute steps, from all that an entry knows.

Reports of engines, polled here or heard from other entries, are combined with what this entry's
own traffic shows. The newest observation counts, and an event of a stream proves that its group is
open.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.admission import OutageForecast

#: Milliseconds without an event on any stream of a group after which it is considered stalled.
#: On-time events are at most 120 ms apart.
STALL_TIMEOUT: Final = 400
#: Milliseconds for which a report or a refusal counts without confirmation.
_REPORT_TTL: Final = 1 * SECOND
#: Milliseconds after which a closed group that nobody has confirmed counts as open. In between it
#: is closed without a forecast, so that single requests probe it.
_UNKNOWN_TTL: Final = 3 * SECOND
#: Milliseconds without any event or report after which overdue streams give no forecast.
_SILENCE: Final = 1_500
#: Milliseconds for which the ranks of a group stall before they report that one is missing.
_RANK_STALL: Final = 1_500
#: Milliseconds after which a group that lacks a rank reports so: after its stall, and with a lag of
#: up to 200. An open report after that outweighs overdue streams, which may hang.
_SILENT_STALL: Final = 2 * SECOND
#: Milliseconds up to which the last event before a closed report marks the start of an outage.
_STREAM_EVIDENCE: Final = 3 * SECOND
#: Milliseconds by which an unchanged state must be newer to be passed on to other entries. They
#: need it within ``_REPORT_TTL``.
_CONFIRM_INTERVAL: Final = 400
#: Shortest outage in milliseconds that is learnt; a shorter silence is a pause of the group.
_MIN_OUTAGE: Final = 1 * SECOND
#: Milliseconds between two checks after which this process has not run in between. The silence is
#: its own then, and no outage of the group.
_MAX_CHECK_GAP: Final = 1 * SECOND
#: Milliseconds after the forecast end of a formation after which the group is not forming.
_FORM_SLACK: Final = 500
#: Shortest forecast of a group that forms, in milliseconds.
_MIN_FORMING: Final = 50


@dataclass(frozen=True, slots=True)
class ServiceState:
    """State of the rank groups of one service; times in milliseconds."""

    #: Whether any group of the service executes steps, as far as is known.
    is_open: bool
    #: Clock time since which no group has executed steps; 0 if one does.
    closed_since: int
    #: Forecast time until a group executes steps again; ``None`` if unknown.
    opens_in: int | None
    #: Whether all available backends of the service belong to one group.
    is_single_group: bool


@dataclass(frozen=True, slots=True)
class OwnObservation:
    """What this entry's own traffic shows of a group; clock times, 0 for never."""

    #: Open streams that have had their first event.
    streams: int = 0
    last_event_at: int = 0
    #: Time at which a rank last refused a request because another rank is missing.
    refused_at: int = 0
    #: Time of the last failure, and until when the group is avoided after it.
    failed_at: int = 0
    cooldown_until: int = 0


@dataclass(frozen=True, slots=True)
class GroupState:
    """Judgement of one group."""

    is_open: bool
    #: Clock time since which it executes no steps; 0 if it does.
    closed_since: int = 0
    #: Forecast time in milliseconds until it opens; ``None`` if it is open or nothing is known.
    opens_in: int | None = None
    #: What the judgement rests on, and the milliseconds since that was observed.
    source: str = "own traffic"
    age: int = 0


@dataclass(frozen=True, slots=True)
class GroupChange:
    """A group that closed or opened."""

    group: str
    state: GroupState
    #: Duration in milliseconds of the outage that has ended; 0 for none.
    outage: int = 0


@dataclass(slots=True)
class _Record:
    """Reports of one group; clock times, 0 for never."""

    epoch: int = 0
    is_open: bool = True
    observed_at: int = 0
    source: str = ""
    #: Time of the last observation that was passed on.
    shared_at: int = 0
    #: Time of the first report of the current outage.
    closed_at: int = 0
    #: Time of the first report of the last opening.
    opened_at: int = 0
    #: Time at which the last missing ranks were reachable again.
    forming_since: int = 0
    #: Judgement at the last check.
    last: GroupState = GroupState(is_open=True)
    forecast: OutageForecast = field(default_factory=OutageForecast)


class GroupStates:
    """States of all groups; thread-safe.

    The roster calls it with its own lock held, so it calls the roster only without its lock.
    ``service_state`` and ``check`` must not be called with the roster's lock held.
    """

    def __init__(
        self,
        clock: Clock,
        own_by_service: Callable[[str], Mapping[str, OwnObservation]],
        own_by_group: Callable[[], Mapping[str, OwnObservation]],
    ) -> None:
        self._clock = clock
        #: Returns what this entry has observed of the groups of a service's backends, by group;
        #: the empty name stands for backends without a group.
        self._own_by_service = own_by_service
        self._own_by_group = own_by_group
        #: Returns the milliseconds in which a service's group forms; 0 if unknown.
        self.form_time: Callable[[str], int] = lambda _service: 0
        self._lock = threading.Lock()
        self._records: dict[str, _Record] = {}
        #: Time of the last check, and of the first one after a gap; 0 for never.
        self._checked_at = 0
        self._resumed_at = 0

    def observe(
        self,
        group: str,
        epoch: int,
        is_open: bool,
        age: int,
        outage: int = 0,
        source: str = "report",
    ) -> bool:
        """Store a report made ``age`` milliseconds ago; return whether to pass it on.

        ``outage`` is the duration of the outage that ended with it, as measured elsewhere.
        """
        at = self._clock.now() - age
        with self._lock:
            record = self._records.setdefault(group, _Record())
            is_newer_epoch = epoch > record.epoch
            if epoch < record.epoch or (not is_newer_epoch and at <= record.observed_at):
                return False
            is_changed = is_newer_epoch or is_open != record.is_open
            if is_open and (not record.is_open or (is_newer_epoch and record.epoch)):
                record.opened_at = at
                if outage >= _MIN_OUTAGE and record.last.is_open:
                    record.forecast.record(outage)
            if not is_open and record.is_open:
                record.closed_at = at
            record.epoch, record.is_open, record.observed_at = epoch, is_open, at
            record.source = source
            is_new = is_changed or at - record.shared_at >= _CONFIRM_INTERVAL
            if is_new:
                record.shared_at = at
            return is_new

    def expect_opening(self, groups: Iterable[str]) -> None:
        """Record that missing ranks of groups are reachable again, so that the groups form."""
        with self._lock:
            for group in groups:
                self._records.setdefault(group, _Record()).forming_since = self._clock.now()

    def reported(self, group: str) -> tuple[int, bool]:
        """Return the epoch of a group, 0 if unknown, and whether it was last reported open."""
        with self._lock:
            record = self._records.get(group, _Record())
            return record.epoch, record.is_open

    def is_stalled(self, group: str, own: OwnObservation) -> bool:
        """Return whether a group is known to be stalled, given what this entry has observed."""
        with self._lock:
            now = self._clock.now()
            record = self._records.get(group, _Record())
            if _is_overdue(record, own, now):
                return True
            if now < own.cooldown_until and own.failed_at >= record.opened_at:
                return True
            return _is_reported_closed(record, own) and now - record.observed_at <= _REPORT_TTL

    def service_state(self, service: str) -> ServiceState:
        """Return the state of the groups of a service."""
        own = self._own_by_service(service)
        form_time = self.form_time(service)
        now = self._clock.now()
        with self._lock:
            states = [self._judge(g, o, form_time, now) for g, o in own.items() if g]
        is_open = not states or "" in own or any(state.is_open for state in states)
        forecasts = [state.opens_in for state in states if state.opens_in is not None]
        return ServiceState(
            is_open=is_open,
            closed_since=0 if is_open else max(state.closed_since for state in states),
            opens_in=None if is_open else min(forecasts, default=None),
            is_single_group=len(states) == 1 and "" not in own,
        )

    def check(self) -> list[GroupChange]:
        """Learn the outages that have ended; return the groups that changed since the last call."""
        own = self._own_by_group()
        now = self._clock.now()
        changes: list[GroupChange] = []
        with self._lock:
            if self._checked_at and now - self._checked_at > _MAX_CHECK_GAP:
                self._resumed_at = now
            self._checked_at = now
            for group in self._records.keys() - own.keys():
                # None of its backends is listed any more.
                self._records[group].last = GroupState(is_open=True)
            for group, observation in own.items():
                record = self._records.setdefault(group, _Record())
                state = self._judge(group, observation, 0, now)
                before, record.last = record.last, state
                if state.is_open:
                    # By an event, or the report has lapsed: the next one begins an outage.
                    record.is_open = True
                if state.is_open == before.is_open:
                    continue
                # Without proof of an opening the reports or the overdue streams have just ended.
                newest_open = max(observation.last_event_at, record.opened_at)
                since = before.closed_since
                is_proven = state.is_open and newest_open > since >= self._resumed_at
                outage = now - since if is_proven else 0
                if outage >= _MIN_OUTAGE:
                    record.forecast.record(outage)
                changes.append(GroupChange(group, state, outage))
        return changes

    def closed(self) -> dict[str, GroupState]:
        """Return the groups that were closed at the last check."""
        with self._lock:
            return {g: r.last for g, r in self._records.items() if not r.last.is_open}

    def _judge(self, group: str, own: OwnObservation, form_time: int, now: int) -> GroupState:
        record = self._records.setdefault(group, _Record())
        report_age = now - record.observed_at
        if _is_reported_closed(record, own) and report_age <= _UNKNOWN_TTL:
            since = _outage_start(record.closed_at, own)
            is_known = report_age <= _REPORT_TTL
            source, age = record.source, report_age
        elif _is_overdue(record, own, now):
            since, source, age = own.last_event_at, "overdue streams", now - own.last_event_at
            is_known = min(age, report_age) < _SILENCE
        elif _is_refused(record, own) and now - own.refused_at <= _UNKNOWN_TTL:
            since, source, age = (
                _outage_start(own.refused_at, own),
                "refusal",
                now - own.refused_at,
            )
            is_known = age <= _REPORT_TTL
        else:
            return _open_state(record, own, now)
        # The start stays the first one that was seen while the group is closed.
        if not record.last.is_open:
            since = min(since, record.last.closed_since)
        opens_in = _opens_in(record, since, form_time, now) if is_known else None
        return GroupState(False, since, opens_in, source, age)


def _open_state(record: _Record, own: OwnObservation, now: int) -> GroupState:
    if record.is_open and record.observed_at > own.last_event_at:
        return GroupState(True, source=record.source, age=now - record.observed_at)
    return GroupState(True, age=now - own.last_event_at)


def _is_reported_closed(record: _Record, own: OwnObservation) -> bool:
    """Return whether the last report is closed and no stream had an event since."""
    return not record.is_open and own.last_event_at <= record.observed_at


def _is_refused(record: _Record, own: OwnObservation) -> bool:
    """Return whether a refusal for a missing rank is the newest observation."""
    newest_open = max(own.last_event_at, record.observed_at if record.is_open else 0)
    return own.refused_at > newest_open


def _is_overdue(record: _Record, own: OwnObservation, now: int) -> bool:
    """Return whether the streams of this entry show that the group is stalled."""
    if not own.streams or now - own.last_event_at <= STALL_TIMEOUT:
        return False
    if record.opened_at > own.last_event_at:
        # The group has opened since their last event, so they belong to an earlier epoch.
        return False
    is_fresh = now - record.observed_at <= _REPORT_TTL
    has_answered = record.observed_at - own.last_event_at > _SILENT_STALL
    return not (record.is_open and is_fresh and has_answered)


def _outage_start(noticed_at: int, own: OwnObservation) -> int:
    """Return when an outage began, from a report or refusal and from the last event before it.

    Without streams that showed the start it is the latest possible one, since ranks only say that
    another is missing after their stall.
    """
    gap = noticed_at - own.last_event_at
    return own.last_event_at if 0 <= gap <= _STREAM_EVIDENCE else noticed_at - _RANK_STALL


def _opens_in(record: _Record, since: int, form_time: int, now: int) -> int:
    """Return the forecast time until a closed group opens."""
    if form_time and record.forming_since > since:
        rest = record.forming_since + form_time - now
        if rest > -_FORM_SLACK:
            return max(_MIN_FORMING, rest)
    return record.forecast.remaining(now - since)
