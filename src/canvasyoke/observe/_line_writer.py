"""Non-blocking writer of log lines.

Lines are put into a bounded queue, which a separate thread writes to the stream. Lines are dropped
when the queue is full or the rate limit is exceeded. The next accepted line is preceded by a line
with the number of dropped lines.
"""

from __future__ import annotations

import threading
from collections import deque
from typing import Final, TextIO

from canvasyoke._clock import SECOND, Clock, SystemClock

#: Maximum number of queued lines.
_QUEUE_LIMIT: Final = 10_000
#: Refill rate and capacity of the token bucket that limits lines.
_LINES_PER_SECOND: Final = 200
_MAX_BURST: Final = 1_000


class LineWriter:
    """Writes lines to a stream from a background thread."""

    def __init__(self, stream: TextIO, clock: Clock | None = None) -> None:
        self._stream = stream
        self._clock = clock or SystemClock()
        self._condition = threading.Condition()
        self._lines: deque[str] = deque()
        self._writing = False
        self._tokens = float(_MAX_BURST)
        self._refilled_at = self._clock.now()
        #: Dropped lines that have not been reported yet, and in total.
        self._unreported_drops = 0
        self.dropped = 0
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        self._thread.start()

    def put(self, line: str, important: bool) -> None:
        """Queue ``line``; an important line is exempt from the rate limit."""
        with self._condition:
            allowed = self._take_token() or important
            if not allowed or len(self._lines) >= _QUEUE_LIMIT:
                self._unreported_drops += 1
                self.dropped += 1
                return
            if self._unreported_drops:
                self._lines.append(
                    f'{{"message":"log lines dropped","count":{self._unreported_drops}}}'
                )
                self._unreported_drops = 0
            self._lines.append(line)
            self._condition.notify()

    def _take_token(self) -> bool:
        now = self._clock.now()
        refill = (now - self._refilled_at) * _LINES_PER_SECOND / SECOND
        self._tokens = min(float(_MAX_BURST), self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def flush(self, timeout: int) -> bool:
        """Wait up to ``timeout`` milliseconds for queued lines; return whether all are written."""
        with self._condition:
            return self._condition.wait_for(
                lambda: not self._lines and not self._writing, timeout / SECOND
            )

    def _run(self) -> None:
        while True:
            with self._condition:
                self._writing = False
                self._condition.notify_all()
                while not self._lines:
                    self._condition.wait()
                lines = list(self._lines)
                self._lines.clear()
                self._writing = True
            try:
                self._stream.write("\n".join(lines) + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                # The stream is closed, so the error cannot be logged.
                with self._condition:
                    self.dropped += len(lines)
