"""One sealed session over a pynng pipe, and the task that sends on it.

nng's polyamorous pair keeps two messages for each pipe and drops a third without a
word. So a session has one frame with content on its way at a time, and one bare
acknowledgement; whatever is queued meanwhile goes into the next frame together. The
busier a link, the fewer frames each message costs, and a frame is never dropped.
docs/design/links.md has the ways weighed and the figures.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable, Sequence
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.protocol import Message, Opener, Sealer, SealError, decode_batch, encode_batch

#: Messages joined into one frame at the most.
_BATCH: Final = 1_024
#: Bytes of payload after which a frame takes no further message.
_BATCH_BYTES: Final = 512 << 10
#: Milliseconds an acknowledgement waits for content to travel with.
_ACKNOWLEDGE_DELAY: Final = 1
#: Milliseconds between two messages that travel along with others.
ALONG_EVERY: Final = 40
#: Milliseconds between heartbeats on an idle link.
HEARTBEAT: Final = 1 * SECOND
#: Milliseconds of silence after which a link is taken as broken: three heartbeats. An
#: entry that follows the store through others knows of nothing meanwhile; at 4 s a link
#: that fell silent without a reset was noticed only when operators of large fleets hold it
#: to what it was told (4 s), and the list that it asks for then came after.
SILENCE: Final = 3 * SECOND


class Session:
    """The sending half of a link; thread-safe.

    ``send`` never blocks: it queues, and the session's own task puts the queue on
    the wire as the window allows.
    """

    def __init__(
        self,
        peer: str,
        incarnation: str,
        sealer: Sealer,
        opener: Opener,
        put: Callable[[bytes], None],
        clock: Clock,
        role: str,
        on_end: Callable[[], None] = lambda: None,
        along: Callable[[], Message | None] = lambda: None,
    ) -> None:
        #: Role of the process at the other end.
        self.role = role
        #: Instance at the other end.
        self.peer = peer
        #: Run of the process at the other end.
        self.incarnation = incarnation
        self._sealer = sealer
        self._opener = opener
        self._put = put
        self._clock = clock
        self._on_end = on_end
        self._along = along
        self._along_sent = -ALONG_EVERY
        self._changed = threading.Condition()
        self._queue: deque[Message] = deque()
        #: Newest frame with content that was sent, and that the other side has.
        self._sent = 0
        self._acknowledged = 0
        #: Newest frame with content received, the last one told of, and since when
        #: the other side waits to hear of it.
        self._received = 0
        self._told = 0
        self._owed_since = 0
        self._heard = clock.now()
        self._closed = False
        #: Why it has ended; empty while it stands, or where nothing was wrong here.
        self.fault = ""
        self._task = threading.Thread(target=self._run, name=f"send-{peer}", daemon=True)

    def start(self) -> None:
        """Start the sending task."""
        self._task.start()

    def join(self) -> None:
        """Wait until the sending task has ended, if it has begun, and with it ``on_end``."""
        if self._task.ident is not None:
            self._task.join()

    @property
    def closed(self) -> bool:
        """Tell whether the session has ended."""
        return self._closed

    @property
    def silence(self) -> int:
        """Return the milliseconds since anything came."""
        return self._clock.now() - self._heard

    @property
    def silent(self) -> bool:
        """Tell whether nothing came for so long that the link must be broken."""
        return self.silence > SILENCE

    def send(self, message: Message) -> None:
        """Queue ``message``; lost without notice when the session has ended."""
        with self._changed:
            self._queue.append(message)
            if self._sent == self._acknowledged and len(self._queue) == 1:
                self._changed.notify()

    def close(self) -> None:
        """End the session; what is still queued is dropped."""
        with self._changed:
            self._closed = True
            self._changed.notify()

    def receive(self, data: bytes) -> list[Message]:
        """Return the messages in a frame; raises ``SealError`` or ``CodecError``."""
        frame = self._opener.open(data)
        with self._changed:
            self._heard = self._clock.now()
            if frame.acknowledged > self._acknowledged:
                self._acknowledged = frame.acknowledged
                self._changed.notify()
            if not frame.payload:
                return []
            self._received = frame.sequence
            self._owed_since = self._heard
            self._changed.notify()
        return decode_batch(frame.payload)

    def _run(self) -> None:
        last = self._clock.now()
        while not self._closed:
            batch = self._next_batch(last)
            if self._closed or not self._send_frame(batch):
                break
            if self.silent:
                self.fault = "the link fell silent"
                break
            last = self._clock.now()
        self.close()
        self._on_end()

    def _next_batch(self, last: int) -> list[Message]:
        """Wait for something to send; an empty batch is an acknowledgement or heartbeat."""
        with self._changed:
            while not self._closed:
                if self._queue and self._sent == self._acknowledged:
                    return self._take_batch()
                now = self._clock.now()
                due = last + HEARTBEAT
                if self._told != self._received:
                    due = min(due, self._owed_since + _ACKNOWLEDGE_DELAY)
                if now >= due:
                    return []
                self._changed.wait((due - now) / SECOND)
        return []

    def _take_batch(self) -> list[Message]:
        batch: list[Message] = []
        size = 0
        while self._queue and len(batch) < _BATCH and size < _BATCH_BYTES:
            message = self._queue.popleft()
            batch.append(message)
            size += len(getattr(message, "data", b"")) + len(getattr(message, "body", b""))
        return batch

    def _take_along(self) -> list[Message]:
        """Return what may travel with a frame that is sent anyway."""
        now = self._clock.now()
        if now - self._along_sent < ALONG_EVERY:
            return []
        message = self._along()
        if message is None:
            return []
        self._along_sent = now
        return [message]

    def _send_frame(self, batch: Sequence[Message]) -> bool:
        if batch:
            batch = [*batch, *self._take_along()]
        payload = encode_batch(batch) if batch else b""
        with self._changed:
            self._told = self._received
        try:
            frame = self._sealer.seal(payload, self._told)
            if payload:
                self._sent = self._sealer.sequence
            self._put(frame)
        except (SealError, OSError):
            return False
        return True
