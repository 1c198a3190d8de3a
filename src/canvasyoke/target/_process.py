"""The target process: wiring, main loop and graceful shutdown."""

from __future__ import annotations

import random
import secrets
import signal
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Final

from canvasyoke._clock import SECOND, Clock, SystemClock
from canvasyoke.backend import BACKENDS, Health
from canvasyoke.observe import part_logger
from canvasyoke.protocol import (
    Cancel,
    ConfigOffer,
    ConfigRequest,
    Drained,
    Forget,
    GroupOrder,
    Load,
    LoadReport,
    Message,
    Proceed,
    Resume,
    Run,
    SlotClaim,
)
from canvasyoke.state import (
    PLATFORMS,
    ConfigKeeper,
    ConfigView,
    FleetConfig,
    Group,
    Snapshot,
    TargetSettings,
)
from canvasyoke.target._lease_manager import LeaseManager
from canvasyoke.target._owner import MapOwner
from canvasyoke.target._rank_guard import RankGuard
from canvasyoke.target._rank_links import RankLinks
from canvasyoke.target._scheduler import RequestScheduler, SchedulerLoad, SchedulerSlots
from canvasyoke.target._slot_manager import NO_SLOTS, Holding, SlotManager
from canvasyoke.transport import LinkServer, Session

_log = part_logger("target")
#: Milliseconds between checks of queue deadlines and of the load.
_TICK_INTERVAL: Final = 100
#: Maximum milliseconds between load reports.
_REPORT_INTERVAL: Final = 2 * SECOND
#: Milliseconds between probes of the backend.
_PROBE_INTERVAL: Final = 500
#: Part of the memory that the bodies of requests may hold together. Links and backends hold further
#: copies of those that arrive or are sent.
_BODY_MEMORY_FRACTION: Final = 0.2
#: Consecutive failed probes after which the backend is reported as down.
_FAILED_PROBES_LIMIT: Final = 2
#: Milliseconds between the last message to the entries and closing their links.
_DRAIN_GRACE: Final = 300


class TargetProcess:
    """Serves the requests of entries with one backend until it is told to stop."""

    def __init__(self, settings: TargetSettings, clock: Clock | None = None) -> None:
        self._settings = settings
        self._clock = clock or SystemClock()
        self._rng = random.Random(settings.seed or secrets.randbits(64))
        self._incarnation = secrets.token_hex(8)
        self._backend = BACKENDS.get(settings.backend.adapter)(settings.backend.address)
        self._health = Health(True)
        self._failed_probes = 0
        self._platform = PLATFORMS.get(settings.platform.adapter)(settings.platform.address)
        self._view = ConfigView()
        self._sessions: dict[int, Session] = {}
        self._holding = NO_SLOTS
        self._load = SchedulerLoad(0, 0, 0)
        self._stop_requested = threading.Event()
        self._load_changed = threading.Event()
        self._order_executor = ThreadPoolExecutor(max_workers=4, thread_name_prefix="order")
        self._rank_guard: RankGuard | None = None
        self._map_owner: MapOwner | None = None
        self._config_keeper = ConfigKeeper.start(self._view, self._on_config_change)
        self._adopt_config = self._config_keeper.proxy().adopt
        # Bind the address before taking the lease, which relies on no earlier process with this
        # address being alive.
        self._server = LinkServer(
            settings.listen,
            bytes.fromhex(settings.link_key),
            settings.instance,
            self._incarnation,
            self._clock,
            self._on_message,
            self._on_link_open,
            self._on_link_close,
            self._current_load,
        )
        self._lease = LeaseManager(
            self._platform,
            self._clock,
            settings.service,
            settings.instance,
            self._incarnation,
            settings.listen,
        )
        self._scheduler_ref = RequestScheduler.start(
            settings.service,
            settings.instance,
            self._clock,
            self._view,
            self._backend,
            self._lease,
            self._on_load_change,
            round(_BODY_MEMORY_FRACTION * settings.machine.memory_bytes),
        )
        self._scheduler = self._scheduler_ref.proxy()
        self._slot_manager = SlotManager(
            self._platform,
            self._clock,
            settings.service,
            settings.instance,
            self._key_slot_count,
            SchedulerSlots(self._scheduler_ref, self._on_holding_change),
            self._lease,
        )

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then drain; return the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self._stop_requested.set())
        signal.signal(signal.SIGINT, lambda *_: self._stop_requested.set())
        self._server.start()
        self._slot_manager.start()
        probe_thread = threading.Thread(target=self._probe_loop, name="probe", daemon=True)
        probe_thread.start()
        _log.info("serving", instance=self._settings.instance, listen=self._settings.listen)
        self._serve()
        self._drain()
        return 0

    def _serve(self) -> None:
        reported_at = 0
        while not self._stop_requested.is_set():
            load_changed = self._load_changed.wait(_TICK_INTERVAL / SECOND)
            self._load_changed.clear()
            self._scheduler.tick.defer()
            now = self._clock.now()
            if load_changed or now - reported_at >= _REPORT_INTERVAL:
                self._send_reports()
                reported_at = now
            self._stop_requested.wait(_TICK_INTERVAL / SECOND)

    def _drain(self) -> None:
        """Announce the shutdown, release slots and leases, and finish accepted requests."""
        _log.info("stopping", instance=self._settings.instance)
        self._scheduler.stop_admitting().get()
        self._send_reports()
        self._slot_manager.release()
        self._send_reports()
        if self._map_owner is not None:
            self._map_owner.release()
        while not self._scheduler.is_idle().get():
            self._scheduler.tick.defer()
            threading.Event().wait(_TICK_INTERVAL / SECOND)
        for session in list(self._sessions.values()):
            session.send(Drained(self._settings.instance))
        threading.Event().wait(_DRAIN_GRACE / SECOND)
        self._server.stop()
        self._scheduler_ref.stop()
        self._config_keeper.stop()
        _log.info("stopped", instance=self._settings.instance)

    # Link callbacks

    def _on_link_open(self, session: Session) -> None:
        self._sessions[id(session)] = session
        _log.debug("link opened", peer=session.peer, role=session.role)
        if session.role == "entry":
            session.send(self._make_report())

    def _on_link_close(self, session: Session) -> None:
        self._sessions.pop(id(session), None)
        _log.debug("link closed", peer=session.peer)

    def _on_message(self, session: Session, message: Message) -> None:
        match message:
            case Run():
                self._scheduler.submit.defer(session, message)
            case Resume():
                self._scheduler.resume.defer(
                    session, message.request, message.attempt, message.offset
                )
            case Cancel():
                self._scheduler.cancel.defer(session, message.request, message.attempt)
            case Proceed():
                self._scheduler.start_reserved.defer(session, message.request, message.attempt)
            case Forget():
                self._scheduler.forget.defer(session, message.request, message.attempt)
            case ConfigOffer():
                self._adopt_config.defer(Snapshot(message.root, message.contents))
            case ConfigRequest():
                self._offer_config(session, message.generation)
            case GroupOrder():
                self._order_executor.submit(self._execute_order, session, message)
            case _:
                _log.warning("unexpected message type", peer=session.peer)

    def _offer_config(self, session: Session, generation: int) -> None:
        snapshot, current = self._view.snapshot, self._view.current
        if snapshot is not None and current.generation > generation:
            offer = ConfigOffer(current.generation, snapshot.root, dict(snapshot.contents))
            session.send(offer)

    def _execute_order(self, session: Session, order: GroupOrder) -> None:
        if self._rank_guard is not None:
            session.send(self._rank_guard.execute(order))
            self._load_changed.set()

    # Configuration

    def _on_config_change(self, config: FleetConfig) -> None:
        _log.info("configuration in force", generation=config.generation)
        self._scheduler.apply_config.defer(config)
        self._join_rank_group(config)
        self._load_changed.set()

    def _join_rank_group(self, config: FleetConfig) -> None:
        engine = config.engines.get(self._settings.instance)
        port = self._backend.rank_port
        if self._rank_guard is not None or engine is None or not engine.model.group or port is None:
            return
        self._rank_guard = RankGuard(port, engine.model.group, engine.model.rank)
        links = RankLinks(
            bytes.fromhex(self._settings.link_key),
            self._settings.instance,
            self._incarnation,
            self._clock,
            self._rng,
        )
        self._map_owner = MapOwner(
            self._platform,
            self._clock,
            self._settings.instance,
            self._incarnation,
            self._find_group,
            links,
            self._rng,
        )
        self._map_owner.start()

    def _find_group(self) -> Group | None:
        config = self._view.current
        engine = config.engines.get(self._settings.instance)
        return config.groups.get(engine.model.group) if engine else None

    def _key_slot_count(self) -> int:
        """Return the number of key slots of the service; 0 if it uses none."""
        service = self._view.current.services.get(self._settings.service)
        return service.model.key_slots if service and service.accepts_non_repeatable else 0

    def _on_holding_change(self, holding: Holding) -> None:
        self._holding = holding
        self._load_changed.set()

    # Reports

    def _probe_loop(self) -> None:
        while not self._stop_requested.is_set():
            health = self._backend.probe()
            self._failed_probes = 0 if health.ok else self._failed_probes + 1
            ok = self._failed_probes < _FAILED_PROBES_LIMIT
            if ok != self._health.ok:
                _log.warning("backend is up" if ok else "backend is down", detail=health.detail)
                self._load_changed.set()
            self._health = Health(ok, health.detail)
            self._stop_requested.wait(_PROBE_INTERVAL / SECOND)

    def _on_load_change(self, load: SchedulerLoad) -> None:
        self._load = load
        self._load_changed.set()

    def _current_load(self) -> Load:
        return Load(self._load.running, self._load.queued, self._load.duration)

    def _send_reports(self) -> None:
        report = self._make_report()
        for session in list(self._sessions.values()):
            if session.role == "entry":
                session.send(report)

    def _make_report(self) -> LoadReport:
        load = self._load
        engine = self._view.current.engines.get(self._settings.instance)
        guard, owner = self._rank_guard, self._map_owner
        holding = self._holding
        held = holding.slots if self._lease.valid else {}
        return LoadReport(
            instance=self._settings.instance,
            domain=self._settings.domain,
            service=self._settings.service,
            running=load.running,
            queued=load.queued,
            slots=engine.model.slots if engine else 0,
            duration=load.duration,
            generation=self._view.current.generation,
            leaving=self._stop_requested.is_set(),
            healthy=self._health.ok,
            homes=[SlotClaim(index, holding.epoch) for index in held],
            group=engine.model.group if engine else "",
            rank=engine.model.rank if engine else 0,
            map_epoch=guard.active_version.epoch if guard else 0,
            map_number=guard.active_version.number if guard else 0,
            skew=owner.status.skew if owner else 0,
            moves=owner.status.moves if owner else 0,
            owner=owner.status.owner if owner else False,
        )
