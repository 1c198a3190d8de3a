"""Bytes that are not an answer become a failure of that call, whatever they are."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterator

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

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

_MAX_ANSWER_BYTES = 1_000
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
MALFORMED = {
    "nothing": b"",
    "noise": b"\x00\xff\xfe noise \r\n\r\n",
    "status that is no number": b"HTTP/1.1 abc OK\r\n\r\n",
    "length beyond any integer": _OK + b"Content-Length: 99999999999999999999\r\n\r\n\x00",
    "length beyond the memory": _OK + b"Content-Length: 600000000000\r\n\r\n\x00",
    "length of many digits": _OK + b"Content-Length: " + b"9" * 5_000 + b"\r\n\r\n\x00",
    "two lengths": _OK + b"Content-Length: 1, 2\r\n\r\n\x00",
    "short body": _OK + b"Content-Length: 9\r\n\r\nshort",
    "chunk beyond any integer": _CHUNKED + b"f" * 30 + b"\r\nx",
    "chunk beyond the memory": _CHUNKED + b"ffffffffff\r\nx",
    "chunk size of many digits": _CHUNKED + b"f" * 5_000 + b"\r\nx",
    "chunk size that is no number": _CHUNKED + b"zz\r\nx\r\n",
    "negative chunk size": _CHUNKED + b"-5\r\nhello\r\n0\r\n\r\n",
    "no end of chunks": _CHUNKED + b"3\r\nabc\r\n",
    "head without an end": _OK + b"A: b\r\n" * 500,
    "head cut after the status line": _OK,
    "head cut within a line": _OK + b"Content-Le",
    "head cut after a line": _OK + b"Connection: close\r\n",
    "head cut before its empty line ends": _OK + b"Connection: close\r\n\r",
    "chunk size cut after its leading zero": _CHUNKED + b"3\r\nabc\r\n0",
    "chunk size cut within its line end": _CHUNKED + b"3\r\nabc\r\n0\r",
    "protocol that was not asked for": b"HTTP/1.1 101 Switching Protocols\r\n\r\n" + _OK + b"\r\n",
    "interim response alone": b"HTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\nabc",
    "long line": _OK + b"A: " + b"b" * 100_000 + b"\r\n\r\n",
}
_LENGTH = b"Content-Length: 3\r\n"
#: Heads that are spoilt, before a body of ``abc``.
SPOILT = {
    "length with a sign": _OK + b"Content-Length: +3\r\n\r\n",
    "length with an underscore": _OK + b"Content-Length: 0_3\r\n\r\n",
    "length that is no number": _OK + b"Content-Length: three\r\n\r\n",
    "length with a blank before the colon": _OK + b"Content-Length : 3\r\n\r\n",
    "length without a name": _OK + b": 3\r\n\r\n",
    "length on a line of its own": _OK + b"Content-Length:\r\n3\r\n\r\n",
    "length that is empty": _OK + b"Content-Length:\r\n\r\n",
    "lengths that differ": _OK + _LENGTH + b"Content-Length: 2\r\n\r\n",
    "coding that is unknown": _OK + b"Transfer-Encoding: chunkee\r\n\r\n",
    "coding that is empty": _OK + b"Transfer-Encoding:\r\n\r\n",
    "coding twice": _OK + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
    "coding with a control byte": _OK + b"Transfer-Encoding: chun\x01ked\r\n\r\n",
    "line without a colon": _OK + b"Name value\r\n" + _LENGTH + b"\r\n",
    "line without a name": _OK + b": value\r\n" + _LENGTH + b"\r\n",
    "blank before the first field": _OK + b" Name: value\r\n" + _LENGTH + b"\r\n",
    "name with a blank": _OK + b"Na me: value\r\n" + _LENGTH + b"\r\n",
    "name with a tab": _OK + b"Na\tme: value\r\n" + _LENGTH + b"\r\n",
    "name with NUL": _OK + b"Na\0me: value\r\n" + _LENGTH + b"\r\n",
    "name with a control byte": _OK + b"Na\x1bme: value\r\n" + _LENGTH + b"\r\n",
    "name with DEL": _OK + b"Na\x7fme: value\r\n" + _LENGTH + b"\r\n",
    "name with a byte above 127": _OK + b"Na\xe9me: value\r\n" + _LENGTH + b"\r\n",
    "name with a bracket": _OK + b"Na[me: value\r\n" + _LENGTH + b"\r\n",
    "value with NUL": _OK + b"Name: val\0ue\r\n" + _LENGTH + b"\r\n",
    "value with a carriage return": _OK + b"Name: val\rue\r\n" + _LENGTH + b"\r\n",
    "status 000": b"HTTP/1.1 000 OK\r\n" + _LENGTH + b"\r\n",
    "status 099": b"HTTP/1.1 099 OK\r\n" + _LENGTH + b"\r\n",
    "status 600": b"HTTP/1.1 600 OK\r\n" + _LENGTH + b"\r\n",
    "status of four digits": b"HTTP/1.1 2000 OK\r\n" + _LENGTH + b"\r\n",
    "status with a sign": b"HTTP/1.1 +200 OK\r\n" + _LENGTH + b"\r\n",
    "status with an underscore": b"HTTP/1.1 2_0 OK\r\n" + _LENGTH + b"\r\n",
    "no status": b"HTTP/1.1 OK\r\n" + _LENGTH + b"\r\n",
    "version that is none": b"HTTP/1.1x 200 OK\r\n" + _LENGTH + b"\r\n",
    "reason with a carriage return": b"HTTP/1.1 200 O\rK\r\n" + _LENGTH + b"\r\n",
    "line before the status line": b"Name: value\r\n" + _OK + _LENGTH + b"\r\n",
    "chunks in HTTP/1.0": b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
}
#: Chunks that are spoilt, of a body of ``abc``.
SPOILT_CHUNKS = {
    "size with a sign": _CHUNKED + b"+3\r\nabc\r\n0\r\n\r\n",
    "size with an underscore": _CHUNKED + b"0_3\r\nabc\r\n0\r\n\r\n",
    "size with a prefix": _CHUNKED + b"0x3\r\nabc\r\n0\r\n\r\n",
    "size that is a negative zero": _CHUNKED + b"3\r\nabc\r\n-0\r\n\r\n",
    "chunk that is longer than its size": _CHUNKED + b"3\r\nabcde0\r\n\r\n",
}
#: Heads in forms that HTTP allows, before a body of ``abc`` that ends with its connection.
SOUND = {
    "no reason": b"HTTP/1.1 200\r\n" + _LENGTH + b"\r\n",
    "an empty reason": b"HTTP/1.1 200 \r\n" + _LENGTH + b"\r\n",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + _LENGTH + b"\r\n",
    "blanks around a value": _OK + b"Content-Length:\t 3 \t\r\n\r\n",
    "no blank before a value": _OK + b"Content-Length:3\r\n\r\n",
    "an empty value": _OK + b"Name:\r\n" + _LENGTH + b"\r\n",
    "a list of equal lengths": _OK + b"Content-Length: 3, 3\r\n\r\n",
    "equal lengths": _OK + _LENGTH + _LENGTH + b"\r\n",
    "a line that continues another": _OK + b"Name: a\r\n b\r\n" + _LENGTH + b"\r\n",
    "line feeds alone": b"HTTP/1.1 200 OK\nContent-Length: 3\n\n",
    "all characters of names": _OK + b"!#$%&'*+-.^_`|~09azAZ: value\r\n" + _LENGTH + b"\r\n",
    "bytes above 127 in a value": _OK + b"Name: \xe9\r\n" + _LENGTH + b"\r\n",
}
#: Bodies of ``abc`` whose last chunk was received whole.
COMPLETE = {
    "last chunk": _CHUNKED + b"3\r\nabc\r\n0\r\n\r\n",
    "last chunk and trailers": _CHUNKED + b"3\r\nabc\r\n0\r\nA: b\r\n\r\n",
    "last chunk without an empty line": _CHUNKED + b"3\r\nabc\r\n0\r\n",
    "no length": _OK + b"Connection: close\r\n\r\nabc",
    "a coding in capitals": _OK + b"Transfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "an extension": _CHUNKED + b"3 ;a=b\r\nabc\r\n000;c\r\n\r\n",
}
TOO_LARGE = {
    "length": _OK + b"Content-Length: 2000\r\n\r\n" + b"x" * 2_000,
    "chunks": _CHUNKED + b"7d0\r\n" + b"x" * 2_000 + b"\r\n0\r\n\r\n",
    "no length": _OK + b"Connection: close\r\n\r\n" + b"x" * 2_000,
}


class _Peer:
    """Sends the same bytes to whoever connects, and closes."""

    def __init__(self) -> None:
        self.answer = b""
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            with conn:
                conn.settimeout(5)
                try:
                    conn.recv(1 << 16)
                    conn.sendall(self.answer)
                    conn.shutdown(socket.SHUT_WR)
                    conn.recv(1 << 16)
                except OSError:
                    continue

    def close(self) -> None:
        self._listener.close()


@pytest.fixture(scope="module")
def peer() -> Iterator[_Peer]:
    sender = _Peer()
    yield sender
    sender.close()


def call_api(address: str) -> bytes | None:
    """Return the body of a complete answer; ``None`` for a failure."""
    client = ApiClient(address, 1, _MAX_ANSWER_BYTES)
    answer = client.call("GET", "/report", connect_timeout=2_000, read_timeout=2_000)
    assert isinstance(answer, ApiAnswer | CallFailed)
    return answer.data if isinstance(answer, ApiAnswer) else None


def forward(address: str) -> bytes | None:
    sent = exchange(address, "GET", "/r/1", [], b"", connect_timeout=2_000, read_timeout=2_000)
    assert isinstance(sent, Exchange | NoResponse)
    if isinstance(sent, NoResponse):
        return None
    try:
        return b"".join(sent.chunks())
    except ExchangeError:
        return None
    finally:
        sent.close()


def call_pool(address: str) -> bytes | None:
    reply = BackendPool(address, 1).call("GET", "/healthz", read_timeout=2_000)
    assert isinstance(reply, HttpReply | CallFailed)
    if isinstance(reply, CallFailed):
        return None
    try:
        return b"".join(reply.chunks())
    except OSError:
        return None
    finally:
        reply.close()


CLIENTS = [call_api, forward, call_pool]


@pytest.mark.parametrize("call", CLIENTS)
@pytest.mark.parametrize("name", MALFORMED)
def test_a_malformed_answer_is_a_failed_call(
    peer: _Peer, call: Callable[[str], bytes | None], name: str
) -> None:
    """Guards against exceptions that end the process, with all requests that it holds."""
    peer.answer = MALFORMED[name]
    assert call(peer.address) is None


@pytest.mark.parametrize("call", CLIENTS)
@pytest.mark.parametrize("name", SPOILT)
def test_a_spoilt_head_is_a_failed_call(
    peer: _Peer, call: Callable[[str], bytes | None], name: str
) -> None:
    """Guards against a body that is read in another framing than the one that was sent."""
    peer.answer = SPOILT[name] + b"abc"
    assert call(peer.address) is None


@pytest.mark.parametrize("call", CLIENTS)
@pytest.mark.parametrize("name", SPOILT_CHUNKS)
def test_spoilt_chunks_are_a_failed_call(
    peer: _Peer, call: Callable[[str], bytes | None], name: str
) -> None:
    peer.answer = SPOILT_CHUNKS[name]
    assert call(peer.address) is None


@pytest.mark.parametrize("call", CLIENTS)
@pytest.mark.parametrize("name", SOUND)
def test_a_sound_head_is_read(peer: _Peer, call: Callable[[str], bytes | None], name: str) -> None:
    peer.answer = SOUND[name] + b"abc"
    assert call(peer.address) == b"abc"


@pytest.mark.parametrize("call", CLIENTS)
def test_an_answer_after_a_malformed_one_is_read(
    peer: _Peer, call: Callable[[str], bytes | None]
) -> None:
    peer.answer = _OK + b"Content-Length: 2\r\n\r\n{}"
    assert call(peer.address) == b"{}"


@pytest.mark.parametrize("call", CLIENTS)
@pytest.mark.parametrize("name", COMPLETE)
def test_an_answer_that_ends_with_its_connection_is_read(
    peer: _Peer, call: Callable[[str], bytes | None], name: str
) -> None:
    peer.answer = COMPLETE[name]
    assert call(peer.address) == b"abc"


@pytest.mark.parametrize("name", TOO_LARGE)
def test_an_answer_that_is_too_large_is_not_kept(peer: _Peer, name: str) -> None:
    peer.answer = TOO_LARGE[name]
    assert call_api(peer.address) is None


@pytest.mark.parametrize("call", CLIENTS)
@pytest.mark.parametrize(
    "interim", [b"100 Continue", b"102 Processing", b"103 Early Hints", b"199"]
)
def test_the_final_response_is_read_after_interim_ones(
    peer: _Peer, call: Callable[[str], bytes | None], interim: bytes
) -> None:
    """Guards against an interim response that is taken for the answer."""
    head = b"HTTP/1.1 " + interim + b"\r\nLink: </a>\r\n\r\n"
    peer.answer = 2 * head + _OK + b"Content-Length: 3\r\n\r\nabc"
    assert call(peer.address) == b"abc"


_HEAD_PARTS = st.sampled_from(
    [b"Content-Length: ", b"Transfer-Encoding: chunked", b"\r\n", b"\r\n\r\n", b"HTTP/1.1 200 "]
)
_NUMBERS = st.integers(-(1 << 70), 1 << 70).map(lambda number: b"%d" % number)


@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(parts=st.lists(_HEAD_PARTS | _NUMBERS | st.binary(max_size=20), max_size=12))
def test_no_bytes_raise_another_exception(peer: _Peer, parts: list[bytes]) -> None:
    for start in (b"", _OK, _CHUNKED):
        peer.answer = start + b"".join(parts)
        for call in CLIENTS:
            call(peer.address)
