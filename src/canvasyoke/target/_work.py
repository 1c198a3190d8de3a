"""One request at a target, from its arrival until its answer may be forgotten."""

from __future__ import annotations

import enum
import threading
from dataclasses import dataclass

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
    """How far the work has come."""

    WAITING = enum.auto()
    #: A slot is held for it while its entry makes up its mind.
    READY = enum.auto()
    RUNNING = enum.auto()
    ENDED = enum.auto()


@dataclass(frozen=True, slots=True)
class Reader:
    """One entry's attempt that waits for the answer."""

    session: Session
    request: int
    attempt: int

    def refuse(self, refusal: Refusal) -> None:
        """Tell the entry that there is no more of an answer."""
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
    """Keeps an answer as it grows and passes it to all its readers.

    The backend's task adds, readers come and go; a lock keeps the order of what
    each reader gets.
    """

    def __init__(self, run: Run, deadline: int) -> None:
        self.run = run
        #: Time on the clock at which the caller gives up.
        self.deadline = deadline
        self.state = WorkState.WAITING
        #: Time on the clock at which a slot was offered to its entry; 0 before.
        self.ready_at = 0
        #: Time on the clock at which it ended; 0 before.
        self.ended_at = 0
        #: How it failed, once it has.
        self.refusal: Refusal | None = None
        self._lock = threading.Lock()
        self._head: tuple[int, list[tuple[str, str]]] | None = None
        self._chunks: list[bytes] = []
        self._whole = False
        self._readers: list[Reader] = []
        self._cancelled = False
        self._told_queued = False

    @property
    def cancelled(self) -> bool:
        """Tell whether nobody wants the rest."""
        return self._cancelled

    @property
    def size(self) -> int:
        """Return the bytes of the answer so far."""
        return sum(map(len, self._chunks))

    @property
    def has_readers(self) -> bool:
        """Tell whether an attempt still waits for the answer."""
        with self._lock:
            self._readers = [r for r in self._readers if not r.session.closed]
            return bool(self._readers)

    def cancel(self) -> None:
        """Ask the backend's task to stop."""
        self._cancelled = True

    def attach(self, reader: Reader, offset: int) -> None:
        """Give ``reader`` the answer from ``offset`` on, now and as it grows."""
        with self._lock:
            self._replay(reader, offset)
            if self.state is not WorkState.ENDED:
                self._readers = [r for r in self._readers if r != reader] + [reader]

    def detach(self, request: int, attempt: int) -> None:
        """Let go of one attempt."""
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
        if self._whole:
            session.send(End(request, attempt, first + len(self._chunks)))
        elif self.refusal is not None:
            reader.refuse(self.refusal)

    def tell_queued(self) -> None:
        """Tell the readers that the request has to wait."""
        with self._lock:
            self._told_queued = True
            for reader in self._readers:
                reader.session.send(Queued(reader.request, reader.attempt))

    def tell_started(self) -> None:
        """Tell the readers that the request no longer waits, if they were told it does."""
        with self._lock:
            if not self._told_queued:
                return
            for reader in self._readers:
                reader.session.send(Started(reader.request, reader.attempt))

    def tell_ready(self) -> None:
        """Offer the slot that has come free to the one entry that stands by for it."""
        with self._lock:
            for reader in self._readers:
                reader.session.send(Ready(reader.request, reader.attempt))

    def head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Take the status and headers of the answer."""
        with self._lock:
            self._head = (status, headers)
            for reader in self._readers:
                reader.session.send(Head(reader.request, reader.attempt, status, headers))

    def chunk(self, data: bytes) -> None:
        """Take the next piece of the answer."""
        with self._lock:
            index = self.run.offset + len(self._chunks)
            self._chunks.append(data)
            for reader in self._readers:
                reader.session.send(Chunk(reader.request, reader.attempt, index, data))

    def end(self, now: int) -> None:
        """Note that the answer is whole."""
        with self._lock:
            self._whole = True
            self._finish(now)
            count = self.run.offset + len(self._chunks)
            for reader in self._readers:
                reader.session.send(End(reader.request, reader.attempt, count))

    def refuse(self, refusal: Refusal, now: int) -> None:
        """Note that there will be no more of an answer."""
        with self._lock:
            self.refusal = refusal
            self._finish(now)
            for reader in self._readers:
                reader.refuse(refusal)

    def _finish(self, now: int) -> None:
        self.state = WorkState.ENDED
        self.ended_at = now
