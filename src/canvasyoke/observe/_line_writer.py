"""Writing log lines without ever holding up the task that logs.

Lines go into a bounded queue, and a task of their own writes them. What the reader of
the stream does not take, and what goes over the rate allowed, is dropped and counted;
the count is written as soon as there is room.
"""

from __future__ import annotations

import threading
from collections import deque
from typing import Final, TextIO

from canvasyoke._clock import SECOND, Clock, SystemClock

#: Lines that wait to be written; about 4 MB at 400 bytes each.
_QUEUE_LIMIT: Final = 10_000
#: Lines a second that are written in the long run, and the lines that may come at once.
#: An entry at twice its load of today writes about 30.
_LINES_PER_SECOND: Final = 200
_MAX_BURST: Final = 1_000


class LineWriter:
    """Writes lines to a stream from a task of its own."""

    def __init__(self, stream: TextIO, clock: Clock | None = None) -> None:
        self._stream = stream
        self._clock = clock or SystemClock()
        self._condition = threading.Condition()
        self._lines: deque[str] = deque()
        self._writing = False
        self._tokens = float(_MAX_BURST)
        self._refilled_at = self._clock.now()
        #: Lines dropped since the last line that said so, and in all.
        self._unreported_drops = 0
        self.dropped = 0
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        self._thread.start()

    def put(self, line: str, important: bool) -> None:
        """Queue ``line``; an important one is not subject to the rate."""
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
        """Wait up to ``timeout`` milliseconds until all lines are written."""
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
                # Nobody reads the stream any more; there is nowhere left to say so.
                with self._condition:
                    self.dropped += len(lines)
