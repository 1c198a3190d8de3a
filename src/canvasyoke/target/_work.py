"""State of a request at a target, from arrival until its answer is dropped."""

from __future__ import annotations

import enum
import threading
from dataclasses import dataclass

import msgspec

from canvasyoke.backend import AnswerSink
from canvasyoke.protocol import (
    Chunk,
    End,
    Head,
    Queued,
    Ready,
    Refusal,
    Refused,
    Run,
    Started,
)
from canvasyoke.transport import Session


class WorkState(enum.Enum):
    """Progress of a request."""

    WAITING = enum.auto()
    #: A slot is reserved until the entry accepts or declines it.
    READY = enum.auto()
    RUNNING = enum.auto()
    ENDED = enum.auto()


@dataclass(frozen=True, slots=True)
class Reader:
    """An attempt of an entry that is waiting for the answer."""

    session: Session
    request: int
    attempt: int

    def refuse(self, refusal: Refusal) -> None:
        """Send ``refusal`` to the entry; nothing follows it."""
        self.session.send(
            Refused(
                self.request,
                self.attempt,
                refusal.outcome,
                refusal.reason,
                refusal.detail,
                refusal.retry_after,
            )
        )


class Work(AnswerSink):
    """Buffers a streamed answer and forwards it to all attached readers.

    The backend's thread appends while readers attach and detach. The lock keeps each reader's
    messages in order.
    """

    def __init__(self, run: Run, deadline: int) -> None:
        self.run = run
        #: Clock time at which the caller times out.
        self.deadline = deadline
        self.state = WorkState.WAITING
        #: Clock time at which a slot was offered to the entry; 0 before that.
        self.ready_at = 0
        #: Clock time at which the request ended; 0 before that.
        self.ended_at = 0
        #: Reason of the failure; ``None`` unless the request failed.
        self.refusal: Refusal | None = None
        self._lock = threading.Lock()
        self._head: tuple[int, list[tuple[str, str]]] | None = None
        self._chunks: list[bytes] = []
        self._complete = False
        self._readers: list[Reader] = []
        self._cancelled = False
        self._queued_notified = False

    @property
    def cancelled(self) -> bool:
        """Return whether the request has been cancelled."""
        return self._cancelled

    @property
    def size(self) -> int:
        """Return the number of bytes buffered so far."""
        return sum(map(len, self._chunks))

    @property
    def has_readers(self) -> bool:
        """Return whether any reader with an open session is attached."""
        with self._lock:
            self._readers = [r for r in self._readers if not r.session.closed]
            return bool(self._readers)

    def cancel(self) -> None:
        """Request that the backend's thread stops."""
        self._cancelled = True

    def drop_body(self) -> None:
        """Release the body of a request that ended; its answer may be kept for long."""
        self.run = msgspec.structs.replace(self.run, body=b"")

    def attach(self, reader: Reader, offset: int) -> None:
        """Send ``reader`` the buffered answer from ``offset`` on, then each further chunk."""
        with self._lock:
            self._replay(reader, offset)
            if self.state is not WorkState.ENDED:
                self._readers = [r for r in self._readers if r != reader] + [reader]

    def detach(self, request: int, attempt: int) -> None:
        """Detach the reader of one attempt."""
        with self._lock:
            self._readers = [
                r for r in self._readers if (r.request, r.attempt) != (request, attempt)
            ]

    def _replay(self, reader: Reader, offset: int) -> None:
        session, request, attempt = reader.session, reader.request, reader.attempt
        if self._head is not None:
            session.send(Head(request, attempt, *self._head))
        first = self.run.offset
        for index, data in enumerate(self._chunks, first):
            if index >= offset:
                session.send(Chunk(request, attempt, index, data))
        if self._complete:
            session.send(End(request, attempt, first + len(self._chunks)))
        elif self.refusal is not None:
            reader.refuse(self.refusal)

    def notify_queued(self) -> None:
        """Notify the readers that the request is queued."""
        with self._lock:
            self._queued_notified = True
            for reader in self._readers:
                reader.session.send(Queued(reader.request, reader.attempt))

    def notify_started(self) -> None:
        """Notify the readers that the request left the queue, if they know that it was queued."""
        with self._lock:
            if not self._queued_notified:
                return
            for reader in self._readers:
                reader.session.send(Started(reader.request, reader.attempt))

    def notify_ready(self) -> None:
        """Offer the reserved slot to the entry that is waiting for it."""
        with self._lock:
            for reader in self._readers:
                reader.session.send(Ready(reader.request, reader.attempt))

    def head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Set the status and headers of the answer and forward them."""
        with self._lock:
            self._head = (status, headers)
            for reader in self._readers:
                reader.session.send(Head(reader.request, reader.attempt, status, headers))

    def chunk(self, data: bytes) -> None:
        """Append a chunk of the answer and forward it."""
        with self._lock:
            index = self.run.offset + len(self._chunks)
            self._chunks.append(data)
            for reader in self._readers:
                reader.session.send(Chunk(reader.request, reader.attempt, index, data))

    def end(self, now: int) -> None:
        """Mark the answer as complete."""
        with self._lock:
            self._complete = True
            self._mark_ended(now)
            count = self.run.offset + len(self._chunks)
            for reader in self._readers:
                reader.session.send(End(reader.request, reader.attempt, count))

    def refuse(self, refusal: Refusal, now: int) -> None:
        """Mark the request as failed and notify the readers."""
        with self._lock:
            self.refusal = refusal
            self._mark_ended(now)
            for reader in self._readers:
                reader.refuse(refusal)

    def _mark_ended(self, now: int) -> None:
        self.state = WorkState.ENDED
        self.ended_at = now
