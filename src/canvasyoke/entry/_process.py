"""Builds the components of an entry and runs it until it has drained."""

from __future__ import annotations

import random
import secrets
import signal
import threading
from collections.abc import Callable, Iterable
from typing import Any, Final

import msgspec

from canvasyoke._clock import SECOND, Clock, SystemClock
from canvasyoke.entry._callers import MAX_HTTP_BODY, CallerApp, overload_error
from canvasyoke.entry._dispatch import Dispatcher
from canvasyoke.entry._metrics import EntryMetrics
from canvasyoke.entry._status import collect_status
from canvasyoke.entry._target_pool import TargetPool
from canvasyoke.entry._watcher import ConfigWatcher
from canvasyoke.observe import CallerLoad, part_logger
from canvasyoke.protocol import EntryStatus, Status
from canvasyoke.state import PLATFORMS, ConfigKeeper, ConfigView, EntrySettings, FleetConfig
from canvasyoke.transport import HttpServer, RequestBudget, ServerCapacity

_log = part_logger("entry")
_RANKER_NAME: Final = "two_choices"
#: Additional HTTP threads, so that health checks and refusals are served at full load.
_SPARE_THREADS: Final = 16
_ADMIN_THREADS: Final = 4
#: Part of the memory that requests may hold together. Links hold several copies of those that are
#: being sent.
_REQUEST_MEMORY_FRACTION: Final = 0.1
#: Part of the descriptors for connections of callers.
_CALLER_DESCRIPTORS_FRACTION: Final = 0.75
_ADMIN_CONNECTIONS: Final = 32
#: Milliseconds for the upstream balancer to notice that the entry is not ready.
_BALANCER_GRACE: Final = 1 * SECOND
#: Milliseconds between checks whether all requests have finished while draining.
_DRAIN_POLL_INTERVAL: Final = 50


class EntryProcess:
    """An entry process."""

    def __init__(self, settings: EntrySettings, clock: Clock | None = None) -> None:
        self._settings = settings
        self._clock = clock or SystemClock()
        rng = random.Random(settings.seed or secrets.randbits(64))
        self._view = ConfigView()
        self._stopping = threading.Event()
        self._keeper = ConfigKeeper.start(self._view, self._on_config)
        make_platform = PLATFORMS.get(settings.platform.adapter)
        address = settings.platform.address
        self._watcher = ConfigWatcher(make_platform(address), self._view, self._keeper, rng)
        self._pool = TargetPool(
            make_platform(address),
            self._view,
            self._keeper,
            settings.instance,
            settings.domain,
            bytes.fromhex(settings.link_key),
            secrets.token_hex(8),
            self._clock,
            rng,
            _RANKER_NAME,
        )
        self._metrics = EntryMetrics()
        self._callers = CallerApp(
            self._view,
            Dispatcher(self._pool, settings.domain, self._clock),
            self._clock,
            rng,
            self._metrics,
            settings.streams,
            self._not_ready_reason,
        )
        self._metrics.all.gauge(
            "canvasyoke_requests_in_flight", "Requests held now.", lambda: self._callers.in_flight
        )
        self._metrics.all.gauge(
            "canvasyoke_generation",
            "Generation of the configuration in force.",
            lambda: self._view.current.generation,
        )
        threads = settings.streams + _SPARE_THREADS
        budget = RequestBudget(
            self._clock, round(_REQUEST_MEMORY_FRACTION * settings.machine.memory_bytes)
        )
        budget.set_longest_request(MAX_HTTP_BODY)
        connections = int(_CALLER_DESCRIPTORS_FRACTION * settings.machine.descriptors)
        self._http = HttpServer(
            self._callers,
            settings.http,
            threads,
            MAX_HTTP_BODY,
            ServerCapacity(budget, connections),
            overload_error,
        )
        self._caller_load = CallerLoad(self._metrics.all, budget, self._http, _log)
        self._admin = HttpServer(
            self._handle_admin_request,
            settings.admin,
            _ADMIN_THREADS,
            MAX_HTTP_BODY,
            ServerCapacity(budget, _ADMIN_CONNECTIONS),
        )

    def run(self) -> int:
        """Serve until a stop signal, then drain; return the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self._stopping.set())
        signal.signal(signal.SIGINT, lambda *_: self._stopping.set())
        self._watcher.start()
        self._pool.start()
        self._http.start()
        self._admin.start()
        _log.info("serving", instance=self._settings.instance, http=self._settings.http)
        while not self._stopping.wait(1):
            self._caller_load.log_changes()
        self._drain()
        return 0

    def _drain(self) -> None:
        """Withdraw readiness, complete the requests in flight and stop all components."""
        _log.info("draining", instance=self._settings.instance)
        timer = threading.Event()
        timer.wait(_BALANCER_GRACE / SECOND)
        while self._http.busy_connections:
            timer.wait(_DRAIN_POLL_INTERVAL / SECOND)
        self._http.stop()
        self._admin.stop()
        self._pool.stop()
        self._watcher.stop()
        self._keeper.stop()
        _log.info("stopped", instance=self._settings.instance)

    def _on_config(self, config: FleetConfig) -> None:
        _log.info("configuration in force", generation=config.generation)
        self._pool.offer_config_to_all()

    def _not_ready_reason(self) -> str:
        if self._stopping.is_set():
            return "leaving"
        if not self._view.current.generation:
            return "no configuration yet"
        if not self._pool.any_connected:
            return "no target is linked"
        return ""

    def status(self) -> Status:
        """Return the status of the fleet as seen by this entry."""
        entry = EntryStatus(
            instance=self._settings.instance,
            domain=self._settings.domain,
            generation=self._view.current.generation,
            leaving=self._stopping.is_set(),
            in_flight=self._callers.in_flight,
            platform=self._watcher.connected and self._pool.instance_list_available,
        )
        return collect_status(entry, self._pool, self._view)

    def _handle_admin_request(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/metrics":
            body = self._metrics.all.render().encode()
            content_type = "text/plain; version=0.0.4"
        elif path == "/status":
            body = msgspec.json.encode(self.status())
            content_type = "application/json"
        else:
            return self._callers(environ, start_response)
        start_response(
            "200 OK", [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        )
        return [body]
