"""Entries that stop send the rest of their responses to callers that still read."""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Iterator

import pytest

from fakes.http_base import Handler
from fakes.platform_engine import PlatformEngine
from tests.direct import HOST, KEY, TIMEOUT_SECONDS, DirectEntry, DirectFleet

#: More than the kernel takes for a connection that is not read.
BODY = bytes(range(256)) * 20_000
#: Bytes that a slow caller reads at a time, and the seconds between two reads: 8 s for the body.
READ_BYTES = 256 << 10
READ_INTERVAL = 0.4


@pytest.fixture
def fleet() -> Iterator[DirectFleet]:
    running = DirectFleet()
    running.populate_store()
    yield running
    running.close()


@pytest.fixture
def entry(fleet: DirectFleet) -> DirectEntry:
    entry = fleet.add_entry()
    entry.wait_ready()
    return entry


def answer_at_length(handler: Handler, engine: PlatformEngine) -> None:
    seal = {"Attempt-Id": handler.headers["Attempt-Id"], "Response-Seal": f"seal-of-{engine.id}"}
    handler.reply(200, BODY, seal)


def test_a_stopping_entry_sends_the_rest_of_a_response_that_is_read_slowly(
    fleet: DirectFleet, entry: DirectEntry
) -> None:
    """Guards against an end of the process that drops what callers have not read yet."""
    fleet.queue_behaviour(fleet.shelf, answer_at_length)
    host, port = entry.http.rsplit(":", 1)
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 << 10)
        sock.settimeout(TIMEOUT_SECONDS)
        sock.connect((host, int(port)))
        lines = [f"Host: {HOST}", f"Authorization: Bearer {KEY}", "Attempt-Id: r-1"]
        head = "\r\n".join(["POST /save/1 HTTP/1.1", *lines, "Content-Length: 0", "", ""])
        sock.sendall(head.encode())
        received = bytearray(sock.recv(1))
        entry.signal(signal.SIGTERM)
        read_at_pause = 0
        while data := sock.recv(READ_BYTES):
            received += data
            if len(received) - read_at_pause >= READ_BYTES:
                read_at_pause = len(received)
                time.sleep(READ_INTERVAL)
    assert received.endswith(b"\r\n\r\n" + BODY)
    assert entry.process.wait(TIMEOUT_SECONDS) == 0
