"""Assembles the process beside an engine and runs it until it is told to stop."""

from __future__ import annotations

import random
import secrets
import signal
import threading
from collections.abc import Callable, Mapping
from typing import Any, Final

import msgspec

from canvasyoke._clock import SECOND, Clock, SystemClock
from canvasyoke.coordination import DemandStabilityEstimator
from canvasyoke.experts._change_types import OWNER_RANK
from canvasyoke.experts._far_group import FarGroup
from canvasyoke.experts._linked_group import LinkedGroup
from canvasyoke.experts._looks import Looks
from canvasyoke.experts._member import RankMember
from canvasyoke.experts._note_keeper import NoteKeeper
from canvasyoke.experts._owner import MapOwner
from canvasyoke.experts._owner_link import OwnerLink, RankNote
from canvasyoke.experts._rank_port import (
    FAR_TIMEOUT,
    NEAR_TIMEOUT,
    RANK_PORTS,
    RankReport,
)
from canvasyoke.experts._relay import Relay
from canvasyoke.experts._rounds import OWNER_PHASE, READ_EVERY, RELAY_PHASE, until_next
from canvasyoke.experts._standby import STANDBY_RANK, Standby
from canvasyoke.observe import Metrics, part_logger
from canvasyoke.protocol import Message
from canvasyoke.state import (
    FLEET_STORES,
    Note,
    RankGeometry,
    RanksSettings,
    TableRead,
    Unusable,
    WatchedFile,
    load_settings,
    read_link_key,
    read_note,
)
from canvasyoke.transport import HttpServer, LinkServer, Session

_log = part_logger("ranks")
#: Milliseconds between looks of the owner whether a change is due.
_TURN_EVERY: Final = 100
#: Kinds of the system's own objects in the store.
_RANKS: Final = "map-ranks"
_KEY_NAME: Final = "ranks"
#: What the metrics address takes; only operators call it.
_ADMIN_THREADS: Final = 1
_ADMIN_BODY: Final = 4 << 10


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
        self._make_port = RANK_PORTS.get(settings.adapter)
        self._member = RankMember(self._make_port(settings.engine, NEAR_TIMEOUT))
        self._stop = threading.Event()
        self._reload = threading.Event()
        self._link_key = b""
        self._notes: dict[int, RankNote] = {}
        #: Ranks that have been reached at their engines, with the address used.
        self._far: dict[int, tuple[str, RankMember]] = {}
        #: The place in a group that the store's note was written for.
        self._noted: tuple[str, int] | None = None
        self._looks = Looks(self._clock)
        self._owner_link = OwnerLink(
            settings.instance,
            self._incarnation,
            self._member,
            self._looks,
            self._read_notes,
            self._make_relay,
            self._clock,
            self._rng,
        )
        self._note_keeper = NoteKeeper(self._store, _RANKS, _KEY_NAME, self._use_key, self._rng)
        self._server: LinkServer | None = None
        self._group: LinkedGroup | None = None
        self._owner: MapOwner | None = None
        self._standby: Standby | None = None
        #: Outlives the group's epochs: demand changes as often after one as before.
        self._demand = DemandStabilityEstimator()
        self._metrics = Metrics()
        self._results = self._metrics.counter(
            "canvasyoke_map_changes_total", "Changes of the group's map by result.", "result"
        )
        self._metrics.gauge(
            "canvasyoke_owns_map", "1 where this process owns a map.", self._owns_map
        )
        self._metrics.gauge(
            "canvasyoke_map_skew",
            "Most loaded rank over the mean under the demand seen last; 0 without a map.",
            lambda: self._owner.skew if self._owner is not None else 0.0,
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

    def _owns_map(self) -> int:
        return int(self._owner is not None and self._owner.has_taken_on)

    def run(self) -> int:
        """Serve until told to stop; return the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self._stop.set())
        signal.signal(signal.SIGINT, lambda *_: self._stop.set())
        signal.signal(signal.SIGHUP, lambda *_: self._reload.set())
        admin = HttpServer(
            self._answer_admin, [self._settings.metrics], _ADMIN_THREADS, _ADMIN_BODY
        )
        admin.start()
        self._note_keeper.start()
        _log.info("started", instance=self._settings.instance, engine=self._settings.engine)
        while not self._stop.is_set():
            if self._settings_file.has_changed() or self._reload.is_set():
                self._reload.clear()
                self._load_settings()
            report = self._member.report()
            if report is not None:
                self._serve(report)
            self._stop.wait(self._until_turn() / SECOND)
        self._note_keeper.stop()
        _log.info("stopped", instance=self._settings.instance)
        return 0

    def _until_turn(self) -> int:
        """Return the milliseconds until the next turn."""
        wall = self._clock.wall()
        if self._owner is not None:
            return until_next(wall, _TURN_EVERY, OWNER_PHASE)
        phase = RELAY_PHASE if self._owner_link.is_relay else 0
        return until_next(wall, READ_EVERY, phase)

    def _load_settings(self) -> None:
        """Read the settings again; what a running process cannot change takes a restart."""
        loaded = load_settings(self._settings_path, RanksSettings)
        if isinstance(loaded, list):
            _log.error("settings not taken", faults=[str(fault) for fault in loaded])
            return
        changed = [
            f for f in loaded.__struct_fields__ if getattr(loaded, f) != getattr(self._settings, f)
        ]
        _log.info("settings reloaded", instance=loaded.instance, need_restart=changed)

    def _answer_admin(self, _environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
        body = self._metrics.render().encode()
        start("200 OK", [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))])
        return [body]

    def _serve(self, report: RankReport) -> None:
        """Do what the rank's place in its group asks for."""
        if not self._is_introduced(report):
            return
        if report.rank == OWNER_RANK:
            self._own_map(report)
        else:
            self._follow_owner(report)
        if report.rank == STANDBY_RANK:
            self._stand_by(report)

    def _is_introduced(self, report: RankReport) -> bool:
        """See that the others can find this process, and that it has the link key."""
        place = (report.group, report.rank)
        if self._noted == place and self._link_key:
            return True
        if not self._looks.take():
            return False
        if not self._link_key:
            self._link_key = read_link_key(self._store, _KEY_NAME)
        if self._link_key and self._noted != place:
            note = RankNote(self._settings.peer, self._settings.engine, self._settings.domain)
            body = msgspec.json.encode(note)
            name = f"{report.group}.{report.rank}"
            if isinstance(self._store.put_note(_RANKS, name, body), Note):
                self._noted = place
                self._note_keeper.keep(name, body, self._link_key)
                _log.info("introduced", group=report.group, rank=report.rank)
        return self._noted == place and bool(self._link_key)

    def _use_key(self, link_key: bytes) -> None:
        """Link by another key from now on: the store's, after it came back without ours."""
        self._link_key = link_key
        self._owner_link.use_key(link_key)
        if self._server is not None:
            self._server.use_key(link_key)

    def _read_notes(self, group: str) -> Mapping[int, RankNote]:
        """Learn where the processes beside the group's ranks are, as far as can be."""
        notes = self._store.notes(_RANKS)
        if not isinstance(notes, list):
            _log.warning("ranks not listed", cause=notes.detail)
            return self._notes
        for note in notes:
            name, _, rank = note.name.rpartition(".")
            if name != group or not (rank.isascii() and rank.isdigit()):
                continue
            told = read_note(note, RankNote)
            if isinstance(told, Unusable):
                _log.warning("note of a rank passed over", cause=told.detail)
            else:
                self._notes[int(rank)] = told
        return self._notes

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

    # The owner's side.

    def _own_map(self, report: RankReport) -> None:
        self._owner_link.stop()
        if self._server is None:
            self._server = LinkServer(
                self._settings.peer,
                self._link_key,
                self._settings.instance,
                self._incarnation,
                self._clock,
                self._took,
                lambda _session: None,
                lambda _session: None,
            )
            self._server.start()
        if self._group is None or self._group.epoch != report.epoch:
            self._group = LinkedGroup(self._member, report, self._clock, self._far_member)
            self._owner = None
            _log.info("group seen", group=report.group, epoch=report.epoch, size=report.size)
        self._group.took_own_counts(self._member.read_counts())
        if self._owner is None:
            self._owner = self._make_owner(self._group)
        if self._owner is not None and not self._owner.turn():
            self._owner = None
            self._group = None

    def _make_owner(self, group: LinkedGroup) -> MapOwner | None:
        if not self._looks.take():
            return None
        self._read_notes(group.name)
        geometry = self._geometry()
        if geometry is None:
            return None
        return MapOwner(
            group,
            self._store,
            self._incarnation,
            geometry,
            self._demand,
            self._results,
            self._clock,
        )

    def _geometry(self) -> RankGeometry | None:
        """Return the shape of the service's groups, from the configuration."""
        seen = self._store.table()
        if not isinstance(seen, TableRead):
            return None
        shapes = [s.geometry for s in seen.table.services.values() if s.geometry is not None]
        return shapes[0] if shapes else None

    def _took(self, session: Session, message: Message) -> None:
        if self._group is not None:
            self._group.took(session, message)

    def _far_member(self, rank: int) -> RankMember | None:
        """Return another rank as its engine is reached from here."""
        note = self._notes.get(rank)
        if note is None:
            return None
        known = self._far.get(rank)
        if known is None or known[0] != note.engine:
            known = (note.engine, RankMember(self._make_port(note.engine, FAR_TIMEOUT)))
            self._far[rank] = known
        return known[1]

    # The other ranks' side.

    def _follow_owner(self, report: RankReport) -> None:
        self._owner = None
        self._group = None
        self._owner_link.turn(report, self._link_key)

    def _stand_by(self, report: RankReport) -> None:
        """See that nothing which the owner began stays unfinished when it falls silent."""
        if self._standby is None or self._standby.epoch != report.epoch:
            self._standby = Standby(
                report,
                lambda: self._far_member(OWNER_RANK),
                lambda: self._far_group(report),
                self._store,
                self._incarnation,
                self._results,
                self._clock,
            )
        self._standby.turn(report, self._owner_link.silence)

    def _far_group(self, report: RankReport) -> FarGroup | None:
        """Return the group as its engines are reached; ``None`` while one is not known."""
        members = {r: self._far_member(r) for r in range(report.size) if r != report.rank}
        known = {r: member for r, member in members.items() if member is not None}
        if len(known) < report.size - 1:
            self._read_notes(report.group)
            return None
        return FarGroup({**known, report.rank: self._member}, report.rank)
