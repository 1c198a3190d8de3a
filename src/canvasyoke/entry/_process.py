"""Assembles an entry process and runs it until it has drained."""

from __future__ import annotations

import random
import secrets
import signal
import threading
from collections.abc import Callable, Iterable
from typing import Any, Final

import msgspec

from canvasyoke._clock import SECOND, Clock, SystemClock
from canvasyoke.entry._callers import HTTP_BODY_LIMIT, CallerApplication
from canvasyoke.entry._dispatch import Dispatcher
from canvasyoke.entry._metrics import EntryMetrics
from canvasyoke.entry._peers import Peers
from canvasyoke.entry._status import collect_status
from canvasyoke.entry._watcher import ConfigWatcher
from canvasyoke.observe import part_logger
from canvasyoke.protocol import EntryStatus, Status
from canvasyoke.state import PLATFORMS, ConfigKeeper, ConfigView, EntrySettings, FleetConfig
from canvasyoke.transport import HttpServer

_log = part_logger("entry")
_RANKER: Final = "two_choices"
#: Threads beyond those that hold requests, for health checks and refusals.
_SPARE_THREADS: Final = 16
_ADMIN_THREADS: Final = 4
#: Milliseconds that the balancer gets to see that the entry is not ready.
_BALANCER_GRACE: Final = 1 * SECOND
_POLL: Final = 50


class EntryProcess:
    """One entry process."""

    def __init__(self, settings: EntrySettings, clock: Clock | None = None) -> None:
        self._settings = settings
        self._clock = clock or SystemClock()
        rng = random.Random(settings.seed or secrets.randbits(64))
        self._view = ConfigView()
        self._leaving = threading.Event()
        self._keeper = ConfigKeeper.start(self._view, self._configured)
        make_platform = PLATFORMS.get(settings.platform.adapter)
        address = settings.platform.address
        self._watcher = ConfigWatcher(make_platform(address), self._view, self._keeper, rng)
        self._peers = Peers(
            make_platform(address),
            self._view,
            self._keeper,
            settings.instance,
            settings.domain,
            bytes.fromhex(settings.link_key),
            secrets.token_hex(8),
            self._clock,
            rng,
            _RANKER,
        )
        self._metrics = EntryMetrics()
        self._callers = CallerApplication(
            self._view,
            Dispatcher(self._peers, settings.domain, self._clock),
            self._clock,
            rng,
            self._metrics,
            settings.streams,
            self._not_ready,
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
        self._http = HttpServer(self._callers, [settings.http], threads, HTTP_BODY_LIMIT)
        self._admin = HttpServer(
            self._answer_admin, [settings.admin], _ADMIN_THREADS, HTTP_BODY_LIMIT
        )

    def run(self) -> int:
        """Serve until told to stop, then drain; return the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self._leaving.set())
        signal.signal(signal.SIGINT, lambda *_: self._leaving.set())
        self._watcher.start()
        self._peers.start()
        self._http.start()
        self._admin.start()
        _log.info("serving", instance=self._settings.instance, http=self._settings.http)
        while not self._leaving.wait(1):
            pass
        self._drain()
        return 0

    def _drain(self) -> None:
        """Leave the balancer, answer what is held, exit."""
        _log.info("leaving", instance=self._settings.instance)
        pause = threading.Event()
        pause.wait(_BALANCER_GRACE / SECOND)
        while self._callers.in_flight:
            pause.wait(_POLL / SECOND)
        self._http.stop()
        self._admin.stop()
        self._peers.stop()
        self._watcher.stop()
        self._keeper.stop()
        _log.info("left", instance=self._settings.instance)

    def _configured(self, config: FleetConfig) -> None:
        _log.info("configuration in force", generation=config.generation)
        self._peers.offer_all()

    def _not_ready(self) -> str:
        if self._leaving.is_set():
            return "leaving"
        if not self._view.current.generation:
            return "no configuration yet"
        if not self._peers.any_connected:
            return "no target is linked"
        return ""

    def status(self) -> Status:
        """Return what this entry can tell of the fleet."""
        entry = EntryStatus(
            instance=self._settings.instance,
            domain=self._settings.domain,
            generation=self._view.current.generation,
            leaving=self._leaving.is_set(),
            in_flight=self._callers.in_flight,
            platform=self._watcher.connected and self._peers.list_fresh,
        )
        return collect_status(entry, self._peers, self._view)

    def _answer_admin(self, environ: dict[str, Any], start: Callable[..., Any]) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/metrics":
            body = self._metrics.all.render().encode()
            kind = "text/plain; version=0.0.4"
        elif path == "/status":
            body = msgspec.json.encode(self.status())
            kind = "application/json"
        else:
            return self._callers(environ, start)
        start("200 OK", [("Content-Type", kind), ("Content-Length", str(len(body)))])
        return [body]
