"""Links between canvasyoke's processes, the HTTP server and the HTTP client."""

from canvasyoke.transport._http_client import BackendPool, CallFailed, HttpFailure, HttpReply
from canvasyoke.transport._http_server import HttpServer
from canvasyoke.transport._link_client import LinkClient
from canvasyoke.transport._link_server import LinkServer
from canvasyoke.transport._session import Session

__all__ = [
    "BackendPool",
    "CallFailed",
    "HttpFailure",
    "HttpReply",
    "HttpServer",
    "LinkClient",
    "LinkServer",
    "Session",
]
