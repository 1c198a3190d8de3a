"""Links between canvasyoke's processes, the HTTP server and the HTTP client."""

from canvasyoke.transport._caller_server import CallerServer, ServerLimits
from canvasyoke.transport._exchange import (
    Exchange,
    ExchangeError,
    ExchangeSlot,
    NotConnected,
    Reach,
    Sent,
    Withdrawn,
    can_connect,
    exchange,
    reach,
)
from canvasyoke.transport._http_client import BackendPool, CallFailed, HttpFailure, HttpReply
from canvasyoke.transport._http_server import HttpServer
from canvasyoke.transport._link_client import LinkClient
from canvasyoke.transport._link_server import LinkServer
from canvasyoke.transport._session import Session

__all__ = [
    "BackendPool",
    "CallFailed",
    "CallerServer",
    "Exchange",
    "ExchangeError",
    "ExchangeSlot",
    "HttpFailure",
    "HttpReply",
    "HttpServer",
    "LinkClient",
    "LinkServer",
    "NotConnected",
    "Reach",
    "Sent",
    "ServerLimits",
    "Session",
    "Withdrawn",
    "can_connect",
    "exchange",
    "reach",
]
