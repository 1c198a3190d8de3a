"""Observed groups, paces and streams of backends."""

from __future__ import annotations

from dataclasses import dataclass

from canvasyoke.direct._backend_records import BackendRecords
from canvasyoke.state import Endpoint


@dataclass(slots=True)
class BackendStreams(BackendRecords):
    """Backend records with state from streams and from other entries."""

    def with_unknown_group(self, services: frozenset[str]) -> list[Endpoint]:
        """Return the backends of ``services`` whose group is unknown.

        Backends that may not be queried are excluded.
        """
        with self._lock:
            return [
                m.endpoint
                for m in self._members.values()
                if m.endpoint.service in services
                and not self._groups.is_learned(m.endpoint.run)
                and self._may_query(m.endpoint)
            ]

    def may_query(self, endpoint: Endpoint) -> bool:
        """Return whether a backend may be queried now.

        Checked before each of several queries, since they can take seconds together.
        """
        with self._lock:
            return self._may_query(endpoint)

    def _may_query(self, endpoint: Endpoint) -> bool:
        """Return whether a backend may be queried about itself, which is a request too."""
        is_backing_off = self._notices.remaining_backoff(endpoint) > 0
        return not is_backing_off and not self._is_evacuated(endpoint)

    def learn_group(self, run: str, group: str) -> bool:
        """Store a backend's group, empty for none; return false if it is already known."""
        with self._lock:
            if run not in self._members or self._groups.is_learned(run):
                return False
            self._groups.learn(run, group)
            return True

    def groups(self) -> dict[str, str]:
        """Return the known groups by backend."""
        with self._lock:
            return self._groups.learned()

    def record_group_failure(self, run: str, is_refused: bool = False) -> None:
        """Record that a backend's group has lost a rank, as the backend said if ``is_refused``."""
        with self._lock:
            self._groups.record_failure(run, is_refused)

    def group_members(self, group: str) -> list[Endpoint]:
        """Return this domain's backends of a group that may be queried."""
        with self._lock:
            return [
                m.endpoint
                for m in self._members.values()
                if m.endpoint.domain == self.domain
                and self._groups.group_of(m.endpoint.run) == group
                and self._may_query(m.endpoint)
            ]

    def learn_pace(self, run: str, pace: float) -> bool:
        """Store a backend's slowdown factor; return whether to report it to other entries."""
        with self._lock:
            return run in self._members and self._health.learn_pace(run, pace)

    def is_slow(self, run: str) -> bool:
        """Return whether a backend is known to be slower than normal."""
        with self._lock:
            return self._health.pace(run) > 1.0

    def should_migrate_streams(self, run: str) -> bool:
        """Return whether a backend is so slow that its streams should move to another one."""
        with self._lock:
            return self._health.should_migrate_streams(run)

    def in_slow_groups(self, service: str, longest_pause: int) -> list[Endpoint]:
        """Return this domain's backends in groups that pause longer than ``longest_pause``.

        Backends known to be slow are included, since they may have recovered. Backends that
        may not be queried are excluded.
        """
        with self._lock:
            near = [
                m.endpoint
                for m in self._members.values()
                if m.endpoint.service == service
                and m.endpoint.domain == self.domain
                and self._may_query(m.endpoint)
            ]
            return [
                e
                for e in near
                if self._groups.mean_pause(e.run) > longest_pause or self._health.pace(e.run) > 1.0
            ]

    def mark_unresponsive(self, run: str) -> bool:
        """Mark a backend as unresponsive; return false if it already is."""
        with self._lock:
            return run in self._members and self._health.mark_unresponsive(run)

    def is_overdue(self, run: str, waited: int) -> bool:
        """Return whether the first event of a stream is overdue.

        Returns false while the whole group is stalled and while the stream may be queued for
        a slot: neither means that the backend itself is unresponsive.
        """
        with self._lock:
            member = self._members.get(run)
            if member is None or not self._groups.is_progressing(run):
                return False
            if self._load(member) > member.endpoint.slots:
                return False
            return self._health.is_overdue(run, member.endpoint.service, waited)

    def record_stream_start(self, run: str, waited: int) -> None:
        """Record the first event of a stream, ``waited`` milliseconds after its request."""
        with self._lock:
            self._groups.record_stream_start(run)
            member = self._members.get(run)
            if member is not None:
                self._health.record_first_event(run, member.endpoint.service, waited)

    def record_stream_event(self, run: str, pause: int) -> None:
        """Record a later event, ``pause`` milliseconds after the previous one."""
        with self._lock:
            self._groups.record_event(run, pause)
            if run in self._members:
                self._health.record_event(run)

    def record_stream_end(self, run: str) -> None:
        """Record that a stream has ended or was interrupted."""
        with self._lock:
            self._groups.record_stream_end(run)
