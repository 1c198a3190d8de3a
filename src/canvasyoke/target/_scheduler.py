"""The actor that admits, queues, joins and refuses the requests of a target."""

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
from canvasyoke.target._lease_manager import LeaseManager
from canvasyoke.target._seen_attempts import AttemptId, SeenAttempts
from canvasyoke.target._slot_manager import NO_SLOTS, Holding, ReleasedKeys, SlotConsumer
from canvasyoke.target._work import Reader, Work, WorkState
from canvasyoke.transport import Session

_log = part_logger("desk")
#: Milliseconds a finished answer is kept for an entry that reconnects.
_ENDED_RETENTION: Final = 30 * SECOND
#: Milliseconds without a reader after which a request is cancelled.
_ORPHAN_TIMEOUT: Final = 5 * SECOND
#: Milliseconds a slot stays reserved after the entry is notified.
_READY_TIMEOUT: Final = 300


@dataclass(frozen=True, slots=True)
class SchedulerLoad:
    """Load of the scheduler, for reports."""

    running: int
    queued: int
    duration: int


@dataclass(slots=True)
class _TrackedRequest:
    """A request with its queue item."""

    work: Work
    queue_item: QueuedRequest[Work]
    #: Clock time since which it has had no reader; 0 while it has one.
    orphaned_since: int = 0


class RequestScheduler(CriticalActor):
    """Owns the queue, the idempotency cache and the attempts seen.

    All state is confined to the actor's thread, so no locks are needed.
    """

    def __init__(
        self,
        service: str,
        instance: str,
        clock: Clock,
        view: ConfigView,
        backend: Backend,
        lease: LeaseManager,
        on_load: Callable[[SchedulerLoad], None],
        max_body_bytes: int,
    ) -> None:
        super().__init__()
        self._service = service
        self._instance = instance
        self._clock = clock
        self._view = view
        self._backend = backend
        self._lease = lease
        self._on_load = on_load
        self._holding = NO_SLOTS
        self._queue: FairQueue[Work] = FairQueue(clock, slots=1, limit=0)
        self._idempotency_cache = IdempotencyCache()
        self._joinable: dict[str, Work] = {}
        self._tracked: dict[AttemptId, _TrackedRequest] = {}
        self._seen = SeenAttempts()
        self._draining = False
        #: Limit of the bodies of all requests that wait or run, and their bytes now.
        self._max_body_bytes = max_body_bytes
        self._body_bytes = 0
        self._executor = ThreadPoolExecutor(max_workers=4_096, thread_name_prefix="call")

    # Messages of the actor

    def apply_config(self, config: FleetConfig) -> None:
        """Apply the queue limits of a new configuration."""
        engine = config.engines.get(self._instance)
        if engine is not None:
            self._apply_queue_update(self._queue.resize(engine.model.slots, engine.model.queue))

    def apply_holding(self, holding: Holding, inherited_keys: Sequence[HandoverEntry]) -> None:
        """Set the held slots and import the keys that their previous holders ran."""
        self._idempotency_cache.import_entries(inherited_keys)
        self._holding = holding
        self._report_load()

    def release_slots(self, holding: Holding, slots: Sequence[int]) -> ReleasedKeys:
        """Restrict use to ``holding``; return the known keys of ``slots``."""
        keys = {
            slot: self._idempotency_cache.export_entries(slot, self._holding.count)
            for slot in slots
        }
        self._holding = holding
        self._report_load()
        return ReleasedKeys(keys, self._idempotency_cache.dropped_before)

    def stop_admitting(self) -> None:
        """Refuse new requests from now on; accepted ones are completed."""
        self._draining = True
        self._report_load()

    def is_idle(self) -> bool:
        """Return whether no request is running or queued."""
        return not self._queue.running and not self._queue.waiting

    def load(self) -> SchedulerLoad:
        """Return the current load."""
        return SchedulerLoad(self._queue.running, self._queue.waiting, self._queue.duration)

    def submit(self, session: Session, run: Run) -> None:
        """Admit a request, attach it to an equal one, or refuse it."""
        attempt = AttemptId(session.incarnation, run.request, run.attempt)
        if attempt in self._seen:
            return
        self._seen.add(attempt)
        reader = Reader(session, run.request, run.attempt)
        refusal = self._admit(run, attempt, reader)
        if refusal is not None:
            reader.refuse(refusal)

    def resume(self, session: Session, request: int, attempt: int, offset: int) -> None:
        """Resend an answer from ``offset`` after the link was re-established."""
        key = AttemptId(session.incarnation, request, attempt)
        reader = Reader(session, request, attempt)
        tracked = self._tracked.get(key)
        if tracked is not None:
            tracked.orphaned_since = 0
            tracked.work.attach(reader, offset)
            return
        if key in self._seen:
            detail = "the answer is no longer kept"
            reader.refuse(Refusal(Outcome.UNKNOWN, Reason.LINK_LOST, detail))
            return
        # The request never arrived. Marking it as seen ensures that a delayed copy of it is not
        # executed after this refusal.
        self._seen.add(key)
        detail = "the request did not arrive and will not run"
        reader.refuse(Refusal(Outcome.NOT_RUN, Reason.LINK_LOST, detail))

    def cancel(self, session: Session, request: int, attempt: int) -> None:
        """Detach an attempt; cancel the request if it has no other reader and can be stopped."""
        tracked = self._tracked.get(AttemptId(session.incarnation, request, attempt))
        if tracked is None or tracked.work.state is WorkState.ENDED:
            return
        tracked.work.detach(request, attempt)
        if tracked.work.has_readers:
            return
        refusal = Refusal(Outcome.NOT_RUN, Reason.CANCELLED, "cancelled before it ran")
        if self._queue.remove(tracked.queue_item):
            self._refuse_unrun(tracked.work, refusal)
            Reader(session, request, attempt).refuse(refusal)
        elif tracked.work.state is WorkState.READY:
            self._release_reserved_slot(tracked, refusal)
        elif tracked.work.run.repeatable:
            tracked.work.cancel()

    def start_reserved(self, session: Session, request: int, attempt: int) -> None:
        """Start a request that has a reserved slot."""
        tracked = self._tracked.get(AttemptId(session.incarnation, request, attempt))
        if tracked is not None and tracked.work.state is WorkState.READY:
            self._start_call(tracked.queue_item)

    def forget(self, session: Session, request: int, attempt: int) -> None:
        """Drop an answer that the entry has received completely."""
        self._tracked.pop(AttemptId(session.incarnation, request, attempt), None)

    def finish_call(self, queued: QueuedRequest[Work], refusal: Refusal | None) -> None:
        """Record the result of a backend call and start the next requests."""
        work = queued.item
        now = self._clock.now()
        if refusal is None:
            work.end(now)
        else:
            work.refuse(refusal, now)
        self._record_outcome(work, refusal)
        self._apply_queue_update(self._queue.finish(queued))
        self._report_load()

    def tick(self) -> None:
        """Refuse overdue requests, cancel orphaned ones, and evict old answers and keys."""
        self._apply_queue_update(self._queue.expire())
        now = self._clock.now()
        for key, tracked in list(self._tracked.items()):
            self._check_tracked(key, tracked, now)
        service = self._view.current.services.get(self._service)
        if service is not None:
            self._idempotency_cache.evict(self._clock.wall() - service.model.answer_keep_ms)

    # Internals

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
            return self._admit_keyed(run, attempt, reader, service, engine, digest)
        joined = self._joinable.get(_join_key(run, digest)) if run.key else None
        if joined is not None:
            self._join(joined, attempt, reader, run)
            return None
        refusal = self._refuse_new(run)
        if refusal is not None:
            return refusal
        work = self._enqueue_new(run, attempt, reader, engine)
        if run.key and work.state is not WorkState.ENDED:
            self._joinable[_join_key(run, digest)] = work
        return None

    def _admit_keyed(
        self,
        run: Run,
        attempt: AttemptId,
        reader: Reader,
        service: Service,
        engine: Engine,
        digest: bytes,
    ) -> Refusal | None:
        """Admit a non-repeatable request, at most once per key."""
        try:
            key_made_at = key_time(run.key)
        except MalformedKeyError as exc:
            return Refusal(Outcome.NOT_RUN, Reason.MALFORMED, str(exc))
        holder = HolderState(
            held_slots=self._holding.slots,
            slot_count=self._holding.count,
            lease_valid=self._lease.valid,
            wall_time=self._clock.wall(),
            retention=service.model.answer_keep_ms,
        )
        keyed_request = KeyedRequest(run.key, run.organisation, key_made_at, digest)
        decision = check_key(keyed_request, holder, self._idempotency_cache)
        if decision.refusal is not None:
            return decision.refusal
        if decision.record is not None and isinstance(decision.record.work, Work):
            self._join(decision.record.work, attempt, reader, run)
            return None
        refusal = self._refuse_new(run)
        if refusal is not None:
            return refusal
        work = self._new_work(run)
        self._idempotency_cache.begin(keyed_request.name, keyed_request.made, digest, work)
        self._enqueue(work, attempt, reader, engine)
        return None

    def _enqueue_new(self, run: Run, attempt: AttemptId, reader: Reader, engine: Engine) -> Work:
        work = self._new_work(run)
        self._enqueue(work, attempt, reader, engine)
        return work

    def _refuse_new(self, run: Run) -> Refusal | None:
        """Return why no new request is admitted now, if none is."""
        if self._draining:
            return Refusal(Outcome.NOT_RUN, Reason.LEAVING, "the target is leaving", 100)
        if self._body_bytes and self._body_bytes + len(run.body) > self._max_body_bytes:
            detail = "the target has no memory for the request"
            return Refusal(Outcome.NOT_RUN, Reason.OVERLOADED, detail, 1 * SECOND)
        return None

    def _new_work(self, run: Run) -> Work:
        self._body_bytes += len(run.body)
        return Work(run, self._clock.now() + run.remaining)

    def _enqueue(self, work: Work, attempt: AttemptId, reader: Reader, engine: Engine) -> None:
        """Offer a request to the queue."""
        organisation = self._view.current.organisations.get(work.run.organisation)
        queued = QueuedRequest(
            item=work,
            organisation=work.run.organisation,
            share=organisation.model.share if organisation else 1,
            ceiling=organisation.model.ceiling if organisation else 0,
            priority=work.run.priority,
            arrived=self._clock.now(),
            deadline=work.deadline,
        )
        self._tracked[attempt] = _TrackedRequest(work, queued)
        work.attach(reader, work.run.offset)
        self._apply_queue_update(self._queue.offer(queued))
        if work.state is WorkState.WAITING and not work.run.standby:
            work.notify_queued()
        self._report_load()

    def _join(self, work: Work, attempt: AttemptId, reader: Reader, run: Run) -> None:
        """Attach another attempt to a request that is queued, running or done."""
        queued = next((e.queue_item for e in self._tracked.values() if e.work is work), None)
        if queued is None:
            queued = QueuedRequest(work, run.organisation, 1, 0, run.priority, 0, work.deadline)
        self._tracked[attempt] = _TrackedRequest(work, queued)
        work.attach(reader, run.offset)

    def _apply_queue_update(self, update: QueueUpdate[Work]) -> None:
        """Start and refuse requests as decided by the queue."""
        for queued, refusal in update.refused:
            self._refuse_unrun(queued.item, refusal)
        for queued in update.started:
            work = queued.item
            if work.run.standby:
                work.state = WorkState.READY
                work.ready_at = self._clock.now()
                work.notify_ready()
                continue
            work.notify_started()
            self._start_call(queued)

    def _start_call(self, queued: QueuedRequest[Work]) -> None:
        queued.item.state = WorkState.RUNNING
        self._executor.submit(self._call, queued)

    def _release_reserved_slot(self, tracked: _TrackedRequest, refusal: Refusal) -> None:
        """Refuse a request and release the slot reserved for it."""
        self._refuse_unrun(tracked.work, refusal)
        self._apply_queue_update(self._queue.release_unused(tracked.queue_item))

    def _report_load(self) -> None:
        self._on_load(self.load())

    def _refuse_unrun(self, work: Work, refusal: Refusal) -> None:
        work.refuse(refusal, self._clock.now())
        self._record_outcome(work, refusal)

    def _record_outcome(self, work: Work, refusal: Refusal | None) -> None:
        """Record the outcome for later attempts with the same key, and drop the body."""
        run = work.run
        if run.repeatable:
            if run.key:
                self._joinable.pop(_join_key(run, _digest(run)), None)
        elif refusal is not None and refusal.outcome is Outcome.NOT_RUN:
            self._idempotency_cache.discard(_record_name(run))
        else:
            self._idempotency_cache.finish(_record_name(run), work.size)
        self._body_bytes -= len(run.body)
        work.drop_body()

    def _call(self, queued: QueuedRequest[Work]) -> None:
        """Execute a request on the backend; runs in a thread of the executor."""
        work = queued.item
        refusal: Refusal | None
        try:
            end = self._backend.call(work.run, work)
            refusal = None if isinstance(end, Done) else end.refusal
        except Exception as exc:  # an adapter bug must not leave the request unanswered
            _log.error("backend adapter failed", request_id=work.run.request_id, fault=repr(exc))
            refusal = Refusal(Outcome.UNKNOWN, Reason.BACKEND_FAILED, "fault in the adapter")
        self.actor_ref.proxy().finish_call.defer(queued, refusal)

    def _check_tracked(self, key: AttemptId, tracked: _TrackedRequest, now: int) -> None:
        work = tracked.work
        if work.state is WorkState.ENDED:
            if now - work.ended_at > _ENDED_RETENTION:
                del self._tracked[key]
        elif work.state is WorkState.READY and now - work.ready_at > _READY_TIMEOUT:
            detail = "the entry did not take the slot held for it"
            self._release_reserved_slot(tracked, Refusal(Outcome.NOT_RUN, Reason.CANCELLED, detail))
        elif work.has_readers:
            tracked.orphaned_since = 0
        elif not tracked.orphaned_since:
            tracked.orphaned_since = now
        elif now - tracked.orphaned_since > _ORPHAN_TIMEOUT:
            self._cancel_orphan(tracked)

    def _cancel_orphan(self, tracked: _TrackedRequest) -> None:
        if self._queue.remove(tracked.queue_item):
            detail = "nobody waited for it any more"
            self._refuse_unrun(tracked.work, Refusal(Outcome.NOT_RUN, Reason.CANCELLED, detail))
        elif tracked.work.run.repeatable:
            tracked.work.cancel()


class SchedulerSlots(SlotConsumer):
    """Adapts the scheduler actor to the slot manager's interface."""

    def __init__(
        self, scheduler: pykka.ActorRef[RequestScheduler], on_change: Callable[[Holding], None]
    ) -> None:
        self._scheduler = scheduler.proxy()
        self._on_change = on_change

    def apply_holding(self, holding: Holding, inherited_keys: Sequence[HandoverEntry]) -> None:
        """Set the held slots."""
        self._scheduler.apply_holding(holding, inherited_keys).get()
        self._on_change(holding)

    def release_slots(self, holding: Holding, slots: Iterable[int]) -> ReleasedKeys:
        """Restrict use to ``holding``; return the known keys of ``slots``."""
        released: ReleasedKeys = self._scheduler.release_slots(holding, list(slots)).get()
        self._on_change(holding)
        return released


def _digest(run: Run) -> bytes:
    state = hashlib.blake2b(digest_size=16)
    for part in (run.organisation, run.method, run.path):
        state.update(part.encode() + b"\0")
    state.update(run.body)
    return state.digest()


def _join_key(run: Run, digest: bytes) -> str:
    return f"{run.organisation}/{run.key}/{digest.hex()}"


def _record_name(run: Run) -> str:
    return KeyedRequest(run.key, run.organisation, 0, b"").name
