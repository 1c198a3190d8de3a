"""Drains an entry that stops: withdraws readiness, and completes and sends what it has begun."""

from __future__ import annotations

import threading
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.direct._callers import CallerApp
from canvasyoke.observe import part_logger
from canvasyoke.transport import CallerServer

_log = part_logger("entry")
#: Milliseconds for which the balancer may still open connections after readiness is withdrawn: it
#: probes once a second and needs two failures.
_BALANCER_GRACE: Final = 2_300
#: Milliseconds between checks whether all responses have been sent while draining.
_DRAIN_POLL_INTERVAL: Final = 50
#: Milliseconds in which the server closes its connections before the process exits.
_FLUSH_TIME: Final = 100


def drain(caller_app: CallerApp, caller_server: CallerServer) -> None:
    """Withdraw readiness and return when the responses to all requests have been sent.

    A caller that has stopped reading is given up after the idle time of its connection.
    """
    _log.info("stopping", in_flight=caller_app.in_flight)
    caller_server.set_draining(True)
    pause = threading.Event()
    pause.wait(_BALANCER_GRACE / SECOND)
    # A later request might not finish before the process is killed; the balancer can send it to
    # another entry.
    caller_app.close()
    caller_server.close_idle()
    _log.info("sending the rest", connections=caller_server.busy_connections)
    while caller_server.busy_connections:
        pause.wait(_DRAIN_POLL_INTERVAL / SECOND)
        caller_server.close_idle()
    pause.wait(_FLUSH_TIME / SECOND)
