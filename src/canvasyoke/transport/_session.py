"""An authenticated session over a pynng pipe, and the thread that sends on it.

nng's polyamorous pair buffers two messages per pipe and silently drops further ones. A
session therefore has at most one unacknowledged frame with a payload and one bare
acknowledgement in flight; messages queued meanwhile are batched into the next frame.
See docs/design/links.md.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable, Sequence
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.protocol import Message, Opener, Sealer, SealError, decode_batch, encode_batch

#: Maximum number of queued messages in one frame.
_MAX_BATCH: Final = 1_024
#: Payload size in bytes at which a batch is closed.
_MAX_BATCH_BYTES: Final = 512 << 10
#: Milliseconds an acknowledgement is delayed to be sent with a payload.
_ACKNOWLEDGE_DELAY: Final = 1
#: Minimum interval of piggybacked messages, in milliseconds.
PIGGYBACK_INTERVAL: Final = 40
#: Interval of heartbeats on an idle link, in milliseconds.
HEARTBEAT_INTERVAL: Final = 1 * SECOND
#: Milliseconds without a received frame after which a session ends: three heartbeats. Below
#: 4 s, so that an entry that follows the store through others can still request a list.
RECEIVE_TIMEOUT: Final = 3 * SECOND


class Session:
    """A session with one peer; thread-safe.

    ``send`` never blocks: it queues the message, and the session's thread sends the queue
    as acknowledgements arrive. ``piggyback`` returns a message to add to a frame that is
    sent anyway, or ``None``.
    """

    def __init__(
        self,
        peer: str,
        incarnation: str,
        sealer: Sealer,
        opener: Opener,
        write: Callable[[bytes], None],
        clock: Clock,
        role: str,
        on_end: Callable[[], None] = lambda: None,
        piggyback: Callable[[], Message | None] = lambda: None,
    ) -> None:
        #: Role of the peer process.
        self.role = role
        #: Instance name of the peer.
        self.peer = peer
        #: Run id of the peer process.
        self.incarnation = incarnation
        self._sealer = sealer
        self._opener = opener
        self._write = write
        self._clock = clock
        self._on_end = on_end
        self._piggyback = piggyback
        self._last_piggyback = -PIGGYBACK_INTERVAL
        self._condition = threading.Condition()
        self._queue: deque[Message] = deque()
        #: Highest sequence number with a payload that was sent, and that was acknowledged.
        self._sent_sequence = 0
        self._acknowledged_sequence = 0
        #: Highest sequence number with a payload that was received, the highest one
        #: acknowledged to the peer, and since when the acknowledgement is pending.
        self._received_sequence = 0
        self._acknowledged_to_peer = 0
        self._ack_pending_since = 0
        self._last_received_at = clock.now()
        self._closed = False
        #: Why the session ended, if it timed out; otherwise empty.
        self.error = ""
        self._thread = threading.Thread(target=self._run, name=f"send-{peer}", daemon=True)

    def start(self) -> None:
        """Start the sending thread."""
        self._thread.start()

    def join(self) -> None:
        """Wait until the sending thread, if started, has called ``on_end`` and ended."""
        if self._thread.ident is not None:
            self._thread.join()

    @property
    def closed(self) -> bool:
        """Return whether the session has ended."""
        return self._closed

    @property
    def is_finished(self) -> bool:
        """Return whether the sending thread has ended, so that it makes no further calls."""
        return self._thread.ident is not None and not self._thread.is_alive()

    @property
    def time_since_received(self) -> int:
        """Return the milliseconds since the last frame was received."""
        return self._clock.now() - self._last_received_at

    @property
    def is_timed_out(self) -> bool:
        """Return whether no frame was received within ``RECEIVE_TIMEOUT``."""
        return self.time_since_received > RECEIVE_TIMEOUT

    def send(self, message: Message) -> None:
        """Queue ``message``; it is silently dropped if the session has ended."""
        with self._condition:
            self._queue.append(message)
            if self._sent_sequence == self._acknowledged_sequence and len(self._queue) == 1:
                self._condition.notify()

    def close(self) -> None:
        """End the session and drop queued messages."""
        with self._condition:
            self._closed = True
            self._condition.notify()

    def receive(self, data: bytes) -> list[Message]:
        """Return the messages in a frame; raises ``SealError`` or ``CodecError``."""
        frame = self._opener.open(data)
        with self._condition:
            self._last_received_at = self._clock.now()
            if frame.acknowledged > self._acknowledged_sequence:
                self._acknowledged_sequence = frame.acknowledged
                self._condition.notify()
            if not frame.payload:
                return []
            self._received_sequence = frame.sequence
            self._ack_pending_since = self._last_received_at
            self._condition.notify()
        return decode_batch(frame.payload)

    def _run(self) -> None:
        last = self._clock.now()
        while not self._closed:
            batch = self._next_batch(last)
            if self._closed or not self._send_frame(batch):
                break
            if self.is_timed_out:
                self.error = "no frame received before the timeout"
                break
            last = self._clock.now()
        self.close()
        self._on_end()

    def _next_batch(self, last: int) -> list[Message]:
        """Wait for messages to send; an empty batch is an acknowledgement or heartbeat."""
        with self._condition:
            while not self._closed:
                if self._queue and self._sent_sequence == self._acknowledged_sequence:
                    return self._take_batch()
                now = self._clock.now()
                due = last + HEARTBEAT_INTERVAL
                if self._acknowledged_to_peer != self._received_sequence:
                    due = min(due, self._ack_pending_since + _ACKNOWLEDGE_DELAY)
                if now >= due:
                    return []
                self._condition.wait((due - now) / SECOND)
        return []

    def _take_batch(self) -> list[Message]:
        batch: list[Message] = []
        size = 0
        while self._queue and len(batch) < _MAX_BATCH and size < _MAX_BATCH_BYTES:
            message = self._queue.popleft()
            batch.append(message)
            size += len(getattr(message, "data", b"")) + len(getattr(message, "body", b""))
        return batch

    def _piggyback_batch(self) -> list[Message]:
        """Return the message to piggyback on a frame, if one is due."""
        now = self._clock.now()
        if now - self._last_piggyback < PIGGYBACK_INTERVAL:
            return []
        message = self._piggyback()
        if message is None:
            return []
        self._last_piggyback = now
        return [message]

    def _send_frame(self, batch: Sequence[Message]) -> bool:
        if batch:
            batch = [*batch, *self._piggyback_batch()]
        payload = encode_batch(batch) if batch else b""
        with self._condition:
            self._acknowledged_to_peer = self._received_sequence
        try:
            frame = self._sealer.seal(payload, self._acknowledged_to_peer)
            if payload:
                self._sent_sequence = self._sealer.sequence
            self._write(frame)
        except (SealError, OSError):
            return False
        return True
