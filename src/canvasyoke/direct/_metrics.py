"""What a direct entry counts and times."""

from __future__ import annotations

from canvasyoke.direct._call import DirectCall, Lateness
from canvasyoke.observe import Metrics


class DirectMetrics:
    """The metrics of one direct entry."""

    def __init__(self) -> None:
        self.all = Metrics()
        self._outcomes = self.all.counter(
            "canvasyoke_requests_total", "Requests by outcome.", "outcome"
        )
        self._whole = self.all.timer("canvasyoke_request_seconds", "Time to a whole answer.")
        self._first = self.all.timer("canvasyoke_first_piece_seconds", "Time to the first piece.")
        self._pauses = self.all.timer(
            "canvasyoke_stream_pause_seconds", "Longest time between two events of a stream."
        )
        self._late = self.all.counter(
            "canvasyoke_late_total", "Whole answers that were late, by cause.", "cause"
        )

        self._breaks = self.all.counter(
            "canvasyoke_broken_exchanges_total",
            "Exchanges that ended before their answer, by what became of the backend.",
            "backend",
        )

        self._unreadable = self.all.counter(
            "canvasyoke_unreadable_words_total",
            "What backends say of themselves and cannot be read, by what it is.",
            "field",
        )

    def unreadable_word(self, field: str) -> None:
        """Count something that a backend says of itself and that makes no sense."""
        self._unreadable.add(field)

    def broke(self, fate: str) -> None:
        """Count an exchange that broke off, by what became of its backend."""
        self._breaks.add(fate)

    def piece(self, call: DirectCall, now: int) -> None:
        """Time the first piece of an answer, and the pauses after it."""
        if not call.first_piece_at:
            call.first_piece_at = now
            self._first.record(now - call.began)
        else:
            call.longest_gap = max(call.longest_gap, now - call.last_piece_at)
        call.last_piece_at = now

    def ended(self, outcome: str, took: int) -> None:
        """Count a request that has ended after ``took`` milliseconds."""
        self._outcomes.add(outcome)
        self._whole.record(took)

    def answered(self, call: DirectCall, late: Lateness) -> None:
        """Count an answer that is whole."""
        if call.longest_gap:
            self._pauses.record(call.longest_gap)
        if late is not Lateness.ON_TIME:
            self._late.add(late.value)
