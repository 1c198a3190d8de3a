"""Handling of requests by a direct entry for each engine behaviour."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from fakes import platform_engine as engines
from tests.direct import HOST, KEY, DirectEntry, DirectFleet, Reply, read_reply, wait_until


@pytest.fixture(scope="module")
def running() -> Iterator[DirectFleet]:
    fleet = DirectFleet()
    fleet.populate_store()
    fleet.add_entry(retry_slack=10_000).wait_ready()
    yield fleet
    fleet.close()


@pytest.fixture
def fleet(running: DirectFleet) -> DirectFleet:
    for engine in [*running.shelf, *running.ink]:
        engine.arrivals.clear()
        engine.behaviours.clear()
        engine.cancelled.clear()
        engine.arrived.clear()
        engine.event_pause = 0.0
    return running


@pytest.fixture
def entry(fleet: DirectFleet) -> DirectEntry:
    return fleet.entries[0]


COMPLETE_STREAM = b"".join(engines.event(number) for number in range(1, 6))


def test_an_answer_goes_back_unchanged(fleet: DirectFleet, entry: DirectEntry) -> None:
    reply = entry.call("/save/7?x=1", body=b"page 7")
    arrival = next(e.arrivals[0] for e in fleet.shelf if e.arrivals)
    served_by = next(e.id for e in fleet.shelf if e.arrivals)
    assert (reply.status, reply.body) == (200, f"answer of {served_by}".encode())
    assert reply.headers["Response-Seal"] == f"seal-of-{served_by}"
    assert reply.headers["Attempt-Id"] == "r-1"
    assert (arrival.method, arrival.target, arrival.body) == ("POST", "/save/7?x=1", b"page 7")


def test_headers_that_the_engine_receives(fleet: DirectFleet, entry: DirectEntry) -> None:
    entry.call("/save/7", Tenant="somebody-else", Priority="0", Model="m", X_Own="kept")
    engine = next(e for e in fleet.shelf if e.arrivals)
    headers = engine.arrivals[0].headers
    assert headers["Tenant"] == "kibanda"
    assert headers["Priority"] == "2"
    assert headers["Expect-Instance"] == engine.id
    assert headers["Host"] == HOST
    assert headers["Model"] == "m"
    assert headers["X-Own"] == "kept"
    assert "Authorization" not in headers
    assert 0 < int(headers["Request-Deadline"]) <= 6_000


def _refused_unrun(reply: Reply) -> bool:
    return reply.status == 503 and float(reply.headers["Retry-After"]) > 0


#: Name, path, behaviours of successive attempts, check of the reply, and number of attempts.
CASES: list[tuple[str, str, list[Any], Callable[[Reply], bool], int]] = [
    ("an answer lost", "/save/1", [engines.answer_lost], lambda r: r.status == 502, 1),
    ("a refusal", "/save/1", [engines.overloaded], _refused_unrun, 1),
    ("another run there", "/save/1", [engines.misdirected], _refused_unrun, 1),
    ("no seal", "/save/1", [engines.without_seal], lambda r: r.status == 502, 1),
    ("another's answer", "/save/1", [engines.foreign_answer], lambda r: r.status == 502, 1),
    ("cut short", "/save/1", [engines.truncated], lambda r: r.status == 502, 1),
    ("its own failure", "/save/1", [engines.failing], lambda r: r.body == b"failed", 1),
    ("lost, repeatable", "/safe/1", [engines.answer_lost], lambda r: r.status == 200, 2),
    ("refused, repeatable", "/safe/1", [engines.overloaded], lambda r: r.status == 200, 2),
    ("failing, repeatable", "/safe/1", [engines.failing], lambda r: r.status == 200, 2),
    (
        "failing twice",
        "/safe/1",
        [engines.failing, engines.failing],
        lambda r: (r.status, r.body) == (500, b"failed"),
        2,
    ),
    ("lost twice", "/safe/1", [engines.answer_lost] * 2, lambda r: r.status == 502, 2),
]


@pytest.mark.parametrize(("path", "behaviours", "seen", "arrivals"), [c[1:] for c in CASES])
def test_failures(
    fleet: DirectFleet,
    entry: DirectEntry,
    path: str,
    behaviours: list[Any],
    seen: Callable[[Reply], bool],
    arrivals: int,
) -> None:
    remaining = list(behaviours)

    def next_behaviour(handler: Any, engine: Any) -> None:
        behaviour = remaining.pop(0) if remaining else engines.answer
        behaviour(handler, engine)

    for engine in fleet.shelf:
        engine.behaviours.extend([next_behaviour] * 3)
    reply = entry.call(path, method="GET" if path.startswith("/safe") else "POST")
    assert seen(reply), reply
    assert fleet.arrivals() == arrivals


def test_a_stream_arrives_complete(entry: DirectEntry) -> None:
    reply = entry.call("/stream/1")
    assert (reply.status, reply.body, reply.complete) == (200, COMPLETE_STREAM, True)


@pytest.mark.parametrize("within_event", [False, True])
def test_a_broken_stream_resumes_at_another_engine(
    fleet: DirectFleet, entry: DirectEntry, within_event: bool
) -> None:
    broken: list[str] = []

    def break_first(handler: Any, engine: Any) -> None:
        broken.append(engine.id)
        if len(broken) == 1:
            engines.stream_cut_after(2, within_event)(handler, engine)
        else:
            engines.answer(handler, engine)

    fleet.queue_behaviour(fleet.ink, break_first)
    reply = entry.call("/stream/1")
    assert (reply.body, reply.complete) == (COMPLETE_STREAM, True)
    assert reply.headers["Response-Seal"] == f"seal-of-{broken[0]}"
    second = next(e for e in fleet.ink if e.id == broken[1])
    assert second.arrivals[0].headers["Last-Event-Id"] == "2"
    assert broken[0] != broken[1]


def test_a_stream_that_may_not_resume_ends_as_truncated(
    fleet: DirectFleet, entry: DirectEntry
) -> None:
    fleet.queue_behaviour(fleet.ink, engines.stream_cut_after(2))
    reply = entry.call("/once/stream")
    assert not reply.complete
    assert reply.body == engines.event(1) + engines.event(2)
    assert fleet.arrivals() == 1


def test_a_caller_resumes_a_stream(fleet: DirectFleet, entry: DirectEntry) -> None:
    reply = entry.call("/stream/1", Last_Event_Id="3")
    assert reply.body == engines.event(4) + engines.event(5)


@pytest.mark.parametrize("behaviour", [engines.silent, engines.endless_stream])
def test_the_engine_learns_that_the_caller_has_left(
    fleet: DirectFleet, entry: DirectEntry, behaviour: Any
) -> None:
    fleet.queue_behaviour(fleet.ink, behaviour)
    conn = entry.send("/stream/1")
    wait_until(lambda: any(e.arrived.is_set() for e in fleet.ink), "the request arrives")
    conn.close()
    wait_until(lambda: any(e.cancelled.is_set() for e in fleet.ink), "the engine is told")
    assert fleet.arrivals() == 1


def test_a_request_is_held_no_longer_than_its_route_allows(
    fleet: DirectFleet, entry: DirectEntry
) -> None:
    fleet.queue_behaviour(fleet.shelf, engines.silent)
    assert entry.call("/short/1").status == 504
    assert fleet.arrivals() == 1
    assert int(next(e for e in fleet.shelf if e.arrivals).arrivals[0].headers["Request-Deadline"])


ADMISSION: list[tuple[str, dict[str, Any], int]] = [
    ("no key", {"path": "/save/1", "key": ""}, 401),
    ("unknown key", {"path": "/save/1", "key": "nobody's"}, 401),
    ("unknown key, open route", {"path": "/open/1", "key": "nobody's"}, 401),
    ("no key, open route", {"path": "/open/1", "key": ""}, 200),
    ("no route", {"path": "/nowhere/1"}, 404),
    ("another host", {"path": "/save/1", "Host": "other.example"}, 404),
    ("no id", {"path": "/save/1", "request_id": ""}, 400),
    ("bad time limit", {"path": "/save/1", "Request_Deadline": "soon"}, 400),
    ("body too long", {"path": "/save/1", "body": b"x" * 20_001}, 413),
    ("body as long as allowed", {"path": "/save/1", "body": b"x" * 20_000}, 200),
    ("header too long", {"path": "/save/1", "X_Long": "x" * 5_000}, 431),
]


@pytest.mark.parametrize(("request_", "status"), [case[1:] for case in ADMISSION])
def test_admission(
    fleet: DirectFleet, entry: DirectEntry, request_: dict[str, Any], status: int
) -> None:
    assert entry.call(**request_).status == status
    assert fleet.arrivals() == (1 if status == 200 else 0)


@pytest.mark.parametrize("sent", [b"POST /save/1 HTTP/1.1\r\nHost: x", b"POST"])
def test_an_incomplete_request_head_times_out(entry: DirectEntry, sent: bytes) -> None:
    host, port = entry.http.split(":")
    with socket.create_connection((host, int(port)), timeout=20) as conn:
        conn.sendall(sent)
        assert b" 408 " in conn.recv(4_096)


def test_a_chunked_body_arrives_whole(fleet: DirectFleet, entry: DirectEntry) -> None:
    host, port = entry.http.split(":")
    head = (
        f"POST /save/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: r-9\r\nRequest-Deadline: 6000\r\n"
        f"Authorization: Bearer {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    with socket.create_connection((host, int(port)), timeout=20) as conn:
        conn.sendall(head.encode() + b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n")
        assert b" 200 " in conn.recv(4_096)
    assert next(e for e in fleet.shelf if e.arrivals).arrivals[0].body == b"abcdefg"


def test_a_connection_serves_one_request_after_the_other(entry: DirectEntry) -> None:
    conn = entry.send("/save/1", request_id="r-1")
    assert read_reply(conn).headers["Attempt-Id"] == "r-1"
    headers = {"Host": HOST, "Authorization": f"Bearer {KEY}", "Attempt-Id": "r-2"}
    conn.request("POST", "/save/1", headers=headers)
    assert read_reply(conn).headers["Attempt-Id"] == "r-2"
    conn.close()


def test_the_log_line_of_a_failed_request_names_its_details(
    entry: DirectEntry, fleet: DirectFleet
) -> None:
    fleet.queue_behaviour(fleet.shelf, engines.answer_lost)
    entry.call("/save/1", request_id="r-lost")
    line = wait_until(
        lambda: [
            row
            for row in entry.logged().splitlines()
            if "r-lost" in row and '"part":"callers"' in row
        ],
        "its line",
    )[0]
    for part in ("refused 502", "kibanda", '"config":3', "shelf-", "save"):
        assert part in line


def test_the_log_line_of_an_answered_request_names_the_backend(
    fleet: DirectFleet, entry: DirectEntry
) -> None:
    entry.call("/save/7", request_id="r-told")
    served_by = next(e.id for e in fleet.shelf if e.arrivals)
    line = wait_until(
        lambda: next((x for x in entry.logged().splitlines() if '"r-told"' in x), ""), "its line"
    )
    assert f'"tried":["{served_by} load=' in line
    assert '"first":' in line


#: Path, key and behaviour of the engines, and the status of the response.
HEADS: list[tuple[str, str, Any, int]] = [
    ("/save/1", KEY, engines.answer, 200),
    ("/save/1", KEY, engines.overloaded, 503),
    ("/save/1", KEY, engines.answer_lost, 502),
    ("/save/1", KEY, engines.failing, 500),
    ("/save/1", "unknown", engines.answer, 401),
    ("/nowhere", KEY, engines.answer, 404),
]


@pytest.mark.parametrize(("path", "key", "behaviour", "status"), HEADS)
def test_a_response_to_head_leaves_the_next_one_readable(
    fleet: DirectFleet, entry: DirectEntry, path: str, key: str, behaviour: Any, status: int
) -> None:
    """Guards against a refusal with a body that is read as the beginning of the next response."""
    fleet.queue_behaviour(fleet.shelf, behaviour)
    with socket.create_connection(_host_and_port(entry), 20) as sock:
        sock.sendall(_request("HEAD", path, key))
        head = _read_until(sock, b"\r\n\r\n")
        assert head.startswith(f"HTTP/1.1 {status} ".encode())
        for engine in fleet.shelf:
            engine.behaviours.clear()
        sock.sendall(_request("POST", "/save/2", KEY))
        assert _read_until(sock, b"\r\n\r\n").startswith(b"HTTP/1.1 200 ")


def test_a_response_to_head_states_the_length_of_the_engine(
    fleet: DirectFleet, entry: DirectEntry
) -> None:
    reply = entry.call("/save/1", method="HEAD")
    assert (reply.status, reply.body) == (200, b"")
    assert reply.headers["Content-Length"] == str(len("answer of shelf-1"))


def _host_and_port(entry: DirectEntry) -> tuple[str, int]:
    host, port = entry.http.rsplit(":", 1)
    return host, int(port)


def _request(method: str, path: str, key: str) -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Bearer {key}",
        "Attempt-Id: r-1",
        "Request-Deadline: 4000",
    ]
    return "".join(f"{line}\r\n" for line in [*lines, ""]).encode()


def _read_until(sock: socket.socket, end: bytes) -> bytes:
    received = b""
    while not received.endswith(end):
        data = sock.recv(1)
        assert data
        received += data
    return received
