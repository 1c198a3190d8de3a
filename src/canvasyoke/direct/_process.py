"""Builds the components of a direct entry and runs it until it has drained."""

from __future__ import annotations

import random
import secrets
import signal
import threading
from typing import Final

from canvasyoke._clock import SECOND, Clock, SystemClock
from canvasyoke.backend import DIRECT_BACKENDS
from canvasyoke.crashes import CrashDetector, ExitMonitor, Quarantine
from canvasyoke.direct._admin import AdminApp
from canvasyoke.direct._budget import FleetRetryBudget, retry_allowance
from canvasyoke.direct._caller_port import CALLER_PORTS
from canvasyoke.direct._callers import MAX_CONCURRENT_REQUESTS, CallerApp
from canvasyoke.direct._cold_monitor import ColdMonitor
from canvasyoke.direct._domains import DomainProber
from canvasyoke.direct._drain import drain
from canvasyoke.direct._endpoint_follower import EndpointFollower
from canvasyoke.direct._evacuation_follower import EvacuationFollower
from canvasyoke.direct._forwarder import Forwarder
from canvasyoke.direct._group_learner import GroupLearner
from canvasyoke.direct._group_monitor import GroupMonitor
from canvasyoke.direct._metrics import DirectMetrics, add_list_gauges
from canvasyoke.direct._notice_handler import NoticeHandler
from canvasyoke.direct._pace_monitor import PaceMonitor
from canvasyoke.direct._peers import EntryPeers
from canvasyoke.direct._report_reader import ReportReader
from canvasyoke.direct._return_times import ReturnTimes
from canvasyoke.direct._roster import Roster
from canvasyoke.direct._table_follower import TableFollower, TableView
from canvasyoke.direct._waiting_gauges import build_waiting
from canvasyoke.observe import CallerLoad, LineWriter, part_logger
from canvasyoke.state import (
    FLEET_STORES,
    CallerLimits,
    DirectSettings,
    RoutingTable,
    WatchedFile,
    load_settings,
)
from canvasyoke.transport import CallerServer, RequestBudget, ServerCapacity, ServerLimits

_log = part_logger("entry")
#: Additional threads, so that requests over the limit can be refused.
_SPARE_THREADS: Final = 8
_ADMIN_THREADS: Final = 2
#: Part of the memory that requests may hold together. Connections, threads and responses take most
#: of the rest.
_REQUEST_MEMORY_FRACTION: Final = 0.3
#: Parts of the descriptors for connections of callers, and for exchanges with backends.
_CALLER_DESCRIPTORS_FRACTION: Final = 0.75
_BACKEND_DESCRIPTORS_FRACTION: Final = 0.15
_ADMIN_CONNECTIONS: Final = 32
#: Milliseconds between checks of the settings file and of reachability.
_CHECK_INTERVAL: Final = 500
#: Assumed number of entries until it is known.
_ASSUMED_ENTRIES: Final = 8
#: Limits of the admin servers.
_ADMIN_LIMITS: Final = ServerLimits(16 << 10, 16 << 10, 5 * SECOND, 60 * SECOND)


class DirectEntryProcess:
    """A direct entry process."""

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
        self._stopping = threading.Event()
        self._reload_requested = threading.Event()
        self._wakeup = threading.Event()
        self._view = TableView(self._on_new_table)
        self._roster = Roster(settings.domain, self._clock, rng)
        self._budget = FleetRetryBudget(retry_allowance(settings), self._clock)
        self._budget.entries = _ASSUMED_ENTRIES
        self._request_budget = RequestBudget(
            self._clock, round(_REQUEST_MEMORY_FRACTION * settings.machine.memory_bytes)
        )
        self._metrics = DirectMetrics()
        self._cold_monitor = ColdMonitor(self._roster, self._metrics.all)
        return_times = ReturnTimes(self._roster, self._clock)
        self._waiting = build_waiting(self._roster, return_times, self._clock, self._metrics)
        self._quarantine = Quarantine(
            self._clock,
            lambda name, case: self._peers.announce_case(name, case),
            settings.instance,
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
            lambda: not self._is_store_lost(),
            self._waiting,
        )
        self._table_follower = TableFollower(
            make_store(settings.store), self._view, self._peers.is_watching, self._clock, rng
        )
        self._endpoint_follower = EndpointFollower(
            make_store(settings.store),
            self._roster,
            self._peers.announce_backend,
            self._peers.is_watching,
            self._clock,
            rng,
        )
        self._evacuation_follower = EvacuationFollower(
            make_store(settings.store),
            self._peers.evacuations.evacuations,
            settings.evacuate_ms,
            self._peers.is_watching,
            self._peers.evacuations.announce,
            self._clock,
            rng,
        )
        self._followers = (self._table_follower, self._endpoint_follower, self._evacuation_follower)
        port = DIRECT_BACKENDS.get(settings.adapter)()
        crash_detector = CrashDetector(self._roster, self._metrics)
        self._exit_monitor = ExitMonitor(
            crash_detector, self._roster, self._quarantine, self._metrics, self._clock
        )
        notice_handler = NoticeHandler(self._roster, self._metrics, self._peers.announce_notice)
        forwarder = Forwarder(
            port,
            self._roster,
            self._budget,
            self._exit_monitor,
            self._quarantine,
            notice_handler,
            self._waiting,
            return_times,
            self._metrics,
            self._clock,
            rng,
        )
        report_reader = ReportReader(port, self._metrics)
        self._group_learner = GroupLearner(
            report_reader,
            self._roster,
            lambda: self._view.current,
            self._peers.is_watching,
            self._peers.announce_group,
            self._clock,
        )
        self._roster.group_states.form_time = self._view.form_time
        self._group_monitor = GroupMonitor(
            report_reader,
            self._roster,
            self._peers.is_watching,
            self._peers.groups.share,
            self._clock,
        )
        self._group_monitor.add_gauges(self._metrics.all)
        self._pace_monitor = PaceMonitor(
            report_reader,
            self._roster,
            lambda: self._view.current,
            self._peers.is_watching,
            self._peers.announce_pace,
        )
        self._domain_prober = DomainProber(
            self._roster.probe_addresses, self._roster.record_connect_success
        )
        descriptors = settings.machine.descriptors
        exchanges = int(_BACKEND_DESCRIPTORS_FRACTION * descriptors)
        max_requests = min(MAX_CONCURRENT_REQUESTS, exchanges)
        self._caller_app = CallerApp(
            CALLER_PORTS.get(settings.adapter)(),
            lambda: self._view.current if self._may_admit() else RoutingTable(),
            forwarder,
            self._clock,
            rng,
            self._metrics,
            self._on_unresponsive_backend,
            max_requests,
        )
        self._add_gauges()
        self._caller_server = CallerServer(
            self._caller_app,
            settings.http,
            max_requests + _SPARE_THREADS,
            self._clock,
            _server_limits(self._view.current.limits),
            ServerCapacity(self._request_budget, int(_CALLER_DESCRIPTORS_FRACTION * descriptors)),
        )
        self._caller_server.set_full_check(self._caller_app.is_full)
        self._caller_load = CallerLoad(
            self._metrics.all, self._request_budget, self._caller_server, _log
        )
        admin_capacity = ServerCapacity(self._request_budget, _ADMIN_CONNECTIONS)
        admin = AdminApp(self._metrics.all, self._quarantine, self._not_ready)
        self._readiness_server = CallerServer(
            admin,
            settings.ready,
            _ADMIN_THREADS,
            self._clock,
            _ADMIN_LIMITS,
            admin_capacity,
        )
        self._admin_server = CallerServer(
            admin,
            settings.metrics,
            _ADMIN_THREADS,
            self._clock,
            _ADMIN_LIMITS,
            admin_capacity,
        )

    def run(self) -> int:
        """Serve until a stop signal, then drain; return the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self._on_signal(self._stopping))
        signal.signal(signal.SIGINT, lambda *_: self._on_signal(self._stopping))
        signal.signal(signal.SIGHUP, lambda *_: self._on_signal(self._reload_requested))
        for follower in self._followers:
            follower.start()
        self._peers.start()
        self._group_learner.start()
        self._group_monitor.start()
        self._pace_monitor.start()
        self._domain_prober.start()
        self._exit_monitor.start()
        self._caller_app.start()
        for server in (self._readiness_server, self._admin_server, self._caller_server):
            server.start()
        _log.info("started", instance=self._settings.instance, http=self._settings.http)
        while not self._stopping.is_set():
            self._wakeup.wait(_CHECK_INTERVAL / SECOND)
            self._wakeup.clear()
            self._check_changes()
        drain(self._caller_app, self._caller_server)
        _log.info("stopped", instance=self._settings.instance)
        return 0

    def _on_signal(self, event: threading.Event) -> None:
        event.set()
        self._wakeup.set()

    def _check_changes(self) -> None:
        """Check for changes of the settings file and of reachability."""
        if self._settings_file.has_changed() or self._reload_requested.is_set():
            self._reload_requested.clear()
            self._load_settings()
        self._cold_monitor.update(self._view.current, self._settings)
        self._caller_load.log_changes()
        isolated = self._roster.is_isolated()
        if isolated != self._was_isolated:
            self._was_isolated = isolated
            self._caller_server.set_draining(isolated)
            _log.warning("isolated" if isolated else "no longer isolated")

    def _load_settings(self) -> None:
        loaded = load_settings(self._settings_path, DirectSettings)
        if isinstance(loaded, list):
            _log.error("settings not taken", faults=[str(fault) for fault in loaded])
            return
        self._settings = loaded
        self._budget.set_allowance(retry_allowance(loaded))
        _log.info("settings reloaded", instance=loaded.instance)

    def _on_unresponsive_backend(self, backend: str) -> None:
        """Avoid an unresponsive backend, and notify the other entries."""
        if self._roster.mark_unresponsive(backend):
            _log.warning("backend says nothing", backend=backend)
            self._peers.announce_unresponsive(backend)

    def _on_new_table(self, table: RoutingTable) -> None:
        self._cold_monitor.update(table, self._settings)
        limits = table.limits
        self._request_budget.set_longest_request(limits.header_bytes + limits.body_bytes)
        self._caller_server.set_limits(_server_limits(limits))
        self._peers.announce_table()

    def _is_store_lost(self) -> bool:
        return any(follower.is_lost for follower in self._followers)

    def _knows_evacuations(self) -> bool:
        has_rest = self._roster.is_known and self._view.current.version > 0
        has_heard_peer = self._peers.evacuations.has_heard_peer
        return self._evacuation_follower.is_settled(has_rest, has_heard_peer)

    def _may_admit(self) -> bool:
        """Return whether this entry knows what is kept from backends."""
        return self._knows_evacuations() and self._peers.knows_quarantine()

    def _not_ready(self) -> str:
        if self._stopping.is_set():
            return "stopping"
        if not self._view.current.version:
            return "no configuration yet"
        if not self._roster.is_known:
            return "no list of backends yet"
        if not self._knows_evacuations():
            return "no list of evacuations yet"
        if not self._peers.knows_quarantine():
            return "nothing known of what is quarantined yet"
        if self._roster.is_isolated():
            return "cut off from the backends"
        return ""

    def _add_gauges(self) -> None:
        gauge = self._metrics.all.gauge
        add_list_gauges(self._metrics.all, self._roster)
        gauge(
            "canvasyoke_requests_in_flight",
            "Requests held now.",
            lambda: self._caller_app.in_flight,
        )
        gauge(
            "canvasyoke_responses_dropped",
            "Responses whose caller stopped reading before their end.",
            lambda: self._caller_server.dropped_responses,
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
            lambda: self._roster.backing_off_count,
        )
        gauge(
            "canvasyoke_backends_leaving",
            "Backends that have said in an answer that they leave.",
            lambda: self._roster.leaving_count,
        )
        gauge(
            "canvasyoke_backends_limited",
            "Backends that name a rate that they take from all entries together.",
            lambda: self._roster.rate_limited_count,
        )
        gauge(
            "canvasyoke_entries_unreadable",
            "Entries in the store that name no backend, as this entry watches them.",
            lambda: self._endpoint_follower.unreadable,
        )
        gauge(
            "canvasyoke_requests_quarantined",
            "Requests and segments kept from all backends because backends ended under them.",
            lambda: len(self._quarantine.quarantined),
        )
        gauge(
            "canvasyoke_requests_suspected",
            "Requests and segments under which a backend has ended, not to blame so far.",
            lambda: self._quarantine.suspects,
        )
        gauge(
            "canvasyoke_open_failures",
            "Backends with broken exchanges whose cause is not known yet.",
            lambda: self._exit_monitor.open_count,
        )
        gauge("canvasyoke_log_lines_dropped", "Lost log lines.", lambda: self._log_writer.dropped)
        gauge("canvasyoke_peers", "Entries linked with.", lambda: self._peers.link_count)
        gauge(
            "canvasyoke_watches_store",
            "1 while this entry watches the store for its failure domain.",
            lambda: int(self._peers.is_watching()),
        )
        gauge(
            "canvasyoke_domains_evacuated",
            "Evacuated domains.",
            lambda: len(self._roster.evacuated),
        )
        gauge(
            "canvasyoke_isolated",
            "1 while cut off from what callers need.",
            lambda: int(self._roster.is_isolated()),
        )
        gauge(
            "canvasyoke_store_lost",
            "1 while the store does not answer.",
            lambda: int(self._is_store_lost()),
        )


def _server_limits(limits: CallerLimits) -> ServerLimits:
    return ServerLimits(
        limits.header_bytes, limits.body_bytes, limits.header_time, limits.idle_time
    )
