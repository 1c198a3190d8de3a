"""One sealed session over a pynng pipe, and the task that sends on it.

nng's polyamorous pair drops a message when a pipe's queue is full, so a session
never has more than a window of frames that the other side has not acknowledged.
Messages that wait are joined into one frame: the busier a link, the fewer frames
each message costs.
"""

from __future__ import annotations

import enum
import queue
import threading
from collections.abc import Callable, Sequence
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.protocol import Message, Opener, Sealer, SealError, decode_batch, encode_batch

#: Frames that may be on the way without an acknowledgement.
WINDOW: Final = 32
#: Frames received before an acknowledgement is sent on its own.
_ACKNOWLEDGE_EVERY: Final = 8
#: Messages joined into one frame at the most.
_BATCH: Final = 64
#: Bytes of payload after which a frame takes no further message.
_BATCH_BYTES: Final = 256 << 10
#: Milliseconds between heartbeats on an idle link.
HEARTBEAT: Final = 1 * SECOND
#: Milliseconds of silence after which a link is taken as broken.
SILENCE: Final = 4 * SECOND


class _Mark(enum.Enum):
    """What may stand in the queue beside messages."""

    #: An acknowledgement is due, if only by an empty frame.
    ACKNOWLEDGE = enum.auto()
    #: The session has ended.
    STOP = enum.auto()


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
        self._queue: queue.SimpleQueue[Message | _Mark] = queue.SimpleQueue()
        self._window = threading.Condition()
        self._acknowledged = 0
        self._announced = 0
        self._heard = clock.now()
        self._closed = False
        self._task = threading.Thread(target=self._run, name=f"send-{peer}", daemon=True)

    def start(self) -> None:
        """Start the sending task."""
        self._task.start()

    @property
    def closed(self) -> bool:
        """Tell whether the session has ended."""
        return self._closed

    @property
    def silent(self) -> bool:
        """Tell whether nothing came for so long that the link must be broken."""
        return self._clock.now() - self._heard > SILENCE

    def send(self, message: Message) -> None:
        """Queue ``message``; lost without notice when the session has ended."""
        self._queue.put(message)

    def close(self) -> None:
        """End the session; what is still queued is dropped."""
        with self._window:
            self._closed = True
            self._window.notify_all()
        self._queue.put(_Mark.STOP)

    def receive(self, data: bytes) -> list[Message]:
        """Return the messages in a frame; raises ``SealError`` or ``CodecError``."""
        frame = self._opener.open(data)
        self._heard = self._clock.now()
        with self._window:
            self._acknowledged = max(self._acknowledged, frame.acknowledged)
            self._window.notify_all()
        if not frame.payload:
            return []
        if frame.sequence - self._announced >= _ACKNOWLEDGE_EVERY:
            self._announced = frame.sequence
            self._queue.put(_Mark.ACKNOWLEDGE)
        return decode_batch(frame.payload)

    def _run(self) -> None:
        while not self._closed:
            batch = self._next_batch()
            if self._closed or not self._send_frame(batch):
                break
        self._on_end()

    def _next_batch(self) -> list[Message]:
        try:
            first = self._queue.get(timeout=HEARTBEAT / SECOND)
        except queue.Empty:
            return []
        batch: list[Message] = []
        size = self._add(batch, first)
        while len(batch) < _BATCH and size < _BATCH_BYTES:
            try:
                size += self._add(batch, self._queue.get_nowait())
            except queue.Empty:
                break
        return batch

    @staticmethod
    def _add(batch: list[Message], message: Message | _Mark) -> int:
        if isinstance(message, _Mark):
            return 0
        batch.append(message)
        return len(getattr(message, "data", b"")) + len(getattr(message, "body", b""))

    def _send_frame(self, batch: Sequence[Message]) -> bool:
        payload = encode_batch(batch) if batch else b""
        if payload and not self._wait_for_window():
            return False
        try:
            self._put(self._sealer.seal(payload, self._opener.sequence))
        except (SealError, OSError):
            self._closed = True
            return False
        return True

    def _wait_for_window(self) -> bool:
        """Wait until a frame may be sent; false when the session ended meanwhile."""
        with self._window:
            self._window.wait_for(
                lambda: self._closed or self._sealer.sequence - self._acknowledged < WINDOW
            )
        return not self._closed
