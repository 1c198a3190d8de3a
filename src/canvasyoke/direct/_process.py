"""Assembles a direct entry and runs it until it has drained."""

from __future__ import annotations

import random
import secrets
import signal
import threading
from typing import Final

from canvasyoke._clock import SECOND, Clock, SystemClock
from canvasyoke.backend import DIRECT_BACKENDS
from canvasyoke.direct._admin import EntryAdmin
from canvasyoke.direct._break_examiner import BreakExaminer
from canvasyoke.direct._budget import FleetRetryBudget, RetryAllowance
from canvasyoke.direct._caller_port import CALLER_PORTS
from canvasyoke.direct._callers import MAX_HELD, DirectCallers
from canvasyoke.direct._domains import DomainProber
from canvasyoke.direct._endpoint_follower import EndpointFollower
from canvasyoke.direct._forwarder import Forwarder
from canvasyoke.direct._group_learner import GroupLearner
from canvasyoke.direct._metrics import DirectMetrics
from canvasyoke.direct._notice_handler import NoticeHandler
from canvasyoke.direct._pace_watch import PaceWatch
from canvasyoke.direct._peers import EntryPeers
from canvasyoke.direct._quarantine import Quarantine
from canvasyoke.direct._roster import Roster
from canvasyoke.direct._table_follower import TableFollower, TableView
from canvasyoke.observe import LineWriter, part_logger
from canvasyoke.state import (
    FLEET_STORES,
    CallerLimits,
    DirectSettings,
    RoutingTable,
    WatchedFile,
    load_settings,
)
from canvasyoke.transport import CallerServer, ServerLimits

_log = part_logger("entry")
#: Threads beyond those that hold requests, for refusals.
_SPARE_THREADS: Final = 8
_ADMIN_THREADS: Final = 2
#: Milliseconds for which the balancer may still send new connections after the entry
#: has stopped being ready: it asks once a second and needs two refusals.
_BALANCER_TIME: Final = 2_300
#: Milliseconds between looks at the settings file and at what is in reach.
_LOOK_EVERY: Final = 500
#: Milliseconds between looks at whether all requests have ended.
_POLL: Final = 50
#: Milliseconds for the last bytes to leave before the process ends.
_FLUSH: Final = 100
#: Entries that share the retry slack until their number is known.
_ASSUMED_ENTRIES: Final = 8
#: What the admin address takes; only the balancer and operators call it.
_ADMIN_LIMITS: Final = ServerLimits(16 << 10, 16 << 10, 5 * SECOND, 60 * SECOND)


class DirectEntryProcess:
    """One direct entry."""

    def __init__(
        self,
        settings: DirectSettings,
        settings_path: str,
        log_writer: LineWriter,
        clock: Clock | None = None,
    ) -> None:
        self._settings = settings
        self._log_writer = log_writer
        self._settings_path = settings_path
        self._clock = clock or SystemClock()
        rng = random.Random(secrets.randbits(64))
        self._settings_file = WatchedFile(settings_path)
        self._was_isolated = False
        self._leaving = threading.Event()
        self._reload = threading.Event()
        self._wake = threading.Event()
        self._view = TableView(self._configured)
        self._roster = Roster(settings.domain, self._clock, rng)
        self._budget = FleetRetryBudget(_allowance(settings), self._clock)
        self._budget.entries = _ASSUMED_ENTRIES
        self._metrics = DirectMetrics()
        self._quarantine = Quarantine(
            self._clock, lambda name, case: self._peers.tell_case(name, case)
        )
        make_store = FLEET_STORES.get(settings.adapter)
        self._peers = EntryPeers(
            settings,
            make_store(settings.store),
            secrets.token_hex(8),
            self._view,
            self._roster,
            self._budget,
            self._quarantine,
            self._clock,
            rng,
            lambda: not (self._table_follower.is_lost or self._endpoint_follower.is_lost),
        )
        self._table_follower = TableFollower(
            make_store(settings.store), self._view, self._peers.is_watching, self._clock, rng
        )
        self._endpoint_follower = EndpointFollower(
            make_store(settings.store),
            self._roster,
            self._peers.tell_backend,
            self._peers.is_watching,
            self._clock,
            rng,
        )
        port = DIRECT_BACKENDS.get(settings.adapter)()
        breaks = BreakExaminer(self._roster, self._metrics)
        words = NoticeHandler(self._roster, self._metrics, self._peers.tell_word)
        forwarder = Forwarder(
            port, self._roster, self._budget, breaks, self._quarantine, words, self._clock, rng
        )
        self._groups = GroupLearner(
            port,
            self._roster,
            lambda: self._view.current,
            self._peers.is_watching,
            self._peers.tell_group,
            self._clock,
        )
        self._paces = PaceWatch(
            port,
            self._roster,
            lambda: self._view.current,
            self._peers.is_watching,
            self._peers.tell_pace,
        )
        self._domains = DomainProber(self._roster.cut_addresses, self._roster.domain_reached)
        self._callers = DirectCallers(
            CALLER_PORTS.get(settings.adapter)(),
            lambda: self._view.current,
            forwarder,
            self._clock,
            rng,
            self._metrics,
            self._heard_nothing_of,
        )
        self._add_gauges()
        self._http = CallerServer(
            self._callers,
            settings.http,
            MAX_HELD + _SPARE_THREADS,
            self._clock,
            _server_limits(self._view.current.limits),
        )
        admin = EntryAdmin(self._metrics.all, self._quarantine, self._not_ready)
        self._ready = CallerServer(
            admin, settings.ready, _ADMIN_THREADS, self._clock, _ADMIN_LIMITS
        )
        self._admin = CallerServer(
            admin, settings.metrics, _ADMIN_THREADS, self._clock, _ADMIN_LIMITS
        )

    def run(self) -> int:
        """Serve until told to stop, then drain; return the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self._signalled(self._leaving))
        signal.signal(signal.SIGINT, lambda *_: self._signalled(self._leaving))
        signal.signal(signal.SIGHUP, lambda *_: self._signalled(self._reload))
        self._table_follower.start()
        self._endpoint_follower.start()
        self._peers.start()
        self._groups.start()
        self._paces.start()
        self._domains.start()
        self._callers.start()
        for server in (self._ready, self._admin, self._http):
            server.start()
        _log.info("started", instance=self._settings.instance, http=self._settings.http)
        while not self._leaving.is_set():
            self._wake.wait(_LOOK_EVERY / SECOND)
            self._wake.clear()
            self._look()
        self._drain()
        return 0

    def _signalled(self, event: threading.Event) -> None:
        event.set()
        self._wake.set()

    def _look(self) -> None:
        """Follow what changes without a word: the settings file, and the network."""
        if self._settings_file.has_changed() or self._reload.is_set():
            self._reload.clear()
            self._load_settings()
        isolated = self._roster.is_isolated()
        if isolated != self._was_isolated:
            self._was_isolated = isolated
            self._http.set_draining(isolated)
            _log.warning("isolated" if isolated else "no longer isolated")

    def _load_settings(self) -> None:
        loaded = load_settings(self._settings_path, DirectSettings)
        if isinstance(loaded, list):
            _log.error("settings not taken", faults=[str(fault) for fault in loaded])
            return
        self._settings = loaded
        self._budget.set_allowance(_allowance(loaded))
        _log.info("settings reloaded", instance=loaded.instance)

    def _drain(self) -> None:
        """Leave the balancer, answer what is held, exit."""
        _log.info("stopping", in_flight=self._callers.in_flight)
        self._http.set_draining(True)
        pause = threading.Event()
        pause.wait(_BALANCER_TIME / SECOND)
        # A request that comes later could not be sure of its end before the process is
        # killed, and the balancer has other entries for it.
        self._callers.close()
        self._http.close_idle()
        while self._callers.in_flight:
            pause.wait(_POLL / SECOND)
            self._http.close_idle()
        pause.wait(_FLUSH / SECOND)
        _log.info("stopped", instance=self._settings.instance)

    def _heard_nothing_of(self, backend: str) -> None:
        """Pass a backend over that takes streams and says nothing, here and elsewhere."""
        if self._roster.fell_silent(backend):
            _log.warning("backend says nothing", backend=backend)
            self._peers.tell_silence(backend)

    def _configured(self, table: RoutingTable) -> None:
        self._http.set_limits(_server_limits(table.limits))
        self._peers.tell_table()

    def _not_ready(self) -> str:
        if self._leaving.is_set():
            return "stopping"
        if not self._view.current.version:
            return "no configuration yet"
        if not self._roster.is_known:
            return "no list of backends yet"
        if self._roster.is_isolated():
            return "cut off from the backends"
        return ""

    def _add_gauges(self) -> None:
        gauge = self._metrics.all.gauge
        gauge(
            "canvasyoke_requests_in_flight", "Requests held now.", lambda: self._callers.in_flight
        )
        gauge(
            "canvasyoke_config_version",
            "Version of the configuration in force.",
            lambda: self._view.current.version,
        )
        gauge("canvasyoke_backends", "Backends known.", lambda: len(self._roster.ids()))
        gauge(
            "canvasyoke_backends_backing_off",
            "Backends that have asked this entry to send them nothing for now.",
            lambda: self._roster.backing_off,
        )
        gauge(
            "canvasyoke_backends_leaving",
            "Backends that have said in an answer that they leave.",
            lambda: self._roster.leaving,
        )
        gauge(
            "canvasyoke_backends_limited",
            "Backends that name a rate that they take from all entries together.",
            lambda: self._roster.limited,
        )
        gauge(
            "canvasyoke_entries_unreadable",
            "Entries in the store that name no backend, as this entry watches them.",
            lambda: self._endpoint_follower.unreadable,
        )
        gauge(
            "canvasyoke_backends_age_ms",
            "Milliseconds since the list of backends was known to be in step with the store.",
            lambda: self._roster.list_age,
        )
        gauge(
            "canvasyoke_store_era",
            "How many times the store is known to have come back from an older copy.",
            lambda: self._roster.era,
        )
        gauge(
            "canvasyoke_backends_doubted",
            "Backends of which the store's word is not believed just after its return.",
            lambda: self._roster.doubted,
        )
        gauge(
            "canvasyoke_requests_quarantined",
            "Requests that are kept from all backends because backends ended under them.",
            lambda: len(self._quarantine.culprits),
        )
        gauge(
            "canvasyoke_requests_suspected",
            "Requests under which a backend has ended, and that are not to blame so far.",
            lambda: self._quarantine.suspects,
        )
        gauge("canvasyoke_log_lines_dropped", "Lost log lines.", lambda: self._log_writer.dropped)
        gauge("canvasyoke_peers", "Entries linked with.", lambda: self._peers.linked)
        gauge(
            "canvasyoke_watches_store",
            "1 while this entry watches the store for its failure domain.",
            lambda: int(self._peers.is_watching()),
        )
        gauge(
            "canvasyoke_isolated",
            "1 while cut off from what callers need.",
            lambda: int(self._roster.is_isolated()),
        )
        gauge(
            "canvasyoke_store_lost",
            "1 while the store does not answer.",
            lambda: int(self._table_follower.is_lost or self._endpoint_follower.is_lost),
        )


def _allowance(settings: DirectSettings) -> RetryAllowance:
    window = round(settings.retry_window_s * SECOND)
    return RetryAllowance(settings.retry_ratio, settings.retry_slack, window)


def _server_limits(limits: CallerLimits) -> ServerLimits:
    return ServerLimits(
        limits.header_bytes, limits.body_bytes, limits.header_time, limits.idle_time
    )
