"""The rank process: sets up its components and runs them until it is told to stop."""

from __future__ import annotations

import random
import secrets
import signal
import threading
from collections.abc import Callable
from typing import Any, Final

import msgspec

from canvasyoke._clock import SECOND, Clock, SystemClock
from canvasyoke.coordination import DemandStabilityEstimator
from canvasyoke.experts._acting_owner import Pause
from canvasyoke.experts._change_types import OWNER_RANK, OWNER_TIMEOUT
from canvasyoke.experts._hold_ledger import HoldLedger
from canvasyoke.experts._linked_group import LinkedGroup
from canvasyoke.experts._lookup_limiter import LookupLimiter
from canvasyoke.experts._note_keeper import NoteKeeper
from canvasyoke.experts._owner import MapOwner
from canvasyoke.experts._owner_link import OwnerLink
from canvasyoke.experts._rank_client import RankClient
from canvasyoke.experts._rank_directory import NOTE_KIND, RankDirectory, RankNote
from canvasyoke.experts._rank_port import (
    LOCAL_TIMEOUT,
    RANK_PORTS,
    RankReport,
)
from canvasyoke.experts._reading_schedule import (
    OWNER_READ_OFFSET,
    READ_INTERVAL,
    RELAY_READ_OFFSET,
    time_until_next,
)
from canvasyoke.experts._relay import Relay
from canvasyoke.experts._standby import STANDBY_RANK
from canvasyoke.experts._standby_role import StandbyRole
from canvasyoke.observe import Metrics, part_logger
from canvasyoke.protocol import Message
from canvasyoke.state import (
    FLEET_STORES,
    Note,
    RanksSettings,
    WatchedFile,
    load_settings,
    read_link_key,
)
from canvasyoke.transport import HttpServer, LinkServer, RequestBudget, ServerCapacity, Session

_log = part_logger("ranks")
#: Milliseconds between ticks of the owner.
_TICK_INTERVAL: Final = 100
#: Name of the link key in the store.
_LINK_KEY_NAME: Final = "ranks"
#: Limits of the metrics endpoint, which only operators call.
_ADMIN_THREADS: Final = 1
_ADMIN_MAX_BODY: Final = 4 << 10
#: Part of the memory that requests for metrics may hold together.
_REQUEST_MEMORY_FRACTION: Final = 0.1
_ADMIN_CONNECTIONS: Final = 32


class RanksProcess:
    """The process beside one engine."""

    def __init__(
        self, settings: RanksSettings, settings_path: str, clock: Clock | None = None
    ) -> None:
        self._settings = settings
        self._settings_path = settings_path
        self._settings_file = WatchedFile(settings_path)
        self._clock = clock or SystemClock()
        self._rng = random.Random(secrets.randbits(64))
        self._incarnation = secrets.token_hex(8)
        self._store = FLEET_STORES.get(settings.adapter)(settings.store)
        make_port = RANK_PORTS.get(settings.adapter)
        self._rank_client = RankClient(make_port(settings.engine, LOCAL_TIMEOUT))
        self._stop = threading.Event()
        self._reload = threading.Event()
        self._link_key = b""
        self._directory = RankDirectory(self._store, make_port)
        #: Group and rank for which the note in the store was written.
        self._registered: tuple[str, int] | None = None
        self._lookup_limiter = LookupLimiter(self._clock)
        self._owner_link = OwnerLink(
            settings.instance,
            self._incarnation,
            self._rank_client,
            self._lookup_limiter,
            self._directory.read_notes,
            self._make_relay,
            self._clock,
            self._rng,
        )
        self._note_keeper = NoteKeeper(
            self._store, NOTE_KIND, _LINK_KEY_NAME, self._use_key, self._rng
        )
        self._server: LinkServer | None = None
        self._group: LinkedGroup | None = None
        self._owner: MapOwner | None = None
        #: Time at which the owner's last tick ended; 0 before it.
        self._owner_ran_at = 0
        #: Kept across epochs, as the rate of demand shifts does not depend on them.
        self._demand = DemandStabilityEstimator()
        self._metrics = Metrics()
        self._change_counter = self._metrics.counter(
            "canvasyoke_map_changes_total", "Changes of the group's map by result.", "result"
        )
        self._metrics.gauge(
            "canvasyoke_owns_map", "1 where this process owns a map.", self._owns_map
        )
        self._holds = HoldLedger()
        self._standby = StandbyRole(
            self._rank_client,
            self._directory.client,
            self._directory.read_notes,
            self._make_owner,
            lambda: self._owner_link.silence,
            self._store,
            self._incarnation,
            self._change_counter,
            self._clock,
            self._holds,
        )
        self._metrics.gauge(
            "canvasyoke_acts_for_owner",
            "1 while this process changes the map for a silent owner.",
            lambda: int(self._standby.acting.is_acting),
        )
        self._metrics.gauge(
            "canvasyoke_map_skew",
            "Most loaded rank over the mean under the demand seen last; 0 without a map.",
            lambda: self._owner.skew if self._owner is not None else self._standby.acting.skew,
        )
        self._metrics.gauge(
            "canvasyoke_demand_span_seconds",
            "Time for which demand is expected to stay as it is.",
            lambda: self._demand.expected_duration / SECOND,
        )
        self._metrics.gauge(
            "canvasyoke_linked",
            "1 while the owner, or a relay to it, is linked.",
            lambda: int(self._owner_link.is_linked),
        )
        self._metrics.gauge(
            "canvasyoke_standby_linked",
            "1 while the idle link to the standby is up.",
            lambda: int(self._owner_link.is_standby_linked),
        )

    def _owns_map(self) -> int:
        return int(self._owner is not None and self._owner.owns_map)

    def run(self) -> int:
        """Run until told to stop; return the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self._stop.set())
        signal.signal(signal.SIGINT, lambda *_: self._stop.set())
        signal.signal(signal.SIGHUP, lambda *_: self._reload.set())
        budget = RequestBudget(
            self._clock, round(_REQUEST_MEMORY_FRACTION * self._settings.machine.memory_bytes)
        )
        admin = HttpServer(
            self._serve_metrics,
            self._settings.metrics,
            _ADMIN_THREADS,
            _ADMIN_MAX_BODY,
            ServerCapacity(budget, _ADMIN_CONNECTIONS),
        )
        admin.start()
        self._note_keeper.start()
        _log.info("started", instance=self._settings.instance, engine=self._settings.engine)
        while not self._stop.is_set():
            if self._settings_file.has_changed() or self._reload.is_set():
                self._reload.clear()
                self._reload_settings()
            report = self._rank_client.report()
            if report is not None:
                self._serve(report)
            self._stop.wait(self._time_until_tick() / SECOND)
        self._note_keeper.stop()
        _log.info("stopped", instance=self._settings.instance)
        return 0

    def _time_until_tick(self) -> int:
        """Return the milliseconds until the next tick."""
        wall_time = self._clock.wall()
        if self._owner is not None or self._standby.acting.is_silence:
            return time_until_next(wall_time, _TICK_INTERVAL, OWNER_READ_OFFSET)
        phase = RELAY_READ_OFFSET if self._owner_link.is_relay else 0
        return time_until_next(wall_time, READ_INTERVAL, phase)

    def _reload_settings(self) -> None:
        """Reload the settings and log which changes require a restart."""
        loaded = load_settings(self._settings_path, RanksSettings)
        if isinstance(loaded, list):
            _log.error("settings not taken", faults=[str(fault) for fault in loaded])
            return
        changed = [
            f for f in loaded.__struct_fields__ if getattr(loaded, f) != getattr(self._settings, f)
        ]
        _log.info("settings reloaded", instance=loaded.instance, need_restart=changed)

    def _serve_metrics(self, _environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
        body = self._metrics.render().encode()
        start("200 OK", [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))])
        return [body]

    def _serve(self, report: RankReport) -> None:
        """Act as owner, follower or standby according to the rank."""
        if not self._ensure_registered(report):
            return
        if report.rank == OWNER_RANK:
            self._run_owner(report)
        else:
            self._run_follower(report)
        if report.rank == STANDBY_RANK:
            self._run_standby(report)

    def _ensure_registered(self, report: RankReport) -> bool:
        """Write this process's note and read the link key; return whether both are done."""
        place = (report.group, report.rank)
        if self._registered == place and self._link_key:
            return True
        if not self._lookup_limiter.try_acquire():
            return False
        if not self._link_key:
            self._link_key = read_link_key(self._store, _LINK_KEY_NAME)
        if self._link_key and self._registered != place:
            note = RankNote(self._settings.peer, self._settings.engine, self._settings.domain)
            body = msgspec.json.encode(note)
            name = f"{report.group}.{report.rank}"
            if isinstance(self._store.put_note(NOTE_KIND, name, body), Note):
                self._registered = place
                self._note_keeper.keep(name, body, self._link_key)
                _log.info("registered in the store", group=report.group, rank=report.rank)
        return self._registered == place and bool(self._link_key)

    def _use_key(self, link_key: bytes) -> None:
        """Use the store's new link key, after the store lost the previous one."""
        self._link_key = link_key
        self._owner_link.use_key(link_key)
        if self._server is not None:
            self._server.use_key(link_key)

    def _make_relay(self) -> Relay:
        relay = Relay(
            self._settings.peer,
            self._link_key,
            self._settings.instance,
            self._incarnation,
            self._clock,
        )
        relay.start()
        return relay

    # Owner.

    def _start_server(self) -> None:
        if self._server is None:
            self._server = LinkServer(
                self._settings.peer,
                self._link_key,
                self._settings.instance,
                self._incarnation,
                self._clock,
                self._on_message,
                lambda _session: None,
                lambda _session: None,
            )
            self._server.start()

    def _run_owner(self, report: RankReport) -> None:
        self._owner_link.stop()
        self._start_server()
        if self._group is None or self._group.epoch != report.epoch:
            self._group = LinkedGroup(
                self._rank_client, report, self._clock, self._directory.client
            )
            self._owner = None
            _log.info("group seen", group=report.group, epoch=report.epoch, size=report.size)
        pause = self._clock.now() - self._owner_ran_at
        if self._owner is not None and pause > OWNER_TIMEOUT:
            _log.warning("owner did not run, forgets the demand", pause=pause)
            self._owner.resume()
            self._forget_demand(self._group)
        self._group.add_own_counts(self._rank_client.read_counts())
        if self._owner is None:
            self._owner = self._make_owner(self._group)
        is_linked = self._group.is_linked
        if (
            is_linked
            and len(self._directory.notes) < report.size
            and self._lookup_limiter.try_acquire()
        ):
            self._directory.read_notes(report.group)  # some registered after the owner was made
        if self._owner is not None and not self._owner.tick():
            self._owner = None
            self._forget_demand(self._group)
        self._owner_ran_at = self._clock.now()

    def _forget_demand(self, group: LinkedGroup) -> None:
        """Forget the demand, which another process may have followed meanwhile.

        The counts that the ranks had queued before this process fell silent are still to come.
        """
        self._demand.forget_activation()
        group.discard_counts(READ_INTERVAL)

    def _make_owner(self, group: LinkedGroup, pause: Pause | None = None) -> MapOwner | None:
        if not self._lookup_limiter.try_acquire():
            return None
        self._directory.read_notes(group.name)
        geometry = self._directory.geometry()
        if geometry is None:
            return None
        if pause is not None:
            self._demand.forget_activation()
        return MapOwner(
            group,
            self._store,
            self._incarnation,
            geometry,
            self._demand,
            self._change_counter,
            self._clock,
            pause,
            self._holds,
        )

    def _on_message(self, session: Session, message: Message) -> None:
        if self._group is not None:
            self._group.on_message(session, message)
        else:
            self._standby.acting.on_message(session, message)

    # Other ranks.

    def _run_follower(self, report: RankReport) -> None:
        self._owner = None
        self._group = None
        if report.rank != STANDBY_RANK and self._server is not None:
            self._server.stop()
            self._server = None
        self._owner_link.tick(report, self._link_key)

    def _run_standby(self, report: RankReport) -> None:
        self._owner_link.stop_relay()
        self._start_server()
        self._standby.tick(report)
