"""What callers are refused before their requests are read is logged, once for each check."""

from __future__ import annotations

from typing import Any, cast

from canvasyoke import SystemClock
from canvasyoke.observe import CallerLoad, Metrics, PartLogger
from canvasyoke.transport import CallerServer, RequestBudget


class _Server:
    """A server with these counts."""

    def __init__(self) -> None:
        self.refused_unread: dict[int, int] = {413: 2}
        self.displaced_connections = 0
        self.connections = 7


class _Log:
    """Records the fields of what is logged."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def warning(self, _message: str, **fields: Any) -> None:
        self.lines.append(fields)


def test_only_what_was_refused_since_the_last_check_is_logged() -> None:
    budget, server, log = RequestBudget(SystemClock(), 100), _Server(), _Log()
    metrics = Metrics()
    load = CallerLoad(metrics, budget, cast(CallerServer, server), cast(PartLogger, log))
    load.log_changes()
    assert not log.lines
    server.refused_unread = {413: 3, 503: 1}
    server.displaced_connections = 4
    load.log_changes()
    load.log_changes()
    expected = {"status_413": 1, "status_503": 1, "displaced": 4}
    assert log.lines == [{"request_bytes": 0, "connections": 7, **expected}]
    assert 'canvasyoke_requests_refused_unread{status="413"} 3' in metrics.render()
