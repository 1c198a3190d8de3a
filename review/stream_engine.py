"""Stand-in engine as a process of its own: answers in pieces, with or without a length.

    python3 -m review.stream_engine SOCKET ID EVENTS PAUSE_MS

``SOCKET`` is the number of the listening socket, which the engine inherits from its supervisor.
``POST`` is answered with a stream of ``EVENTS`` events, ``GET`` with a body of as many parts, one
each ``PAUSE_MS``. The answers carry neither a length nor chunks and finish when their channel does.
An answer takes up at ``Last-Event-Id``. Each request that begins and ends is printed.
"""

from __future__ import annotations

import socket
import sys
import time

from fakes.http_base import Handler, Server


def part(number: int) -> bytes:
    """Return a part of the body of an answer."""
    return f"part {number:04d}\n".encode()


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return f"id: {number}\ndata: token {number}\n\n".encode()


def main() -> None:
    """Serve until killed."""
    descriptor, engine_id, events, pause = sys.argv[1:]

    class _Handler(Handler):
        def handle_request(
            self, method: str, path: str, query: dict[str, str], body: bytes
        ) -> None:
            if path == "/report":
                self.reply_json({"Stage": "dual"})
                return
            if self.headers.get("Expect-Instance") not in (None, engine_id):
                self.reply(421)
                return
            request_id = self.headers["Attempt-Id"]
            print(f"{engine_id} runs {request_id}", flush=True)
            self.send_response(200)
            self.send_header("Attempt-Id", request_id)
            self.send_header("Response-Seal", f"seal-of-{engine_id}")
            is_stream = method == "POST"
            self.send_header("Content-Type", "text/event-stream" if is_stream else "text/plain")
            self.end_headers()
            self.close_connection = True
            first = int(self.headers.get("Last-Event-Id") or 0) + 1
            for number in range(first, int(events) + 1):
                time.sleep(float(pause) / 1_000)
                self.wfile.write(event(number) if is_stream else part(number))
            print(f"{engine_id} has ended its answer to {request_id}", flush=True)

    listener = socket.socket(fileno=int(descriptor))
    server = Server(listener.getsockname(), _Handler, bind_and_activate=False)
    server.socket.close()
    server.socket = listener
    server.serve_forever()


if __name__ == "__main__":
    main()
