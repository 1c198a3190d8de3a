"""Model server, a few of whose streams carry no length, so that they end with their channel.

    python3 -m review.standins.stream_server ID PORT EVENTS PAUSE_SECONDS

Streams below ``LONG_PATH`` have ``EVENTS`` events with pauses, the others are short. Long ones
carry no length as long as these are ``UNFRAMED_SHARE`` of all answers at most. Writes one line for
each long stream. A process of its own, so that its end closes its port and its channels as the end
of any process does.
"""

from __future__ import annotations

import sys
import threading
import time
from collections.abc import Callable

from fakes.http_base import Handler, Server

LONG_PATH = "/talk/long/"
SHORT_EVENTS = 3
#: Largest share of the answers that carry no length.
UNFRAMED_SHARE = 0.03
_STREAM = "text/event-stream"


class Share:
    """Counts answers, and keeps those without a length to a share of them; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._answers = 0
        self._unframed = 0

    def take(self, is_wanted: bool) -> bool:
        """Count an answer; return whether it carries no length."""
        with self._lock:
            self._answers += 1
            is_unframed = is_wanted and self._unframed + 1 <= UNFRAMED_SHARE * self._answers
            self._unframed += is_unframed
            return is_unframed


def event(number: int) -> bytes:
    """Return the event with a number."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def make_handler(server_id: str, events: int, pause: float) -> Callable[..., Handler]:
    """Return the handler class of one server."""
    share = Share()

    class _Handler(Handler):
        def handle_request(
            self, method: str, path: str, query: dict[str, str], body: bytes
        ) -> None:
            if path == "/report":
                self.reply_json({"Stage": "dual"})
                return
            if self.headers["Expect-Instance"] != server_id:
                self.reply(421)
                return
            after = int(self.headers["Last-Event-Id"] or 0)
            is_long = path.startswith(LONG_PATH)
            self._stream(is_long, share.take(is_long), after)

        def _stream(self, is_long: bool, is_unframed: bool, after: int) -> None:
            attempt = self.headers["Attempt-Id"]
            if is_long:
                framing = "without a length" if is_unframed else "in chunks"
                print(f"{server_id} runs {attempt} after event {after}, {framing}", flush=True)
            self.close_connection = True
            self.send_response(200)
            self.send_header("Attempt-Id", attempt)
            self.send_header("Response-Seal", f"seal-of-{server_id}")
            self.send_header("Content-Type", _STREAM)
            self.send_header("Connection", "close")
            if not is_unframed:
                self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            write = self.wfile.write if is_unframed else self.write_chunk
            for number in range(after + 1, (events if is_long else SHORT_EVENTS) + 1):
                write(event(number))
                time.sleep(pause if is_long else 0)
            if not is_unframed:
                self.write_chunk(b"")
            if is_long:
                print(f"{server_id} has ended {attempt}", flush=True)

    return _Handler


def main() -> None:
    """Serve until the process is ended."""
    server_id, port, events, pause = sys.argv[1:]
    handler = make_handler(server_id, int(events), float(pause))
    Server(("127.0.0.1", int(port)), handler).serve_forever()


if __name__ == "__main__":
    main()
