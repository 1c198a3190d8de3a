"""Decisions on which request gets a place when places are scarce; without sockets or threads."""

from canvasyoke.admission._outage import OutageForecast
from canvasyoke.admission._request import PendingRequest
from canvasyoke.admission._returns import FIRST_EVENT_MARGIN, ReturnPlanner, WaitPlan
from canvasyoke.admission._room import ServiceRoom

__all__ = [
    "FIRST_EVENT_MARGIN",
    "OutageForecast",
    "PendingRequest",
    "ReturnPlanner",
    "ServiceRoom",
    "WaitPlan",
]
