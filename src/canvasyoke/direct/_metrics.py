"""Metrics of a direct entry."""

from __future__ import annotations

from canvasyoke.direct._call import CloseCause, DirectCall, Lateness
from canvasyoke.direct._roster import Roster
from canvasyoke.observe import Metrics
from canvasyoke.transport import FailureCause


class DirectMetrics:
    """Counters and timers of one direct entry."""

    def __init__(self) -> None:
        self.all = Metrics()
        self._outcomes = self.all.counter(
            "canvasyoke_requests_total", "Requests by outcome.", "outcome"
        )
        self._duration = self.all.timer("canvasyoke_request_seconds", "Time to a whole answer.")
        self._time_to_first_chunk = self.all.timer(
            "canvasyoke_first_piece_seconds", "Time to the first piece."
        )
        self._pauses = self.all.timer(
            "canvasyoke_stream_pause_seconds", "Longest time between two events of a stream."
        )
        self._late = self.all.counter(
            "canvasyoke_late_total", "Whole answers that were late, by cause.", "cause"
        )

        self._failed_exchanges = self.all.counter(
            "canvasyoke_broken_exchanges_total",
            "Exchanges that ended before their answer, by what became of the backend.",
            "backend",
        )

        self._closed_exchanges = self.all.counter(
            "canvasyoke_closed_exchanges_total",
            "Exchanges that this entry closed before their answer was complete, by cause.",
            "cause",
        )

        self._incomplete_answers = self.all.counter(
            "canvasyoke_incomplete_answers_total",
            "Attempts that may have run and have no complete answer, by cause.",
            "cause",
        )

        self._missing_reports = self.all.counter(
            "canvasyoke_missing_reports_total",
            "Reports of rank groups that a backend did not give or that cannot be read.",
        )

        self._late_exits = self.all.counter(
            "canvasyoke_late_exits_total",
            "Backends found to have ended after they still listened, by evidence.",
            "evidence",
        )

        self._unreadable = self.all.counter(
            "canvasyoke_unreadable_words_total",
            "What backends say of themselves and cannot be read, by what it is.",
            "field",
        )

        self._waits = self.all.timer(
            "canvasyoke_wait_seconds", "Time that requests waited for a place."
        )
        self._admitted_after_wait = self.all.counter(
            "canvasyoke_admitted_after_wait_total", "Requests that got a place after a wait."
        )
        self._places_refused = self.all.counter(
            "canvasyoke_place_refused_total", "Requests that got no place, by cause.", "cause"
        )

    def record_wait(self, took: int) -> None:
        """Time a wait for a place of ``took`` milliseconds."""
        self._waits.record(took)

    def count_admitted_after_wait(self) -> None:
        """Count a request that got a place after a wait."""
        self._admitted_after_wait.add()

    def count_place_refused(self, cause: str) -> None:
        """Count a request that got no place."""
        self._places_refused.add(cause)

    def count_unreadable_field(self, field: str) -> None:
        """Count a field of a backend report that could not be parsed."""
        self._unreadable.add(field)

    def record_exchange_failure(self, liveness: str) -> None:
        """Count a failed exchange, by the state of its backend."""
        self._failed_exchanges.add(liveness)

    def record_closed_exchange(self, cause: CloseCause) -> None:
        """Count an exchange that this entry closed before its answer was complete."""
        self._closed_exchanges.add(cause.value)

    def record_incomplete_answer(self, cause: FailureCause) -> None:
        """Count an attempt that may have run and has no complete answer."""
        self._incomplete_answers.add(cause.value)

    def record_missing_report(self) -> None:
        """Count a report of a rank group that is missing or cannot be read."""
        self._missing_reports.add()

    def record_late_exit(self, evidence: str) -> None:
        """Count a backend that was found to have ended some time after an exchange failed."""
        self._late_exits.add(evidence)

    def record_chunk(self, call: DirectCall, now: int) -> None:
        """Time the first chunk of a response and the pauses after it."""
        if not call.first_chunk_at:
            call.first_chunk_at = now
            self._time_to_first_chunk.record(now - call.arrived_at)
        else:
            call.longest_gap = max(call.longest_gap, now - call.last_chunk_at)
        call.last_chunk_at = now

    def record_request(self, outcome: str, took: int) -> None:
        """Count a finished request that took ``took`` milliseconds."""
        self._outcomes.add(outcome)
        self._duration.record(took)

    def record_answer(self, call: DirectCall, late: Lateness) -> None:
        """Count a complete response, with its longest pause and its lateness."""
        if call.longest_gap:
            self._pauses.record(call.longest_gap)
        if late is not Lateness.ON_TIME:
            self._late.add(late.value)


def add_list_gauges(metrics: Metrics, roster: Roster) -> None:
    """Register gauges of the list of backends."""
    metrics.gauge(
        "canvasyoke_backends_age_ms",
        "Milliseconds since the list of backends was known to be in step with the store.",
        lambda: roster.list_age,
    )
    metrics.gauge(
        "canvasyoke_store_era",
        "How many times the store is known to have come back from an older copy.",
        lambda: roster.era,
    )
    metrics.gauge(
        "canvasyoke_backends_doubted",
        "Backends of which the store's word is not believed just after its return.",
        lambda: roster.doubted,
    )
