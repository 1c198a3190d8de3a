"""The one task of a target that decides what runs, waits, joins or is refused."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Final

import pykka

from canvasyoke._actor import CriticalActor
from canvasyoke._clock import SECOND, Clock
from canvasyoke.backend import Backend, Done
from canvasyoke.coordination import (
    FairQueue,
    HandoverEntry,
    HolderState,
    IdempotencyCache,
    KeyedRequest,
    QueuedRequest,
    QueueUpdate,
    check_key,
)
from canvasyoke.observe import part_logger
from canvasyoke.protocol import MalformedKeyError, Outcome, Reason, Refusal, Run, key_time
from canvasyoke.state import ConfigView, Engine, FleetConfig, Service
from canvasyoke.target._homes import NOTHING, Holding, SlotUser, Surrendered
from canvasyoke.target._ids import AttemptId, SeenIds
from canvasyoke.target._lease_keeper import LeaseKeeper
from canvasyoke.target._work import Reader, Work, WorkState
from canvasyoke.transport import Session

_log = part_logger("desk")
#: Milliseconds an answer is kept for an entry whose link broke.
_KEEP_ENDED: Final = 30 * SECOND
#: Milliseconds after which work that nobody waits for is cancelled.
_ORPHANED: Final = 5 * SECOND
#: Milliseconds a slot is held for an entry that has been told it is ready.
_READY_LIMIT: Final = 300


@dataclass(frozen=True, slots=True)
class DeskLoad:
    """What the desk holds now."""

    running: int
    queued: int
    duration: int


@dataclass(slots=True)
class _Entry:
    """A request the desk knows of."""

    work: Work
    waiting: QueuedRequest[Work]
    #: Time since which nobody has waited for it; 0 while somebody does.
    orphaned: int = 0


class Desk(CriticalActor):
    """Owns the queue, the key memory and the attempts seen; has no locks."""

    def __init__(
        self,
        service: str,
        instance: str,
        clock: Clock,
        view: ConfigView,
        backend: Backend,
        lease: LeaseKeeper,
        on_load: Callable[[DeskLoad], None],
    ) -> None:
        super().__init__()
        self._service = service
        self._instance = instance
        self._clock = clock
        self._view = view
        self._backend = backend
        self._lease = lease
        self._on_load = on_load
        self._holding = NOTHING
        self._queue: FairQueue[Work] = FairQueue(clock, slots=1, limit=0)
        self._memory = IdempotencyCache()
        self._joinable: dict[str, Work] = {}
        self._known: dict[AttemptId, _Entry] = {}
        self._seen = SeenIds()
        self._leaving = False
        self._pool = ThreadPoolExecutor(max_workers=4_096, thread_name_prefix="call")

    # What other tasks ask of the desk. Each method is one message of the actor.

    def configured(self, config: FleetConfig) -> None:
        """Take over the bounds of a new configuration."""
        engine = config.engines.get(self._instance)
        if engine is not None:
            self._settle(self._queue.resize(engine.model.slots, engine.model.queue))

    def hold(self, holding: Holding, inherited: Sequence[HandoverEntry]) -> None:
        """Take over the slots now held, and what a former holder ran."""
        self._memory.import_entries(inherited)
        self._holding = holding
        self._tell_load()

    def surrender(self, holding: Holding, slots: Sequence[int]) -> Surrendered:
        """Keep to ``holding``; return what is known of ``slots``."""
        keys = {slot: self._memory.export_entries(slot, self._holding.count) for slot in slots}
        self._holding = holding
        self._tell_load()
        return Surrendered(keys, self._memory.dropped_before)

    def leave(self) -> None:
        """Refuse new work from now on; what has been taken is finished."""
        self._leaving = True
        self._tell_load()

    def idle(self) -> bool:
        """Tell whether nothing runs or waits."""
        return not self._queue.running and not self._queue.waiting

    def load(self) -> DeskLoad:
        """Return what the desk holds now."""
        return DeskLoad(self._queue.running, self._queue.waiting, self._queue.duration)

    def submit(self, session: Session, run: Run) -> None:
        """Run a request, join it to one that runs, or refuse it."""
        attempt = AttemptId(session.incarnation, run.request, run.attempt)
        if attempt in self._seen:
            return
        self._seen.add(attempt)
        reader = Reader(session, run.request, run.attempt)
        refusal = self._admit(run, attempt, reader)
        if refusal is not None:
            reader.refuse(refusal)

    def resume(self, session: Session, request: int, attempt: int, offset: int) -> None:
        """Send an answer again from ``offset``, after a link broke."""
        key = AttemptId(session.incarnation, request, attempt)
        reader = Reader(session, request, attempt)
        entry = self._known.get(key)
        if entry is not None:
            entry.orphaned = 0
            entry.work.attach(reader, offset)
            return
        if key in self._seen:
            detail = "the answer is no longer kept"
            reader.refuse(Refusal(Outcome.UNKNOWN, Reason.LINK_LOST, detail))
            return
        # The request never came here. Remembering it as seen makes that final:
        # a copy still on its way will not run.
        self._seen.add(key)
        detail = "the request did not arrive and will not run"
        reader.refuse(Refusal(Outcome.NOT_RUN, Reason.LINK_LOST, detail))

    def cancel(self, session: Session, request: int, attempt: int) -> None:
        """Stop what only this attempt waited for, as far as it can be stopped."""
        entry = self._known.get(AttemptId(session.incarnation, request, attempt))
        if entry is None or entry.work.state is WorkState.ENDED:
            return
        entry.work.detach(request, attempt)
        if entry.work.has_readers:
            return
        refusal = Refusal(Outcome.NOT_RUN, Reason.CANCELLED, "cancelled before it ran")
        if self._queue.remove(entry.waiting):
            self._end_unrun(entry.work, refusal)
            Reader(session, request, attempt).refuse(refusal)
        elif entry.work.state is WorkState.READY:
            self._decline(entry, refusal)
        elif entry.work.run.repeatable:
            entry.work.cancel()

    def go(self, session: Session, request: int, attempt: int) -> None:
        """Run a request whose slot was held for it."""
        entry = self._known.get(AttemptId(session.incarnation, request, attempt))
        if entry is not None and entry.work.state is WorkState.READY:
            self._run(entry.waiting)

    def forget(self, session: Session, request: int, attempt: int) -> None:
        """Let go of an answer that arrived whole."""
        self._known.pop(AttemptId(session.incarnation, request, attempt), None)

    def ended(self, waiting: QueuedRequest[Work], refusal: Refusal | None) -> None:
        """Note that the backend is done with a request."""
        work = waiting.item
        now = self._clock.now()
        if refusal is None:
            work.end(now)
        else:
            work.refuse(refusal, now)
        self._remember(work, refusal)
        self._settle(self._queue.finish(waiting))
        self._tell_load()

    def tick(self) -> None:
        """Refuse what is late, cancel what nobody wants, forget what is old."""
        self._settle(self._queue.expire())
        now = self._clock.now()
        for key, entry in list(self._known.items()):
            self._look_after(key, entry, now)
        service = self._view.current.services.get(self._service)
        if service is not None:
            self._memory.evict(self._clock.wall() - service.model.answer_keep_ms)

    # How the desk goes about it.

    def _admit(self, run: Run, attempt: AttemptId, reader: Reader) -> Refusal | None:
        config = self._view.current
        service = config.services.get(self._service)
        engine = config.engines.get(self._instance)
        if service is None or engine is None:
            detail = "the target is not in the configuration"
            return Refusal(Outcome.NOT_RUN, Reason.NO_CONFIGURATION, detail, 1 * SECOND)
        if run.service != self._service:
            return Refusal(Outcome.NOT_RUN, Reason.UNKNOWN_SERVICE, "not this target's service")
        digest = _digest(run)
        if not run.repeatable:
            return self._admit_once(run, attempt, reader, service, engine, digest)
        joined = self._joinable.get(_join_key(run, digest)) if run.key else None
        if joined is not None:
            self._join(joined, attempt, reader, run)
            return None
        if self._leaving:
            return _leaving()
        work = self._begin(run, attempt, reader, engine)
        if run.key and work.state is not WorkState.ENDED:
            self._joinable[_join_key(run, digest)] = work
        return None

    def _admit_once(
        self,
        run: Run,
        attempt: AttemptId,
        reader: Reader,
        service: Service,
        engine: Engine,
        digest: bytes,
    ) -> Refusal | None:
        """Admit a request that must not run twice."""
        try:
            made = key_time(run.key)
        except MalformedKeyError as exc:
            return Refusal(Outcome.NOT_RUN, Reason.MALFORMED, str(exc))
        view = HolderState(
            held_slots=self._holding.slots,
            slot_count=self._holding.count,
            lease_valid=self._lease.valid,
            wall_time=self._clock.wall(),
            retention=service.model.answer_keep_ms,
        )
        req = KeyedRequest(run.key, run.organisation, made, digest)
        verdict = check_key(req, view, self._memory)
        if verdict.refusal is not None:
            return verdict.refusal
        if verdict.record is not None and isinstance(verdict.record.work, Work):
            self._join(verdict.record.work, attempt, reader, run)
            return None
        if self._leaving:
            return _leaving()
        work = self._new_work(run)
        self._memory.begin(req.name, req.made, digest, work)
        self._enter(work, attempt, reader, engine)
        return None

    def _begin(self, run: Run, attempt: AttemptId, reader: Reader, engine: Engine) -> Work:
        work = self._new_work(run)
        self._enter(work, attempt, reader, engine)
        return work

    def _new_work(self, run: Run) -> Work:
        return Work(run, self._clock.now() + run.remaining)

    def _enter(self, work: Work, attempt: AttemptId, reader: Reader, engine: Engine) -> None:
        """Offer work to the queue."""
        organisation = self._view.current.organisations.get(work.run.organisation)
        waiting = QueuedRequest(
            item=work,
            organisation=work.run.organisation,
            share=organisation.model.share if organisation else 1,
            ceiling=organisation.model.ceiling if organisation else 0,
            priority=work.run.priority,
            arrived=self._clock.now(),
            deadline=work.deadline,
        )
        self._known[attempt] = _Entry(work, waiting)
        work.attach(reader, work.run.offset)
        self._settle(self._queue.offer(waiting))
        if work.state is WorkState.WAITING and not work.run.standby:
            work.tell_queued()
        self._tell_load()

    def _join(self, work: Work, attempt: AttemptId, reader: Reader, run: Run) -> None:
        """Let another attempt read the answer of work that is under way or done."""
        waiting = next((e.waiting for e in self._known.values() if e.work is work), None)
        if waiting is None:
            waiting = QueuedRequest(work, run.organisation, 1, 0, run.priority, 0, work.deadline)
        self._known[attempt] = _Entry(work, waiting)
        work.attach(reader, run.offset)

    def _settle(self, offer: QueueUpdate[Work]) -> None:
        """Start and refuse what the queue decided."""
        for waiting, refusal in offer.refused:
            self._end_unrun(waiting.item, refusal)
        for waiting in offer.started:
            work = waiting.item
            if work.run.standby:
                work.state = WorkState.READY
                work.ready_at = self._clock.now()
                work.tell_ready()
                continue
            work.tell_started()
            self._run(waiting)

    def _run(self, waiting: QueuedRequest[Work]) -> None:
        waiting.item.state = WorkState.RUNNING
        self._pool.submit(self._call, waiting)

    def _decline(self, entry: _Entry, refusal: Refusal) -> None:
        """Give back a slot that was held for an entry that does not want it."""
        self._end_unrun(entry.work, refusal)
        self._settle(self._queue.release_unused(entry.waiting))

    def _tell_load(self) -> None:
        self._on_load(self.load())

    def _end_unrun(self, work: Work, refusal: Refusal) -> None:
        work.refuse(refusal, self._clock.now())
        self._remember(work, refusal)

    def _remember(self, work: Work, refusal: Refusal | None) -> None:
        """Keep what later attempts with the same key need to know."""
        run = work.run
        if run.repeatable:
            if run.key:
                self._joinable.pop(_join_key(run, _digest(run)), None)
            return
        if refusal is not None and refusal.outcome is Outcome.NOT_RUN:
            self._memory.discard(_memory_key(run))
        else:
            self._memory.finish(_memory_key(run), work.size)

    def _call(self, waiting: QueuedRequest[Work]) -> None:
        """Run one request on the backend; on a task of its own."""
        work = waiting.item
        refusal: Refusal | None
        try:
            end = self._backend.call(work.run, work)
            refusal = None if isinstance(end, Done) else end.refusal
        except Exception as exc:  # a fault of an adapter must not lose the request
            _log.error("backend adapter failed", request_id=work.run.request_id, fault=repr(exc))
            refusal = Refusal(Outcome.UNKNOWN, Reason.BACKEND_FAILED, "fault in the adapter")
        self.actor_ref.proxy().ended.defer(waiting, refusal)

    def _look_after(self, key: AttemptId, entry: _Entry, now: int) -> None:
        work = entry.work
        if work.state is WorkState.ENDED:
            if now - work.ended_at > _KEEP_ENDED:
                del self._known[key]
        elif work.state is WorkState.READY and now - work.ready_at > _READY_LIMIT:
            detail = "the entry did not take the slot held for it"
            self._decline(entry, Refusal(Outcome.NOT_RUN, Reason.CANCELLED, detail))
        elif work.has_readers:
            entry.orphaned = 0
        elif not entry.orphaned:
            entry.orphaned = now
        elif now - entry.orphaned > _ORPHANED:
            self._drop_orphan(entry)

    def _drop_orphan(self, entry: _Entry) -> None:
        if self._queue.remove(entry.waiting):
            detail = "nobody waited for it any more"
            self._end_unrun(entry.work, Refusal(Outcome.NOT_RUN, Reason.CANCELLED, detail))
        elif entry.work.run.repeatable:
            entry.work.cancel()


class DeskSlots(SlotUser):
    """The desk as the task that keeps its slots sees it."""

    def __init__(self, desk: pykka.ActorRef[Desk], on_change: Callable[[Holding], None]) -> None:
        self._desk = desk.proxy()
        self._on_change = on_change

    def hold(self, holding: Holding, inherited: Sequence[HandoverEntry]) -> None:
        """Use these slots from now on."""
        self._desk.hold(holding, inherited).get()
        self._on_change(holding)

    def surrender(self, holding: Holding, slots: Iterable[int]) -> Surrendered:
        """Use no more than ``holding``."""
        surrendered: Surrendered = self._desk.surrender(holding, list(slots)).get()
        self._on_change(holding)
        return surrendered


def _leaving() -> Refusal:
    return Refusal(Outcome.NOT_RUN, Reason.LEAVING, "the target is leaving", 100)


def _digest(run: Run) -> bytes:
    state = hashlib.blake2b(digest_size=16)
    for part in (run.organisation, run.method, run.path):
        state.update(part.encode() + b"\0")
    state.update(run.body)
    return state.digest()


def _join_key(run: Run, digest: bytes) -> str:
    return f"{run.organisation}/{run.key}/{digest.hex()}"


def _memory_key(run: Run) -> str:
    return KeyedRequest(run.key, run.organisation, 0, b"").name
