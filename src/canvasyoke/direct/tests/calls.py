"""Builders for calls and forwarders with scripted backends."""

from __future__ import annotations

import random
from collections.abc import Callable

from canvasyoke._clock import Clock
from canvasyoke.backend import DirectBackendPort, GroupReport, OutboundRequest, SendResult
from canvasyoke.crashes import CrashDetector, ExitMonitor, Quarantine
from canvasyoke.direct._budget import FleetRetryBudget
from canvasyoke.direct._call import DirectCall
from canvasyoke.direct._forwarder import Forwarder
from canvasyoke.direct._metrics import DirectMetrics
from canvasyoke.direct._notice_handler import NoticeHandler
from canvasyoke.direct._return_times import ReturnTimes
from canvasyoke.direct._roster import Roster
from canvasyoke.direct._waiting_gauges import build_waiting
from canvasyoke.state import Endpoint, Repeatability, ServiceShare, TableRoute
from canvasyoke.transport import ExchangeHandle, ProbeResult

ROUTE = TableRoute(
    name="r",
    host="reader.example",
    path_prefix="/r/",
    shares=(ServiceShare("ink", 1),),
    repeatability=Repeatability.ONCE,
    is_stream=True,
    resumable=False,
    timeout=8_000,
    objective=400,
    priority=1,
    max_attempts=1,
    is_anonymous=True,
)


class CannedPort(DirectBackendPort):
    def __init__(self, send: Callable[[], SendResult]) -> None:
        self._send = send
        #: Handle of the last exchange.
        self.slot: ExchangeHandle | None = None

    def send(
        self,
        endpoint: Endpoint,
        request: OutboundRequest,
        connect_timeout: int,
        slot: ExchangeHandle,
    ) -> SendResult:
        self.slot = slot
        return self._send()

    def slowdown_of(self, endpoint: Endpoint) -> float | None:
        return None

    def group_of(self, endpoint: Endpoint) -> str | None:
        return ""

    def group_report(self, endpoint: Endpoint) -> GroupReport | None:
        return None


def make_forwarder(
    port: DirectBackendPort,
    roster: Roster,
    budget: FleetRetryBudget,
    clock: Clock,
    reach: ProbeResult = ProbeResult.LISTENING,
    quarantine: Quarantine | None = None,
) -> Forwarder:
    """Return a forwarder whose crash probe returns ``reach`` for every failed backend."""
    quarantine = quarantine or Quarantine(clock, lambda _name, _case: None)
    metrics = DirectMetrics()
    return_times = ReturnTimes(roster, clock)
    crash_detector = CrashDetector(roster, metrics, lambda _address, _timeout: reach)
    exit_monitor = ExitMonitor(
        crash_detector, roster, quarantine, metrics, clock, lambda _address, _timeout: reach
    )
    notice_handler = NoticeHandler(roster, metrics, lambda _notice: None)
    return Forwarder(
        port,
        roster,
        budget,
        exit_monitor,
        quarantine,
        notice_handler,
        build_waiting(roster, return_times, clock, metrics),
        return_times,
        metrics,
        clock,
        random.Random(1),
    )


def make_call(route: TableRoute = ROUTE, time_left: int = 8_000) -> DirectCall:
    return DirectCall(
        request_id="q",
        method="POST",
        target="/r/1",
        headers=(),
        body=b"",
        route=route,
        service="ink",
        organisation="",
        priority=1,
        table_version=1,
        arrived_at=10_000,
        deadline=10_000 + time_left,
        is_disconnected=lambda: False,
    )
