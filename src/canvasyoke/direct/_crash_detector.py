"""Whether the run of a backend has ended when an exchange with it broke.

A connection ends early for many reasons: a reset on the way, a group that has lost another
rank, an answer that was lost. Only one of them also ends the run, and then nothing listens
at its address until another run does, some three seconds later. So the address is tried
once, at once.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Final

from canvasyoke.direct._call import DirectCall
from canvasyoke.direct._metrics import DirectMetrics
from canvasyoke.direct._roster import Roster
from canvasyoke.observe import part_logger
from canvasyoke.state import Endpoint
from canvasyoke.transport import Reach, reach

_log = part_logger("breaks")
#: Milliseconds for the try. A caller whose request may go on elsewhere waits for it: a
#: round trip takes 1 to 3 ms, and only a lost packet or a cut takes all of this.
_TRY_TIMEOUT: Final = 30


class BackendFate(enum.StrEnum):
    """What has become of a backend whose exchange broke."""

    #: Nothing listens at its address, and it had not said that it would leave.
    ENDED = "ended"
    #: Something accepts connections at its address.
    LISTENS = "listens"
    #: It was leaving, or had gone from the list before.
    LEAVING = "leaving"
    #: The try brought no answer.
    UNKNOWN = "unknown"


_FATES: Final = {
    Reach.LISTENING: BackendFate.LISTENS,
    Reach.REFUSED: BackendFate.ENDED,
    Reach.SILENT: BackendFate.UNKNOWN,
}


class BreakExaminer:
    """Looks at the backend of each exchange that broke."""

    def __init__(
        self,
        roster: Roster,
        metrics: DirectMetrics,
        try_reach: Callable[[str, int], Reach] = reach,
    ) -> None:
        self._roster = roster
        self._metrics = metrics
        self._try_reach = try_reach

    def examine(self, call: DirectCall, endpoint: Endpoint, detail: str) -> BackendFate:
        """Return what has become of the backend that ``call`` was sent to."""
        fate = self._fate(endpoint)
        self._metrics.broke(fate)
        _log.warning(
            "exchange broke",
            request_id=call.request_id,
            fingerprint=call.fingerprint,
            backend=endpoint.run,
            fate=fate.value,
            detail=detail,
        )
        return fate

    def _fate(self, endpoint: Endpoint) -> BackendFate:
        if not self._roster.is_ready(endpoint.run):
            return BackendFate.LEAVING
        return _FATES[self._try_reach(endpoint.address, _TRY_TIMEOUT)]
