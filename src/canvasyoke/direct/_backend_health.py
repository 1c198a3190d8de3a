"""Detection of slow and unresponsive backends.

The ranks of a group run in lockstep, so a slow rank delays every stream of the group, and a
rank that accepts requests without answering looks idle.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from canvasyoke._clock import SECOND, Clock

#: Milliseconds for which a backend is avoided that does not answer although its group is making
#: progress. Each further attempt at it costs a caller half a second.
_UNRESPONSIVE_COOLDOWN: Final = 5 * SECOND
#: The first event of a stream is overdue after this multiple of the mean wait, and no earlier than
#: the minimum in milliseconds. Of the streams at engines that answered, one in a hundred began
#: after 540 ms, at a mean of 190 ms.
_OVERDUE_FACTOR: Final = 4.0
_MIN_OVERDUE_WAIT: Final = 600
#: Milliseconds for which a reported pace is valid, and after which an unchanged pace is
#: reported again.
_PACE_TTL: Final = 3 * SECOND
_PACE_REPEAT_INTERVAL: Final = 500
#: Slowdown factor from which a backend's streams are moved to another backend. Moving a
#: stream costs a second prefill, but a very slow rank delays the whole group.
_MIGRATION_PACE: Final = 3.0
#: Weight of a new sample in the moving average of waits for the first event.
_FIRST_WAIT_WEIGHT: Final = 0.2


@dataclass(slots=True)
class _Health:
    #: Slowdown factor, 1 for normal speed, and the time at which it was reported.
    pace: float = 1.0
    pace_updated_at: int = 0
    #: Time of the last stream event from the backend.
    last_event_at: int = 0
    #: Time until which the backend is considered unresponsive.
    unresponsive_until: int = 0


class BackendHealth:
    """Pace and responsiveness of each backend; not thread-safe, guarded by the roster's lock."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, _Health] = {}
        #: Moving average of the milliseconds to the first event of a stream, by service.
        self._first_waits: dict[str, float] = {}

    def forget(self, backend: str) -> None:
        """Remove the record of a backend."""
        self._records.pop(backend, None)

    def pace(self, backend: str) -> float:
        """Return the slowdown factor of a backend; 1 if unknown or expired."""
        health = self._records.get(backend)
        if health is None or self._clock.now() - health.pace_updated_at >= _PACE_TTL:
            return 1.0
        return health.pace

    def should_migrate_streams(self, backend: str) -> bool:
        """Return whether a backend is so slow that its streams should move to another one."""
        return self.pace(backend) >= _MIGRATION_PACE

    def learn_pace(self, backend: str, pace: float) -> bool:
        """Store a backend's slowdown factor; return whether to report it to other entries."""
        health = self._records.setdefault(backend, _Health())
        now = self._clock.now()
        is_new = pace != health.pace or now - health.pace_updated_at > _PACE_REPEAT_INTERVAL
        health.pace, health.pace_updated_at = pace, now
        return is_new

    def record_event(self, backend: str) -> None:
        """Record an event of a stream."""
        self._records.setdefault(backend, _Health()).last_event_at = self._clock.now()

    def record_first_event(self, backend: str, service: str, waited: int) -> None:
        """Record the first event of a stream, ``waited`` milliseconds after its request."""
        self.record_event(backend)
        mean = self._first_waits.get(service, float(waited))
        self._first_waits[service] = mean + _FIRST_WAIT_WEIGHT * (waited - mean)

    def is_overdue(self, backend: str, service: str, waited: int) -> bool:
        """Return whether a first event is overdue and no other stream had an event meanwhile."""
        mean = self._first_waits.get(service)
        if mean is None or waited <= max(_MIN_OVERDUE_WAIT, _OVERDUE_FACTOR * mean):
            return False
        health = self._records.get(backend)
        return health is None or self._clock.now() - health.last_event_at > waited

    def mark_unresponsive(self, backend: str) -> bool:
        """Mark a backend as unresponsive; return false if it already is."""
        health = self._records.setdefault(backend, _Health())
        now = self._clock.now()
        if now < health.unresponsive_until:
            return False
        health.unresponsive_until = now + _UNRESPONSIVE_COOLDOWN
        return True

    def is_unresponsive(self, backend: str) -> bool:
        """Return whether a backend is marked as unresponsive."""
        health = self._records.get(backend)
        return health is not None and self._clock.now() < health.unresponsive_until
