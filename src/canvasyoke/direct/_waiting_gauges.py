"""Builds the waiting requests of an entry, with their gauges."""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial

from canvasyoke._clock import Clock
from canvasyoke.direct._metrics import DirectMetrics
from canvasyoke.direct._return_times import ReturnTimes
from canvasyoke.direct._roster import Roster
from canvasyoke.direct._waiting import WaitingRequests


def build_waiting(
    roster: Roster, return_times: ReturnTimes, clock: Clock, metrics: DirectMetrics
) -> WaitingRequests:
    """Return the waiting requests of an entry."""
    waiting = WaitingRequests(
        roster, roster.group_states.service_state, return_times.planner, clock, metrics
    )
    _add_gauges(waiting, metrics)
    return waiting


def _add_gauges(waiting: WaitingRequests, metrics: DirectMetrics) -> None:
    gauge = metrics.all.labelled_gauge

    def waiting_by_priority() -> Mapping[tuple[str, ...], float]:
        return {
            (service, str(priority)): count
            for service, counts in waiting.waiting().items()
            for priority, count in counts.items()
        }

    def column(index: int) -> Mapping[tuple[str, ...], float]:
        return {(service,): row[index] for service, row in waiting.places().items()}

    gauge(
        "canvasyoke_requests_waiting",
        "Requests that wait for a place.",
        ("service", "priority"),
        waiting_by_priority,
    )
    for index, (name, help_text) in enumerate(
        (
            ("canvasyoke_places", "Places of the available backends."),
            ("canvasyoke_places_in_use", "Places in use, as this entry estimates them."),
            ("canvasyoke_places_reserved", "Free places left to more urgent requests elsewhere."),
        )
    ):
        gauge(name, help_text, ("service",), partial(column, index))
