"""Client for one target: its link, its last report and the attempts in flight there."""

from __future__ import annotations

import queue
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

import msgspec

from canvasyoke._clock import Clock
from canvasyoke.coordination import Candidate, Ejection
from canvasyoke.observe import part_logger
from canvasyoke.protocol import (
    Cancel,
    Chunk,
    ConfigOffer,
    ConfigRequest,
    Drained,
    End,
    Forget,
    Head,
    Load,
    LoadReport,
    Message,
    Proceed,
    Queued,
    Ready,
    Refused,
    Resume,
    Run,
    Started,
)
from canvasyoke.transport import LinkClient, Session

_log = part_logger("peer")


@dataclass(frozen=True, slots=True)
class AttemptLost:
    """The target process that received the attempt has ended; no more messages will follow."""


#: Event received for an attempt.
Event: TypeAlias = Head | Chunk | End | Refused | Queued | Started | Ready | AttemptLost

#: Queue shared by all attempts of one request.
Events: TypeAlias = "queue.SimpleQueue[tuple[Attempt, Event]]"


class Attempt:
    """One attempt to run a request at a target."""

    def __init__(self, run: Run, target: TargetClient, incarnation: str, events: Events) -> None:
        self.run = run
        #: Target that the attempt was sent to.
        self.target = target
        #: Incarnation of the target process that received the attempt.
        self.incarnation = incarnation
        #: Index of the next expected chunk.
        self.next_offset = run.offset
        #: Whether the head of the response has been received.
        self.head_received = False
        self._events = events

    def put(self, event: Event) -> None:
        """Queue an event; called on the thread of the link."""
        self._events.put((self, event))


class TargetClient:
    """Client for one target.

    The report is written by the thread of the link and read by the threads of requests.
    """

    def __init__(
        self,
        instance: str,
        address: str,
        link_key: bytes,
        entry: str,
        incarnation: str,
        clock: Clock,
        rng: random.Random,
        on_report: Callable[[TargetClient], None],
        on_config_offer: Callable[[ConfigOffer], None],
        on_config_wanted: Callable[[Session, int], None],
    ) -> None:
        #: Name of the target's instance.
        self.instance = instance
        #: Address that the target accepts links at.
        self.address = address
        #: Passive health check of the target.
        self.ejection = Ejection(clock)
        #: Last report; ``None`` before the first.
        self.report: LoadReport | None = None
        self._reported_at = 0
        self._in_flight_at_report = 0
        self._clock = clock
        self._on_report = on_report
        self._on_config_offer = on_config_offer
        #: Generation offered to the target in this session.
        self.offered_generation = 0
        self._on_config_wanted = on_config_wanted
        self._lock = threading.Lock()
        self._attempts: dict[tuple[int, int], Attempt] = {}
        self._session: Session | None = None
        #: Whether the target announced that it has drained.
        self.drained = False
        self._client = LinkClient(
            address,
            link_key,
            "entry",
            entry,
            incarnation,
            clock,
            rng,
            self._on_message,
            self._on_open,
            self._on_close,
        )

    def start(self) -> None:
        """Start the thread of the link."""
        self._client.start()

    def stop(self) -> None:
        """Close the link."""
        self._client.stop()

    @property
    def connected(self) -> bool:
        """Return whether the link is up."""
        return self._session is not None

    @property
    def fault(self) -> str:
        """Return why the link is down; empty if it is up."""
        return "" if self.connected else self._client.last_error

    @property
    def in_flight(self) -> int:
        """Return the number of attempts of this entry in flight at the target."""
        return len(self._attempts)

    def to_candidate(self, queue_limit: int) -> Candidate | None:
        """Return the target as a candidate for selection; ``None`` until it has a configuration."""
        report = self.report
        if report is None or not report.generation:
            return None
        return Candidate(
            instance=self.instance,
            domain=report.domain,
            service=report.service,
            connected=self.connected,
            leaving=report.leaving or self.drained,
            healthy=report.healthy,
            ejected=self.ejection.ejected,
            slots=report.slots,
            queue_limit=queue_limit,
            reported_load=report.running + report.queued,
            reported_waiting=report.queued,
            report_age=self._clock.now() - self._reported_at,
            own_in_flight_at_report=self._in_flight_at_report,
            own_in_flight=self.in_flight,
            duration=report.duration,
        )

    def start_attempt(self, run: Run, events: Events) -> Attempt | None:
        """Send ``run``; return ``None``, without sending, if the link is down."""
        with self._lock:
            session = self._session
            if session is None:
                return None
            attempt = Attempt(run, self, session.incarnation, events)
            self._attempts[run.request, run.attempt] = attempt
        self.ejection.record_request()
        session.send(run)
        return attempt

    def finish(self, attempt: Attempt, *, completed: bool) -> None:
        """Drop the attempt, and tell the target whether its response is complete or cancelled."""
        run = attempt.run
        with self._lock:
            self._attempts.pop((run.request, run.attempt), None)
            session = self._session
        if session is not None:
            message_type = Forget if completed else Cancel
            session.send(message_type(run.request, run.attempt))

    def claim_slot(self, attempt: Attempt) -> None:
        """Run a standby attempt in the slot that the target has reserved for it."""
        self.send(Proceed(attempt.run.request, attempt.run.attempt))

    def cancel(self, attempt: Attempt) -> None:
        """Send a cancellation; the target's reply is still received."""
        self.send(Cancel(attempt.run.request, attempt.run.attempt))

    def send(self, message: Message) -> None:
        """Send ``message`` if the link is up."""
        session = self._session
        if session is not None:
            session.send(message)

    # Callbacks on the thread of the link.

    def _on_open(self, session: Session) -> None:
        _log.info("link opened", target=session.peer, address=self.address)
        self.drained = False
        self.offered_generation = 0
        with self._lock:
            self._session = session
            attempts = list(self._attempts.values())
        for attempt in attempts:
            if attempt.incarnation == session.incarnation:
                run = attempt.run
                session.send(Resume(run.request, run.attempt, attempt.next_offset))
            else:
                attempt.put(AttemptLost())

    def _on_close(self, session: Session) -> None:
        _log.info("link closed", target=session.peer, fault=self._client.last_error)
        with self._lock:
            if self._session is session:
                self._session = None

    def _on_message(self, session: Session, message: Message) -> None:
        match message:
            case Head() | Chunk() | End() | Refused() | Queued() | Started() | Ready():
                self._deliver(message)
            case LoadReport():
                self._store_report(message)
                self._on_report(self)
            case Load():
                self._apply_load(message)
            case Drained():
                self.drained = True
            case ConfigOffer():
                self._on_config_offer(message)
            case ConfigRequest():
                self._on_config_wanted(session, message.generation)
            case _:
                _log.warning("unexpected message type", target=session.peer)

    def _store_report(self, report: LoadReport) -> None:
        self.report = report
        self._reported_at = self._clock.now()
        self._in_flight_at_report = self.in_flight

    def _apply_load(self, load: Load) -> None:
        if self.report is not None:
            self._store_report(
                msgspec.structs.replace(
                    self.report,
                    running=load.running,
                    queued=load.queued,
                    duration=load.duration,
                )
            )

    def _deliver(self, message: Head | Chunk | End | Refused | Queued | Started | Ready) -> None:
        """Pass a message to its attempt, dropping duplicates and messages out of order."""
        attempt = self._attempts.get((message.request, message.attempt))
        if attempt is None:
            return
        if isinstance(message, Head):
            if attempt.head_received:
                return
            attempt.head_received = True
        elif isinstance(message, Chunk):
            if message.offset != attempt.next_offset:
                return
            attempt.next_offset += 1
        elif isinstance(message, End) and message.chunks != attempt.next_offset:
            return
        attempt.put(message)
