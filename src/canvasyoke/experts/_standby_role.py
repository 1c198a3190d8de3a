"""What the process beside rank 1 does for a silent owner: ends its change, then acts for it."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from canvasyoke._clock import Clock
from canvasyoke.experts._acting_group import ActingGroup
from canvasyoke.experts._acting_owner import ActingOwner, Pause
from canvasyoke.experts._change_types import OWNER_RANK
from canvasyoke.experts._direct_group import DirectGroup
from canvasyoke.experts._hold_ledger import HoldLedger
from canvasyoke.experts._owner import MapOwner
from canvasyoke.experts._rank_client import RankClient
from canvasyoke.experts._rank_port import RankReport
from canvasyoke.experts._standby import Standby
from canvasyoke.observe import Counter
from canvasyoke.state import FleetStore


class StandbyRole:
    """Combines :class:`Standby`, made anew for each epoch, and :class:`ActingOwner`."""

    def __init__(
        self,
        own_client: RankClient,
        remote_client: Callable[[int], RankClient | None],
        read_notes: Callable[[str], Mapping[int, object]],
        make_owner: Callable[[ActingGroup, Pause], MapOwner | None],
        silence: Callable[[], int],
        store: FleetStore,
        incarnation: str,
        change_counter: Counter,
        clock: Clock,
        holds: HoldLedger,
    ) -> None:
        self._own_client = own_client
        self._remote_client = remote_client
        self._read_notes = read_notes
        self._silence = silence
        self._store = store
        self._incarnation = incarnation
        self._change_counter = change_counter
        self._clock = clock
        self._holds = holds
        self._standby: Standby | None = None
        self.acting = ActingOwner(
            lambda report: ActingGroup(own_client, report, clock, remote_client),
            make_owner,
            silence,
            clock,
        )

    def tick(self, report: RankReport) -> None:
        """Act for a silent owner; end its change while that is not possible."""
        if self._standby is None or self._standby.epoch != report.epoch:
            self._standby = self._make_standby(report)
        if not self.acting.tick(report, self._own_client.read_counts):
            self._standby.check(report, self._silence(), self.acting.is_group_held)

    def _make_standby(self, report: RankReport) -> Standby:
        return Standby(
            report,
            lambda: self._remote_client(OWNER_RANK),
            lambda: self._direct_group(report),
            self._store,
            self._incarnation,
            self._change_counter,
            self._clock,
            self._holds,
        )

    def _direct_group(self, report: RankReport) -> DirectGroup | None:
        """Return the group reached at its engines, or ``None`` while an address is unknown."""
        clients = {r: self._remote_client(r) for r in range(report.size) if r != report.rank}
        known_clients = {r: client for r, client in clients.items() if client is not None}
        if len(known_clients) < report.size - 1:
            self._read_notes(report.group)
            return None
        return DirectGroup({**known_clients, report.rank: self._own_client}, report.rank)
