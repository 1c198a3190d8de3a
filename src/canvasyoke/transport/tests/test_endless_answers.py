"""Answers that go on without end, or a byte at a time, end at the limits of their call."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Callable, Iterator

import pytest

from canvasyoke.transport import (
    ApiAnswer,
    ApiClient,
    BackendPool,
    CallFailed,
    Exchange,
    ExchangeError,
    HttpReply,
    NoResponse,
    exchange,
)
from fakes.endless_answer import DRIPS, FLOODS, EndlessAnswer, EndlessPeer

#: Milliseconds for a call.
_TIMEOUT = 400
#: Seconds after which a call is taken for endless.
_PATIENCE = 20
#: Bytes that a call may read. Buffers of the kernel on both sides are added to them.
_MAX_READ_BYTES = 16 << 20
_MAX_ANSWER_BYTES = 1 << 20
#: Floods of which the streaming clients deliver each piece.
DELIVERED = {
    "length that is never reached",
    "no length",
    "chunks",
    "small chunks",
    "chunk that is never reached",
}


@contextlib.contextmanager
def sending(answer: EndlessAnswer) -> Iterator[EndlessPeer]:
    peer = EndlessPeer(answer)
    yield peer
    peer.close()


def call_api(address: str) -> bool:
    """Return whether a call gets a complete answer."""
    client = ApiClient(address, 1, _MAX_ANSWER_BYTES)
    answer = client.call("GET", "/report", connect_timeout=2_000, read_timeout=_TIMEOUT)
    assert isinstance(answer, ApiAnswer | CallFailed)
    return isinstance(answer, ApiAnswer)


def forward(address: str) -> bool:
    sent = exchange(address, "GET", "/r/1", [], b"", connect_timeout=2_000, read_timeout=_TIMEOUT)
    assert isinstance(sent, Exchange | NoResponse)
    if isinstance(sent, NoResponse):
        return False
    try:
        for _ in sent.chunks():
            pass
    except ExchangeError:
        return False
    finally:
        sent.close()
    return True


def call_pool(address: str) -> bool:
    return _read_reply(address, HttpReply.chunks)


def call_pool_by_lines(address: str) -> bool:
    return _read_reply(address, HttpReply.lines)


def _read_reply(address: str, read: Callable[[HttpReply], Iterator[bytes]]) -> bool:
    reply = BackendPool(address, 1).call("GET", "/healthz", read_timeout=_TIMEOUT)
    assert isinstance(reply, HttpReply | CallFailed)
    if isinstance(reply, CallFailed):
        return False
    try:
        for _ in read(reply):
            pass
    except OSError:
        return False
    finally:
        reply.close()
    return True


CLIENTS = [call_api, forward, call_pool, call_pool_by_lines]
#: Clients that keep what they read until the answer, or a line of it, is complete.
COLLECTING_CLIENTS = [call_api, call_pool_by_lines]


def fails_in_time(call: Callable[[str], bool], peer: EndlessPeer) -> bool:
    """Return whether a call fails, and closes its connection, before it counts as endless."""
    results: list[bool] = []
    caller = threading.Thread(target=lambda: results.append(call(peer.address)), daemon=True)
    caller.start()
    caller.join(_PATIENCE)
    return results == [False] and peer.ended.wait(_PATIENCE)


@pytest.mark.parametrize("call", CLIENTS)
@pytest.mark.parametrize("name", FLOODS)
def test_an_answer_without_end_fails(call: Callable[[str], bool], name: str) -> None:
    """Guards against a call that reads on, or keeps what it reads, for as long as bytes come."""
    with sending(FLOODS[name]) as peer:
        assert fails_in_time(call, peer)
        if call in COLLECTING_CLIENTS or name not in DELIVERED:
            assert peer.sent < _MAX_READ_BYTES


@pytest.mark.parametrize("call", CLIENTS)
@pytest.mark.parametrize("name", DRIPS)
def test_an_answer_of_single_bytes_fails(call: Callable[[str], bool], name: str) -> None:
    """Guards against a call that lasts as long as each byte comes in time."""
    with sending(DRIPS[name]) as peer:
        assert fails_in_time(call, peer)
