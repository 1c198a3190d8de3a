"""Decision on one request by the forecast of its place."""

from __future__ import annotations

from dataclasses import replace

import pytest

from canvasyoke.admission import (
    WAITING_MARGIN,
    Decision,
    PendingRequest,
    ServiceRoom,
    decide,
    forecast_wait,
)

REQUEST = PendingRequest(1, "o", 10_000, 18_000, 11_900, 1_600)
FULL = ServiceRoom(315, 315, True, None, 10.0, 1_600)
CLOSED = replace(FULL, in_use=0, is_open=False)

#: Request, places that others get first, room, and decision.
CASES = [
    ("a free place", REQUEST, 0, replace(FULL, in_use=314), Decision.ADMIT),
    ("others take the free place", REQUEST, 1, replace(FULL, in_use=314), Decision.WAIT),
    ("soon", REQUEST, 2, FULL, Decision.WAIT),
    ("after the patience", REQUEST, 30, FULL, Decision.REFUSE),
    ("too late to finish", replace(REQUEST, deadline=11_800), 2, FULL, Decision.REFUSE),
    ("no place becomes free", REQUEST, 0, replace(FULL, entry_rate=0.0), Decision.REFUSE),
    ("closed, unknown", REQUEST, 0, CLOSED, Decision.REFUSE),
    ("opens soon", REQUEST, 5, replace(CLOSED, opens_in=600), Decision.WAIT),
    ("opens late", REQUEST, 0, replace(CLOSED, opens_in=2_000), Decision.REFUSE),
]


@pytest.mark.parametrize(
    ("request_", "ahead", "room", "decision"), [case[1:] for case in CASES], ids=lambda _: ""
)
def test_decision(
    request_: PendingRequest, ahead: int, room: ServiceRoom, decision: Decision
) -> None:
    assert decide(request_, ahead, room, 10_000) is decision


def test_a_waiting_request_is_refused_only_when_its_forecast_has_clearly_turned() -> None:
    """Otherwise noise of the estimates ends waits that would have been served."""
    ahead = 16
    assert decide(REQUEST, ahead, FULL, 10_000) is Decision.REFUSE
    assert decide(REQUEST, ahead, FULL, 10_000, WAITING_MARGIN) is Decision.WAIT
    assert decide(REQUEST, 60, FULL, 10_000, WAITING_MARGIN) is Decision.REFUSE


def test_the_first_places_of_an_opening_group_are_free_at_once() -> None:
    assert forecast_wait(9, replace(CLOSED, opens_in=600)) == 600
    later = forecast_wait(29, replace(CLOSED, opens_in=600))
    assert later is not None
    assert later > 1_000
