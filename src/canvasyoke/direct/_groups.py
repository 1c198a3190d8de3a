"""State of rank groups, whose backends fail together.

The ranks of a group run in lockstep: when one is lost none of them answers, and while the
group re-forms all of them refuse requests and look idle. A failure of one rank therefore
counts for the whole group.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.direct._group_states import STALL_TIMEOUT, GroupStates, OwnObservation

#: Milliseconds for which a group is avoided after a rank reported that another is missing; doubled
#: with each further report up to the maximum. A group takes half a second to form, and one that has
#: lost a rank stays away longer.
_COOLDOWN: Final = 250
_MAX_COOLDOWN: Final = 1 * SECOND
#: Weight of a new sample in a group's moving average of pauses between events. An entry sees about
#: 50 pauses a second of each group, so the mean follows within a second.
_PAUSE_WEIGHT: Final = 0.05
#: Milliseconds for which a mean pause stays valid after the last event.
_PAUSE_TTL: Final = 1 * SECOND
#: Ratio of mean pauses up to which two groups count as equally fast: batch sizes and expert
#: maps cause differences of this order.
_SAME_PACE: Final = 1.4


@dataclass(slots=True)
class _Group:
    cooldown: int = _COOLDOWN
    cooldown_until: int = 0
    #: Time of the last refusal because another rank is missing, and of the last failure.
    refused_at: int = 0
    failed_at: int = 0
    #: Open streams of this entry that have had their first event.
    streams: int = 0
    #: Time of the last event on any stream.
    last_event_at: int = 0
    #: Moving average of the milliseconds between events of a stream; 0 if unknown.
    event_pause: float = 0.0

    def observation(self) -> OwnObservation:
        """Return what the traffic of this entry shows."""
        return OwnObservation(
            self.streams, self.last_event_at, self.refused_at, self.failed_at, self.cooldown_until
        )


class RankGroups:
    """Observed state of rank groups; not thread-safe, guarded by the roster's lock."""

    def __init__(self, clock: Clock, states: GroupStates) -> None:
        self._clock = clock
        #: Combines the observations made here with reports of the engines.
        self._states = states
        self._group_of: dict[str, str] = {}
        self._groups: dict[str, _Group] = {}
        #: Streams counted in their group, by backend.
        self._streams: Counter[str] = Counter()

    def learn(self, backend: str, group: str) -> None:
        """Store a backend's group; empty for none."""
        self._group_of[backend] = group

    def is_learned(self, backend: str) -> bool:
        """Return whether the backend's group, or that it has none, is known."""
        return backend in self._group_of

    def group_of(self, backend: str) -> str:
        """Return the backend's group; empty if it has none or none is known."""
        return self._group_of.get(backend, "")

    def learned(self) -> dict[str, str]:
        """Return the known groups by backend."""
        return dict(self._group_of)

    def names(self, backends: Iterable[str]) -> frozenset[str]:
        """Return the known groups of backends."""
        return frozenset(filter(None, (self._group_of.get(backend) for backend in backends)))

    def forget(self, backend: str) -> None:
        """Remove a backend; its open streams no longer count in its group."""
        group = self._find(backend)
        if group is not None:
            group.streams -= self._streams[backend]
        self._streams.pop(backend, None)
        self._group_of.pop(backend, None)

    def _find(self, backend: str) -> _Group | None:
        name = self._group_of.get(backend)
        return self._groups.setdefault(name, _Group()) if name else None

    def is_stalled(self, backend: str) -> bool:
        """Return whether the backend's group is failed or stalled."""
        group = self._find(backend)
        if group is None:
            return False
        return self._states.is_stalled(self._group_of[backend], group.observation())

    def observations(self) -> dict[str, OwnObservation]:
        """Return what the traffic of this entry shows, by group."""
        names = {name for name in self._group_of.values() if name}
        return {name: self.observation(name) for name in names}

    def observation(self, group: str) -> OwnObservation:
        """Return what the traffic of this entry shows of a group."""
        found = self._groups.get(group)
        return found.observation() if found is not None else OwnObservation()

    def record_failure(self, backend: str, is_refused: bool = False) -> None:
        """Record that the backend's group has lost a rank.

        ``is_refused`` tells that the backend itself said so in a refusal.
        """
        group = self._find(backend)
        if group is None:
            return
        now = self._clock.now()
        group.failed_at = now
        if is_refused:
            group.refused_at = now
        group.cooldown_until = now + group.cooldown
        group.cooldown = min(_MAX_COOLDOWN, group.cooldown * 2)

    def record_stream_start(self, backend: str) -> None:
        """Record the first event of a stream."""
        group = self._find(backend)
        if group is not None:
            group.streams += 1
            self._streams[backend] += 1
            self.record_event(backend)

    def record_event(self, backend: str, pause: int = 0) -> None:
        """Record an event, ``pause`` milliseconds after the previous one of its stream.

        ``pause`` is 0 for the first event. Any event ends the group's cooldown.
        """
        group = self._find(backend)
        if group is None:
            return
        group.last_event_at = self._clock.now()
        group.cooldown = _COOLDOWN
        group.cooldown_until = 0
        if pause:
            weight = _PAUSE_WEIGHT if group.event_pause else 1.0
            group.event_pause += weight * (pause - group.event_pause)

    def mean_pause(self, backend: str) -> float:
        """Return the mean pause between events in the backend's group; 0 if unknown."""
        group = self._find(backend)
        return self._recent_pause(group) if group is not None else 0.0

    def is_progressing(self, backend: str) -> bool:
        """Return whether the backend's group had an event within the stall timeout."""
        group = self._find(backend)
        return group is not None and self._clock.now() - group.last_event_at < STALL_TIMEOUT

    def fastest_pause(self) -> float:
        """Return the smallest mean pause of all groups; 0 if unknown."""
        pauses = [self._recent_pause(group) for group in self._groups.values()]
        return min((pause for pause in pauses if pause), default=0.0)

    def pace(self, backend: str, fastest: float) -> float:
        """Return the ratio of the group's mean pause to the fastest one, 1 if about equal."""
        group = self._find(backend)
        pause = self._recent_pause(group) if group is not None else 0.0
        if not fastest or not pause:
            return 1.0
        ratio = pause / fastest
        return ratio if ratio > _SAME_PACE else 1.0

    def _recent_pause(self, group: _Group) -> float:
        """Return a group's mean pause; 0 if it has expired."""
        is_fresh = self._clock.now() - group.last_event_at < _PAUSE_TTL
        return group.event_pause if is_fresh else 0.0

    def record_stream_end(self, backend: str) -> None:
        """Record that a stream has ended or was interrupted."""
        group = self._find(backend)
        if group is not None and self._streams[backend]:
            group.streams -= 1
            self._streams[backend] -= 1
