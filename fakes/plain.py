"""Fake plain service that records each execution of a keyed request.

    python -m fakes.plain 127.0.0.1:9301 LEDGER_FILE [WORK_MS]

Each execution of a request with an idempotency key appends a line to the ledger file before
the work starts, so that the record survives a crash of the process.
"""

from __future__ import annotations

import os
import sys
import threading
import time
from typing import Any

from fakes.http_base import Handler, Server


class PlainHandler(Handler):
    """Echoes each request as JSON."""

    ledger: str
    work_ms: int
    lock = threading.Lock()

    def handle_request(self, method: str, path: str, query: dict[str, str], body: bytes) -> None:
        """Execute one request."""
        if path == "/healthz":
            self.reply(200, b"ok\n")
            return
        key = self.headers.get("Idempotency-Key", "")
        if key:
            self._write_ledger(key)
        time.sleep(self.work_ms / 1_000)
        answer = {
            "method": method,
            "target": self.path,
            "key": key,
            "organisation": self.headers.get("X-Organisation", ""),
            "request_id": self.headers.get("X-Request-Id", ""),
            "echo": body.decode("utf-8", "replace"),
        }
        self.reply_json(answer)

    def _write_ledger(self, key: str) -> None:
        with self.lock:
            descriptor = os.open(self.ledger, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
            os.write(descriptor, (key + "\n").encode())
            os.close(descriptor)


def serve(address: str, ledger: str, work_ms: int = 5) -> Server:
    """Create a server on ``address`` without starting it."""
    members = {"ledger": ledger, "work_ms": work_ms}
    handler: Any = type("BoundHandler", (PlainHandler,), members)
    host, port = address.rsplit(":", 1)
    return Server((host, int(port)), handler)


def read_ledger(path: str) -> dict[str, int]:
    """Return the number of executions by key."""
    runs: dict[str, int] = {}
    if os.path.exists(path):
        with open(path, encoding="ascii") as file:
            for line in file:
                runs[line.strip()] = runs.get(line.strip(), 0) + 1
    return runs


if __name__ == "__main__":
    serve(sys.argv[1], sys.argv[2], int(sys.argv[3]) if len(sys.argv) > 3 else 5).serve_forever()
