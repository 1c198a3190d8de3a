"""Applies the notices in backends' answers, and logs and shares what they change."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Final

from canvasyoke._clock import SECOND
from canvasyoke.backend import BackendNotice, UnreadableField
from canvasyoke.direct._backend_notices import SharedNotice
from canvasyoke.direct._metrics import DirectMetrics
from canvasyoke.direct._roster import Roster
from canvasyoke.observe import part_logger
from canvasyoke.state import Endpoint

_log = part_logger("words")
#: Unreadable fields that are remembered, so that each is logged once.
_MAX_UNREADABLE: Final = 1_000


class NoticeHandler:
    """Handles the notices of all attempts of an entry; thread-safe."""

    def __init__(
        self, roster: Roster, metrics: DirectMetrics, on_change: Callable[[SharedNotice], None]
    ) -> None:
        self._roster = roster
        self._metrics = metrics
        self._on_change = on_change
        self._lock = threading.Lock()
        #: Runs and unreadable fields that were logged, oldest first.
        self._unreadable: dict[tuple[str, str], None] = {}

    def handle(self, endpoint: Endpoint, notice: BackendNotice) -> None:
        """Apply the notice in the head of an answer, whatever its status."""
        for field in notice.unreadable:
            self._report_unreadable(endpoint.run, field)
        change = self._roster.record_notice(endpoint, notice)
        if change.backoff:
            _log.info(
                "backend asks to back off",
                backend=endpoint.run,
                service=endpoint.service,
                seconds=change.backoff / SECOND,
            )
        if change.leaves:
            _log.info("backend says that it leaves", backend=endpoint.run, service=endpoint.service)
        if change.limit is not None:
            _log.info(
                "backend names a limit" if change.limit.rate is not None else "limit taken back",
                backend=endpoint.run,
                service=endpoint.service,
                rate=change.limit.rate,
            )
        if change.has_any:
            self._on_change(
                SharedNotice(
                    endpoint.run, endpoint.address, change.backoff, change.leaves, change.limit
                )
            )

    def _report_unreadable(self, run: str, field: UnreadableField) -> None:
        self._metrics.count_unreadable_field(field.name)
        with self._lock:
            if (run, field.name) in self._unreadable:
                return
            self._unreadable[run, field.name] = None
            if len(self._unreadable) > _MAX_UNREADABLE:
                del self._unreadable[next(iter(self._unreadable))]
        _log.warning("unreadable word", backend=run, field=field.name, text=field.text)
