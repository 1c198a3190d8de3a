"""Decisions on which request gets a place when places are scarce; without sockets or threads."""

from canvasyoke.admission._outage import OutageForecast
from canvasyoke.admission._policy import (
    NEW_REQUEST_MARGIN,
    WAITING_MARGIN,
    Decision,
    decide,
    forecast_wait,
)
from canvasyoke.admission._request import FIRST_EVENT_MARGIN, PendingRequest
from canvasyoke.admission._returns import ReturnPlanner, WaitPlan
from canvasyoke.admission._room import ServiceRoom
from canvasyoke.admission._wait_queue import WaitQueue

__all__ = [
    "FIRST_EVENT_MARGIN",
    "NEW_REQUEST_MARGIN",
    "WAITING_MARGIN",
    "Decision",
    "OutageForecast",
    "PendingRequest",
    "ReturnPlanner",
    "ServiceRoom",
    "WaitPlan",
    "WaitQueue",
    "decide",
    "forecast_wait",
]
