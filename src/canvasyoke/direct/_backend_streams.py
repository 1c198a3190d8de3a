"""What an entry has seen of backends' groups, paces and streams."""

from __future__ import annotations

from dataclasses import dataclass

from canvasyoke.direct._backend_records import BackendRecords
from canvasyoke.state import Endpoint


@dataclass(slots=True)
class BackendStreams(BackendRecords):
    """Records of backends, with what streams and other entries tell of them."""

    def without_group(self, services: frozenset[str]) -> list[Endpoint]:
        """Return the backends of ``services`` whose group is not known yet.

        Those that asked to back off are left out: a question would be a request that they do
        not want.
        """
        with self._lock:
            return [
                m.endpoint
                for m in self._members.values()
                if m.endpoint.service in services
                and not self._groups.is_learned(m.endpoint.run)
                and not self._words.remaining_backoff(m.endpoint)
            ]

    def learn_group(self, run: str, group: str) -> bool:
        """Take note of a backend's group, empty when it is in none; false if known."""
        with self._lock:
            if run not in self._members or self._groups.is_learned(run):
                return False
            self._groups.learn(run, group)
            return True

    def groups(self) -> dict[str, str]:
        """Return the groups learned so far by backend."""
        with self._lock:
            return self._groups.learned()

    def group_broke(self, run: str) -> None:
        """Take note that the group of a backend has lost a rank."""
        with self._lock:
            self._groups.broke(run)

    def learn_pace(self, run: str, pace: float) -> bool:
        """Take note of how long a backend takes for its work; false if that is no news."""
        with self._lock:
            return run in self._members and self._health.learn_pace(run, pace)

    def is_slow(self, run: str) -> bool:
        """Tell whether a backend is known to take longer than it should."""
        with self._lock:
            return self._health.pace(run) > 1.0

    def crawls(self, run: str) -> bool:
        """Tell whether a backend is so slow that its streams had better go on elsewhere."""
        with self._lock:
            return self._health.crawls(run)

    def in_slow_groups(self, service: str, longest_pause: int) -> list[Endpoint]:
        """Return the backends of this domain whose groups pause for longer than they may.

        Those that are known to be slow are among them: they may have recovered. Those
        that asked to back off are not: they want no question either.
        """
        with self._lock:
            near = [
                m.endpoint
                for m in self._members.values()
                if m.endpoint.service == service
                and m.endpoint.domain == self.domain
                and not self._words.remaining_backoff(m.endpoint)
            ]
            return [
                e
                for e in near
                if self._groups.pause(e.run) > longest_pause or self._health.pace(e.run) > 1.0
            ]

    def fell_silent(self, run: str) -> bool:
        """Take note that a backend says nothing; false if that is known."""
        with self._lock:
            return run in self._members and self._health.fell_silent(run)

    def is_overdue(self, run: str, waited: int) -> bool:
        """Tell whether a stream has waited for its first event for too long.

        That says nothing while the group stands still: then no backend of it answers. Nor
        does it where the stream may wait for a slot: taken for silent, backends of a crowded
        group were passed over, and the rest crowded more.
        """
        with self._lock:
            member = self._members.get(run)
            if member is None or not self._groups.makes_steps(run):
                return False
            if self._load(member) > member.endpoint.slots:
                return False
            return self._health.is_overdue(run, member.endpoint.service, waited)

    def stream_began(self, run: str, waited: int) -> None:
        """Take note of the first event of a stream, after a wait for it."""
        with self._lock:
            self._groups.stream_began(run)
            member = self._members.get(run)
            if member is not None:
                self._health.began(run, member.endpoint.service, waited)

    def stream_heard(self, run: str, pause: int) -> None:
        """Take note of a further event, ``pause`` milliseconds after the one before."""
        with self._lock:
            self._groups.heard(run, pause)
            if run in self._members:
                self._health.heard(run)

    def stream_ended(self, run: str) -> None:
        """Take note that a stream has ended or broken off."""
        with self._lock:
            self._groups.stream_ended(run)
