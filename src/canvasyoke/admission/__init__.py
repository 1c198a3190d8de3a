"""Decisions on which request gets a place when places are scarce; without sockets or threads."""

from canvasyoke.admission._policy import (
    NEW_REQUEST_MARGIN,
    WAITING_MARGIN,
    Decision,
    decide,
    forecast_wait,
)
from canvasyoke.admission._request import PendingRequest
from canvasyoke.admission._room import ServiceRoom
from canvasyoke.admission._wait_queue import WaitQueue

__all__ = [
    "NEW_REQUEST_MARGIN",
    "WAITING_MARGIN",
    "Decision",
    "PendingRequest",
    "ServiceRoom",
    "WaitQueue",
    "decide",
    "forecast_wait",
]
