"""Which backends fall together, and which groups stand still now.

All ranks of a group make their steps together: when one is lost none of them answers,
and while the group is formed anew all refuse at once, looking idle. What one of them
shows is therefore held against the whole group.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from canvasyoke._clock import SECOND, Clock

#: Milliseconds for which a group is passed over after one of its ranks said that another
#: is missing, doubled with each further word up to the limit: groups take half a second
#: to form, and one with a lost rank stays away longer.
_PASS_OVER: Final = 250
_PASS_OVER_LIMIT: Final = 1 * SECOND
#: Milliseconds without an event on any of a group's streams after which it is taken to
#: stand still. Events come every 120 ms or sooner where they are on time.
_STANDSTILL: Final = 400
#: Weight of a new pause between two events in a group's running mean. An entry sees
#: some fifty a second of each group, so the mean follows within a second.
_PAUSE_WEIGHT: Final = 0.05
#: Milliseconds after which a mean pause is not relied on any more.
_PAUSE_AGE: Final = 1 * SECOND
#: Ratio of two groups' mean pauses up to which they count as equally fast: batches and
#: expert maps differ by that much without any rank being slow.
_SAME_PACE: Final = 1.4


@dataclass(slots=True)
class _Group:
    pause: int = _PASS_OVER
    until: int = 0
    #: Streams of this entry that have begun and not ended.
    streams: int = 0
    #: Time on the clock of the last event on any of them.
    heard_at: int = 0
    #: Running mean of the milliseconds between two events of a stream; 0 before any.
    event_pause: float = 0.0


class RankGroups:
    """What an entry has seen of the groups; not thread-safe, the roster guards it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._group_of: dict[str, str] = {}
        self._groups: dict[str, _Group] = {}

    def learn(self, backend: str, group: str) -> None:
        """Take note of a backend's group; empty when it is in none."""
        self._group_of[backend] = group

    def is_learned(self, backend: str) -> bool:
        """Tell whether the backend's group is known, or that it has none."""
        return backend in self._group_of

    def learned(self) -> dict[str, str]:
        """Return all groups known by backend."""
        return dict(self._group_of)

    def forget(self, backend: str) -> None:
        """Forget a backend that has gone."""
        self._group_of.pop(backend, None)

    def _find(self, backend: str) -> _Group | None:
        name = self._group_of.get(backend)
        return self._groups.setdefault(name, _Group()) if name else None

    def stands_still(self, backend: str) -> bool:
        """Tell whether the backend's group should be passed over now."""
        group = self._find(backend)
        if group is None:
            return False
        now = self._clock.now()
        is_silent = group.streams > 0 and now - group.heard_at > _STANDSTILL
        return now < group.until or is_silent

    def broke(self, backend: str) -> None:
        """Take note that the backend's group has lost a rank."""
        group = self._find(backend)
        if group is None:
            return
        group.until = self._clock.now() + group.pause
        group.pause = min(_PASS_OVER_LIMIT, group.pause * 2)

    def stream_began(self, backend: str) -> None:
        """Take note of the first event of a stream."""
        group = self._find(backend)
        if group is not None:
            group.streams += 1
            self.heard(backend)

    def heard(self, backend: str, pause: int = 0) -> None:
        """Take note of an event, ``pause`` milliseconds after the one before it, if any.

        The group makes steps.
        """
        group = self._find(backend)
        if group is None:
            return
        group.heard_at = self._clock.now()
        group.pause = _PASS_OVER
        group.until = 0
        if pause:
            weight = _PAUSE_WEIGHT if group.event_pause else 1.0
            group.event_pause += weight * (pause - group.event_pause)

    def pause(self, backend: str) -> float:
        """Return the mean pause between events in the backend's group; 0 when unknown."""
        group = self._find(backend)
        return self._known_pause(group) if group is not None else 0.0

    def makes_steps(self, backend: str) -> bool:
        """Tell whether events of the backend's group came just now."""
        group = self._find(backend)
        return group is not None and self._clock.now() - group.heard_at < _STANDSTILL

    def fastest_pause(self) -> float:
        """Return the least of the groups' mean pauses between events; 0 when unknown."""
        pauses = [self._known_pause(group) for group in self._groups.values()]
        return min((pause for pause in pauses if pause), default=0.0)

    def pace(self, backend: str, fastest: float) -> float:
        """Return how much longer the group's steps last than those of the fastest one."""
        group = self._find(backend)
        pause = self._known_pause(group) if group is not None else 0.0
        if not fastest or not pause:
            return 1.0
        ratio = pause / fastest
        return ratio if ratio > _SAME_PACE else 1.0

    def _known_pause(self, group: _Group) -> float:
        """Return a group's mean pause; 0 when none was seen lately."""
        is_fresh = self._clock.now() - group.heard_at < _PAUSE_AGE
        return group.event_pause if is_fresh else 0.0

    def stream_ended(self, backend: str) -> None:
        """Take note that a stream has ended or broken off."""
        group = self._find(backend)
        if group is not None:
            group.streams = max(0, group.streams - 1)
