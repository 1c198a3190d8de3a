"""Decisions on which request gets a place when places are scarce; without sockets or threads."""

from canvasyoke.admission._request import PendingRequest
from canvasyoke.admission._room import ServiceRoom

__all__ = ["PendingRequest", "ServiceRoom"]
