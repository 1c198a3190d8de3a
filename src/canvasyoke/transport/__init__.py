"""Links between canvasyoke's processes, HTTP servers and HTTP clients."""

from canvasyoke.transport._answer_errors import ExchangeError, FailureCause
from canvasyoke.transport._api_client import ApiAnswer, ApiClient
from canvasyoke.transport._bounded_server import ServerCapacity
from canvasyoke.transport._caller_server import CallerServer, ServerLimits
from canvasyoke.transport._exchange import (
    Exchange,
    ExchangeHandle,
    NoResponse,
    NotConnected,
    ProbeResult,
    Withdrawn,
    can_connect,
    exchange,
    probe_address,
)
from canvasyoke.transport._http_client import BackendPool, CallFailed, HttpFailure, HttpReply
from canvasyoke.transport._http_server import HttpServer
from canvasyoke.transport._link_client import LinkClient
from canvasyoke.transport._link_server import LinkServer
from canvasyoke.transport._request_budget import RETRY_AFTER, RequestBudget
from canvasyoke.transport._request_parser import Overloaded, take_body
from canvasyoke.transport._session import Session

__all__ = [
    "RETRY_AFTER",
    "ApiAnswer",
    "ApiClient",
    "BackendPool",
    "CallFailed",
    "CallerServer",
    "Exchange",
    "ExchangeError",
    "ExchangeHandle",
    "FailureCause",
    "HttpFailure",
    "HttpReply",
    "HttpServer",
    "LinkClient",
    "LinkServer",
    "NoResponse",
    "NotConnected",
    "Overloaded",
    "ProbeResult",
    "RequestBudget",
    "ServerCapacity",
    "ServerLimits",
    "Session",
    "Withdrawn",
    "can_connect",
    "exchange",
    "probe_address",
    "take_body",
]
