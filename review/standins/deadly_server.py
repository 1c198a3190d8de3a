"""Server that a request crashes while it is answered.

    python3 -m review.standins.deadly_server ID PORT PAUSE_SECONDS crashes|sound FOLDER

It answers at once, but sends the second half of its answer to ``DEADLY_PATH`` after a pause. With
``crashes`` its process ends in that pause. The first servers to get such a request answer it with a
length, the later ones without; they take turns by files in ``FOLDER``. Writes a line for each
request to that path, with the number of its answers so far.
"""

from __future__ import annotations

import itertools
import os
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path

from fakes.http_base import Handler, Server

DEADLY_PATH = "/fetch/deadly"
FIRST_HALF = b"first half of the answer; "
WHOLE = FIRST_HALF + b"second half of the answer"
#: Number of servers that answer the deadly request with a length.
FRAMED_SERVERS = 3


class Turn:
    """The place of this server among those that get the deadly request; taken once."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._lock = threading.Lock()
        self._number: int | None = None

    @property
    def is_framed(self) -> bool:
        """Return whether this server's answers to the deadly request have a length."""
        with self._lock:
            if self._number is None:
                self._number = self._take()
            return self._number < FRAMED_SERVERS

    def _take(self) -> int:
        for number in itertools.count():
            try:
                (self._folder / f"turn-{number}").touch(exist_ok=False)
            except FileExistsError:
                continue
            return number
        raise AssertionError


def make_handler(server_id: str, pause: float, crashes: bool, turn: Turn) -> Callable[..., Handler]:
    """Return the handler class of one server."""
    answers = itertools.count(1)

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
            self._answer(path == DEADLY_PATH, next(answers))

        def _answer(self, is_deadly: bool, number: int) -> None:
            attempt = self.headers["Attempt-Id"]
            headers = {"Attempt-Id": attempt, "Response-Seal": f"seal-of-{server_id}"}
            if not is_deadly:
                self.reply(200, WHOLE, headers)
                return
            framing = "with" if turn.is_framed else "without"
            print(f"{server_id} runs {attempt}, request {number}, {framing} a length", flush=True)
            self.close_connection = True
            self.send_response(200)
            if turn.is_framed:
                headers["Content-Length"] = str(len(WHOLE))
            for name, value in {**headers, "Connection": "close"}.items():
                self.send_header(name, value)
            self.end_headers()
            self.wfile.write(FIRST_HALF)
            time.sleep(pause)
            if crashes:
                print(f"{server_id} crashes under {attempt}", flush=True)
                os._exit(1)
            self.wfile.write(WHOLE[len(FIRST_HALF) :])

    return _Handler


def main() -> None:
    """Serve until the process ends."""
    server_id, port, pause, mode, folder = sys.argv[1:]
    turn = Turn(Path(folder))
    handler = make_handler(server_id, float(pause), mode == "crashes", turn)
    Server(("127.0.0.1", int(port)), handler).serve_forever()


if __name__ == "__main__":
    main()
