"""One target as an entry knows it: its link, its last report, the requests there."""

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
class Lost:
    """The target's process is another one now: nothing more will come of the attempt."""


#: What an attempt may get from its target.
Event: TypeAlias = Head | Chunk | End | Refused | Queued | Started | Ready | Lost

#: Where the attempts at one request put what they get.
Events: TypeAlias = "queue.SimpleQueue[tuple[Attempt, Event]]"


class Attempt:
    """One try at a request, waiting for what its target sends."""

    def __init__(self, run: Run, peer: Peer, incarnation: str, events: Events) -> None:
        self.run = run
        #: The target it was sent to.
        self.peer = peer
        #: Run of the target's process that the attempt was sent to.
        self.incarnation = incarnation
        #: Index of the next chunk wanted.
        self.next_offset = run.offset
        #: Whether the head has come.
        self.has_head = False
        self._events = events

    def put(self, event: Event) -> None:
        """Add an event, on the peer's task."""
        self._events.put((self, event))


class Peer:
    """One target. The link's task writes the report; requests' tasks read it."""

    def __init__(
        self,
        instance: str,
        address: str,
        link_key: bytes,
        entry: str,
        incarnation: str,
        clock: Clock,
        rng: random.Random,
        on_report: Callable[[Peer], None],
        on_offer: Callable[[ConfigOffer], None],
        on_wanted: Callable[[Session, int], None],
    ) -> None:
        #: Name of the target's instance.
        self.instance = instance
        #: Address of the target's link.
        self.address = address
        #: Evidence from traffic.
        self.ejection = Ejection(clock)
        #: Last report; ``None`` before the first.
        self.report: LoadReport | None = None
        self._reported_at = 0
        self._own_reported = 0
        self._clock = clock
        self._on_report = on_report
        self._on_offer = on_offer
        #: Generation offered to the target in this session.
        self.offered = 0
        self._on_wanted = on_wanted
        self._lock = threading.Lock()
        self._attempts: dict[tuple[int, int], Attempt] = {}
        self._session: Session | None = None
        #: Whether the target said goodbye.
        self.drained = False
        self._client = LinkClient(
            address,
            link_key,
            "entry",
            entry,
            incarnation,
            clock,
            rng,
            self._received,
            self._opened,
            self._closed,
        )

    def start(self) -> None:
        """Start the link's task."""
        self._client.start()

    def stop(self) -> None:
        """End the link."""
        self._client.stop()

    @property
    def connected(self) -> bool:
        """Tell whether the link stands."""
        return self._session is not None

    @property
    def fault(self) -> str:
        """Return why the link does not stand; empty when it does."""
        return "" if self.connected else self._client.last_error

    @property
    def in_flight(self) -> int:
        """Return this entry's requests under way at the target."""
        return len(self._attempts)

    def candidate(self, queue_limit: int) -> Candidate | None:
        """Return the target as a choice; ``None`` while it has no configuration."""
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
            own_in_flight_at_report=self._own_reported,
            own_in_flight=self.in_flight,
            duration=report.duration,
        )

    def begin(self, run: Run, events: Events) -> Attempt | None:
        """Send ``run``; ``None`` when the link does not stand, so it was not sent."""
        with self._lock:
            session = self._session
            if session is None:
                return None
            attempt = Attempt(run, self, session.incarnation, events)
            self._attempts[run.request, run.attempt] = attempt
        self.ejection.record_request()
        session.send(run)
        return attempt

    def finish(self, attempt: Attempt, *, whole: bool) -> None:
        """Stop listening; tell the target that the answer came or is not wanted."""
        run = attempt.run
        with self._lock:
            self._attempts.pop((run.request, run.attempt), None)
            session = self._session
        if session is not None:
            kind = Forget if whole else Cancel
            session.send(kind(run.request, run.attempt))

    def go(self, attempt: Attempt) -> None:
        """Take the slot that the target holds for a request that stood by."""
        self.send(Proceed(attempt.run.request, attempt.run.attempt))

    def cancel(self, attempt: Attempt) -> None:
        """Ask the target to stop, and keep listening for what it says to that."""
        self.send(Cancel(attempt.run.request, attempt.run.attempt))

    def send(self, message: Message) -> None:
        """Send ``message`` if the link stands."""
        session = self._session
        if session is not None:
            session.send(message)

    # On the link's task.

    def _opened(self, session: Session) -> None:
        _log.info("target is up", target=session.peer, address=self.address)
        self.drained = False
        self.offered = 0
        with self._lock:
            self._session = session
            attempts = list(self._attempts.values())
        for attempt in attempts:
            if attempt.incarnation == session.incarnation:
                run = attempt.run
                session.send(Resume(run.request, run.attempt, attempt.next_offset))
            else:
                attempt.put(Lost())

    def _closed(self, session: Session) -> None:
        _log.info("target is down", target=session.peer, fault=self._client.last_error)
        with self._lock:
            if self._session is session:
                self._session = None

    def _received(self, session: Session, message: Message) -> None:
        match message:
            case Head() | Chunk() | End() | Refused() | Queued() | Started() | Ready():
                self._pass_on(message)
            case LoadReport():
                self._take_report(message)
                self._on_report(self)
            case Load():
                self._take_load(message)
            case Drained():
                self.drained = True
            case ConfigOffer():
                self._on_offer(message)
            case ConfigRequest():
                self._on_wanted(session, message.generation)
            case _:
                _log.warning("message of the wrong kind", target=session.peer)

    def _take_report(self, report: LoadReport) -> None:
        self.report = report
        self._reported_at = self._clock.now()
        self._own_reported = self.in_flight

    def _take_load(self, load: Load) -> None:
        if self.report is not None:
            self._take_report(
                msgspec.structs.replace(
                    self.report,
                    running=load.running,
                    queued=load.queued,
                    duration=load.duration,
                )
            )

    def _pass_on(self, message: Head | Chunk | End | Refused | Queued | Started | Ready) -> None:
        """Give a piece of an answer to its attempt, once and in order."""
        attempt = self._attempts.get((message.request, message.attempt))
        if attempt is None:
            return
        if isinstance(message, Head):
            if attempt.has_head:
                return
            attempt.has_head = True
        elif isinstance(message, Chunk):
            if message.offset != attempt.next_offset:
                return
            attempt.next_offset += 1
        elif isinstance(message, End) and message.chunks != attempt.next_offset:
            return
        attempt.put(message)
