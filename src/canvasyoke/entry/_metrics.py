"""The metrics of an entry."""

from __future__ import annotations

from canvasyoke.observe import Metrics


class EntryMetrics:
    """What an entry counts and times."""

    def __init__(self) -> None:
        #: All of them, for rendering.
        self.all = Metrics()
        #: Requests by what their callers were told.
        self.outcomes = self.all.counter(
            "canvasyoke_requests_total", "Requests by outcome.", "outcome"
        )
        #: Refusals by reason.
        self.reasons = self.all.counter(
            "canvasyoke_refusals_total", "Refusals by reason.", "reason"
        )
        #: Milliseconds from a request's arrival to the first piece of its answer.
        self.first = self.all.timer(
            "canvasyoke_first_piece_seconds", "Time to the first piece of an answer."
        )
        #: Milliseconds between two pieces of an answer.
        self.between = self.all.timer(
            "canvasyoke_between_pieces_seconds", "Time between two pieces of an answer."
        )
