"""Metrics of an entry."""

from __future__ import annotations

from canvasyoke.observe import Metrics


class EntryMetrics:
    """Counters and timers of one entry."""

    def __init__(self) -> None:
        #: Registry of all metrics, used for rendering.
        self.all = Metrics()
        #: Finished requests by outcome.
        self.outcomes = self.all.counter(
            "canvasyoke_requests_total", "Requests by outcome.", "outcome"
        )
        #: Refusals by reason.
        self.refusal_reasons = self.all.counter(
            "canvasyoke_refusals_total", "Refusals by reason.", "reason"
        )
        #: Milliseconds from the arrival of a request to the first chunk of its response.
        self.time_to_first_chunk = self.all.timer(
            "canvasyoke_first_piece_seconds", "Time to the first piece of an answer."
        )
        #: Milliseconds between two chunks of a response.
        self.time_between_chunks = self.all.timer(
            "canvasyoke_between_pieces_seconds", "Time between two pieces of an answer."
        )
