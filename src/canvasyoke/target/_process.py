"""Assembles a target process and runs it until it has drained."""

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
from canvasyoke.target._desk import Desk, DeskLoad, DeskSlots
from canvasyoke.target._homes import NOTHING, Holding, HomeKeeper
from canvasyoke.target._lease_keeper import LeaseKeeper
from canvasyoke.target._owner import MapOwner
from canvasyoke.target._rank import RankGuard
from canvasyoke.target._ranks import RankLinks
from canvasyoke.transport import LinkServer, Session

_log = part_logger("target")
#: Milliseconds between looks at the queue's deadlines and the load.
_TICK: Final = 100
#: Milliseconds between reports when nothing changes.
_REPORT_EVERY: Final = 2 * SECOND
#: Milliseconds between probes of the backend.
_PROBE_EVERY: Final = 500
#: Probes in a row that must fail before the backend counts as down.
_PROBES_FAILED: Final = 2
#: Milliseconds a leaving target gives its entries to hear of it.
_GRACE: Final = 300


class TargetProcess:
    """One target process."""

    def __init__(self, settings: TargetSettings, clock: Clock | None = None) -> None:
        self._settings = settings
        self._clock = clock or SystemClock()
        self._rng = random.Random(settings.seed or secrets.randbits(64))
        self._incarnation = secrets.token_hex(8)
        self._backend = BACKENDS.get(settings.backend.adapter)(settings.backend.address)
        self._health = Health(True)
        self._probes_failed = 0
        self._platform = PLATFORMS.get(settings.platform.adapter)(settings.platform.address)
        self._view = ConfigView()
        self._sessions: dict[int, Session] = {}
        self._holding = NOTHING
        self._load = DeskLoad(0, 0, 0)
        self._leaving = threading.Event()
        self._load_changed = threading.Event()
        self._started = False
        self._orders = ThreadPoolExecutor(max_workers=4, thread_name_prefix="order")
        self._guard: RankGuard | None = None
        self._owner: MapOwner | None = None
        self._keeper = ConfigKeeper.start(self._view, self._configured)
        self._adopt = self._keeper.proxy().adopt
        # Binding the address comes first: it proves that no former run of this
        # instance is alive, which the lease relies on.
        self._server = LinkServer(
            settings.listen,
            bytes.fromhex(settings.link_key),
            settings.instance,
            self._incarnation,
            self._clock,
            self._received,
            self._opened,
            self._closed,
            self._load_along,
        )
        self._lease = LeaseKeeper(
            self._platform,
            self._clock,
            settings.service,
            settings.instance,
            self._incarnation,
            settings.listen,
        )
        self._desk = Desk.start(
            settings.service,
            settings.instance,
            self._clock,
            self._view,
            self._backend,
            self._lease,
            self._load_is,
        )
        self._asks = self._desk.proxy()
        self._homes = HomeKeeper(
            self._platform,
            self._clock,
            settings.service,
            settings.instance,
            self._key_slots,
            DeskSlots(self._desk, self._hold),
            self._lease,
        )

    def run(self) -> int:
        """Serve until told to stop, then drain; return the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self._leaving.set())
        signal.signal(signal.SIGINT, lambda *_: self._leaving.set())
        self._server.start()
        self._homes.start()
        probes = threading.Thread(target=self._probe_loop, name="probe", daemon=True)
        probes.start()
        _log.info("serving", instance=self._settings.instance, listen=self._settings.listen)
        self._serve()
        self._drain()
        return 0

    def _serve(self) -> None:
        reported = 0
        while not self._leaving.is_set():
            changed = self._load_changed.wait(_TICK / SECOND)
            self._load_changed.clear()
            self._asks.tick.defer()
            now = self._clock.now()
            if changed or now - reported >= _REPORT_EVERY:
                self._report()
                reported = now
            self._leaving.wait(_TICK / SECOND)

    def _drain(self) -> None:
        """Tell everybody, finish what was taken, give leases back, exit."""
        _log.info("leaving", instance=self._settings.instance)
        self._asks.leave().get()
        self._report()
        self._homes.release()
        self._report()
        if self._owner is not None:
            self._owner.release()
        while not self._asks.idle().get():
            self._asks.tick.defer()
            threading.Event().wait(_TICK / SECOND)
        for session in list(self._sessions.values()):
            session.send(Drained(self._settings.instance))
        threading.Event().wait(_GRACE / SECOND)
        self._server.stop()
        self._desk.stop()
        self._keeper.stop()
        _log.info("left", instance=self._settings.instance)

    # Links.

    def _opened(self, session: Session) -> None:
        self._sessions[id(session)] = session
        _log.debug("peer is up", peer=session.peer, role=session.role)
        if session.role == "entry":
            session.send(self._make_report())

    def _closed(self, session: Session) -> None:
        self._sessions.pop(id(session), None)
        _log.debug("peer is down", peer=session.peer)

    def _received(self, session: Session, message: Message) -> None:
        match message:
            case Run():
                self._asks.submit.defer(session, message)
            case Resume():
                self._asks.resume.defer(session, message.request, message.attempt, message.offset)
            case Cancel():
                self._asks.cancel.defer(session, message.request, message.attempt)
            case Proceed():
                self._asks.go.defer(session, message.request, message.attempt)
            case Forget():
                self._asks.forget.defer(session, message.request, message.attempt)
            case ConfigOffer():
                self._adopt.defer(Snapshot(message.root, message.contents))
            case ConfigRequest():
                self._offer_config(session, message.generation)
            case GroupOrder():
                self._orders.submit(self._carry, session, message)
            case _:
                _log.warning("message of the wrong kind", peer=session.peer)

    def _offer_config(self, session: Session, generation: int) -> None:
        snapshot, current = self._view.snapshot, self._view.current
        if snapshot is not None and current.generation > generation:
            offer = ConfigOffer(current.generation, snapshot.root, dict(snapshot.contents))
            session.send(offer)

    def _carry(self, session: Session, order: GroupOrder) -> None:
        if self._guard is not None:
            session.send(self._guard.carry(order))
            self._load_changed.set()

    # Configuration.

    def _configured(self, config: FleetConfig) -> None:
        _log.info("configuration in force", generation=config.generation)
        self._asks.configured.defer(config)
        self._join_group(config)
        self._load_changed.set()

    def _join_group(self, config: FleetConfig) -> None:
        engine = config.engines.get(self._settings.instance)
        port = self._backend.rank_port
        if self._guard is not None or engine is None or not engine.model.group or port is None:
            return
        self._guard = RankGuard(port, engine.model.group, engine.model.rank)
        links = RankLinks(
            bytes.fromhex(self._settings.link_key),
            self._settings.instance,
            self._incarnation,
            self._clock,
            self._rng,
        )
        self._owner = MapOwner(
            self._platform,
            self._clock,
            self._settings.instance,
            self._incarnation,
            self._group,
            links,
            self._rng,
        )
        self._owner.start()

    def _group(self) -> Group | None:
        config = self._view.current
        engine = config.engines.get(self._settings.instance)
        return config.groups.get(engine.model.group) if engine else None

    def _key_slots(self) -> int:
        """Return the slots of the service's keys; 0 when it needs none."""
        service = self._view.current.services.get(self._settings.service)
        return service.model.key_slots if service and service.holds_keys else 0

    def _hold(self, holding: Holding) -> None:
        self._holding = holding
        self._load_changed.set()

    # Reports.

    def _probe_loop(self) -> None:
        while not self._leaving.is_set():
            health = self._backend.probe()
            self._probes_failed = 0 if health.ok else self._probes_failed + 1
            ok = self._probes_failed < _PROBES_FAILED
            if ok != self._health.ok:
                _log.warning("backend is up" if ok else "backend is down", detail=health.detail)
                self._load_changed.set()
            self._health = Health(ok, health.detail)
            self._leaving.wait(_PROBE_EVERY / SECOND)

    def _load_is(self, load: DeskLoad) -> None:
        self._load = load
        self._load_changed.set()

    def _load_along(self) -> Load:
        return Load(self._load.running, self._load.queued, self._load.duration)

    def _report(self) -> None:
        report = self._make_report()
        for session in list(self._sessions.values()):
            if session.role == "entry":
                session.send(report)

    def _make_report(self) -> LoadReport:
        load = self._load
        engine = self._view.current.engines.get(self._settings.instance)
        guard, owner = self._guard, self._owner
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
            leaving=self._leaving.is_set(),
            healthy=self._health.ok,
            homes=[SlotClaim(index, holding.epoch) for index in held],
            group=engine.model.group if engine else "",
            rank=engine.model.rank if engine else 0,
            map_epoch=guard.in_force.epoch if guard else 0,
            map_number=guard.in_force.number if guard else 0,
            skew=owner.view.skew if owner else 0,
            moves=owner.view.moves if owner else 0,
            owner=owner.view.owner if owner else False,
        )
