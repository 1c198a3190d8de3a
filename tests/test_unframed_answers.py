"""Answers of backends with neither a length nor chunks, which end with their connection.

Guards against handing on as complete what a crash, a reset or the entry itself has cut off.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import pytest

from fakes import platform_engine
from fakes.http_base import Handler
from fakes.platform_engine import PlatformEngine, event, stream
from tests.direct import DirectEntry, DirectFleet, read_reply, wait_until

EVENTS = 5
WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


@pytest.fixture
def fleet() -> Iterator[DirectFleet]:
    fleet = DirectFleet()
    for engine in fleet.shelf:
        engine.is_unframed = True
        engine.events = EVENTS
    fleet.populate_store()
    yield fleet
    fleet.close()


@pytest.fixture
def entry(fleet: DirectFleet) -> DirectEntry:
    entry = fleet.add_entry()
    entry.wait_ready()
    return entry


def cut_after(events: int, *, within_event: bool = False, is_crash: bool) -> Callable[..., None]:
    """Return a behaviour that ends a stream after ``events`` events, by a crash or a reset."""

    def behaviour(handler: Handler, engine: PlatformEngine) -> None:
        stream(handler, engine, events)
        if within_event:
            handler.wfile.write(event(events + 1)[:6])
        if is_crash:
            engine.crash()
        else:
            platform_engine.reset(handler)

    return behaviour


def end_within_event(handler: Handler, engine: PlatformEngine) -> None:
    """End a stream within its third event, by a close."""
    stream(handler, engine, 2)
    handler.wfile.write(event(3)[:6])


#: Description, and how the first backend ends its stream.
CUTS = [
    ("a close within an event", end_within_event),
    ("a reset within an event", cut_after(2, within_event=True, is_crash=False)),
    ("a reset between events", cut_after(2, is_crash=False)),
    ("a crash within an event", cut_after(2, within_event=True, is_crash=True)),
    ("a crash between events", cut_after(2, is_crash=True)),
    ("a crash before the first event", cut_after(0, is_crash=True)),
]


@pytest.mark.parametrize("path", ["/safe/1", "/open/1", "/save/1"])
def test_an_unframed_answer_is_delivered(entry: DirectEntry, path: str) -> None:
    reply = entry.call(path)
    assert (reply.status, reply.complete) == (200, True)
    assert reply.body.startswith(b"answer of shelf-")
    assert reply.headers["Response-Seal"].startswith("seal-of-shelf-")


def test_an_unframed_stream_is_delivered_and_resumed(entry: DirectEntry) -> None:
    reply = entry.call("/shelf-stream/stream")
    assert (reply.status, reply.complete, reply.body) == (200, True, WHOLE)
    rest = entry.call("/shelf-stream/stream", Last_Event_Id="3")
    assert (rest.complete, rest.body) == (True, event(4) + event(5))


@pytest.mark.parametrize("cut", [c[1] for c in CUTS], ids=[c[0] for c in CUTS])
def test_an_unframed_stream_that_is_cut_off_goes_on_elsewhere(
    fleet: DirectFleet, entry: DirectEntry, cut: Callable[..., None]
) -> None:
    _queue_for_first(fleet, cut)
    reply = entry.call("/shelf-stream/stream")
    assert (reply.status, reply.complete, reply.body) == (200, True, WHOLE)


@pytest.mark.parametrize("cut", [c[1] for c in CUTS], ids=[c[0] for c in CUTS])
def test_an_unframed_stream_that_is_cut_off_does_not_look_complete(
    fleet: DirectFleet, entry: DirectEntry, cut: Callable[..., None]
) -> None:
    fleet.queue_behaviour(fleet.shelf, cut)
    reply = entry.call("/shelf-stream/stream")
    assert reply.status == 502 or not reply.complete


def test_an_answer_that_ends_with_its_backend_is_tried_elsewhere(
    fleet: DirectFleet, entry: DirectEntry
) -> None:
    _queue_for_first(fleet, platform_engine.crash_while_answering)
    reply = entry.call("/safe/1")
    assert (reply.status, reply.complete) == (200, True)
    assert reply.body.startswith(b"answer of shelf-")


def test_an_answer_that_ends_with_its_backend_is_no_success_if_it_cannot_repeat(
    fleet: DirectFleet, entry: DirectEntry
) -> None:
    fleet.queue_behaviour(fleet.shelf, platform_engine.crash_while_answering)
    assert entry.call("/save/1").status == 502


SEALED = b"HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\nResponse-Seal: s\r\n"
CHUNKS = SEALED + b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
#: Description, and what comes of an answer before its connection ends.
CUT_FRAMING = {
    "before the length": SEALED,
    "within the length": SEALED + b"Content-Length: 1",
    "before the end of the head": SEALED + b"Connection: close\r\n",
    "within the size of a chunk": CHUNKS + b"0",
}


@pytest.mark.parametrize("received", CUT_FRAMING.values(), ids=CUT_FRAMING)
def test_an_answer_that_ends_within_its_framing_does_not_look_complete(
    fleet: DirectFleet, entry: DirectEntry, received: bytes
) -> None:
    """Guards against the end of a connection that is taken for the end of a line."""

    def behaviour(handler: Handler, engine: PlatformEngine) -> None:
        handler.close_connection = True
        handler.wfile.write(received)

    fleet.queue_behaviour(fleet.shelf, behaviour)
    assert entry.call("/save/1").status == 502


CRASHING_BODY = b"ends whoever begins to run it"
CRASHING_BACKENDS = 3


@dataclass
class _HalfAnswer:
    """A behaviour that sends half of an answer, and the rest once it may."""

    begun: threading.Event = field(default_factory=threading.Event)
    resumed: threading.Event = field(default_factory=threading.Event)

    def __call__(self, handler: Handler, engine: PlatformEngine) -> None:
        is_stream = "/stream" in handler.path
        whole = WHOLE if is_stream else f"answer of {engine.id}".encode()
        half = 2 * len(event(1)) if is_stream else len(whole) // 2
        platform_engine.begin_answer(handler, engine, {})
        handler.wfile.write(whole[:half])
        self.begun.set()
        self.resumed.wait(30)
        handler.wfile.write(whole[half:])


def test_an_answer_whose_request_is_quarantined_meanwhile_does_not_look_complete(
    fleet: DirectFleet, entry: DirectEntry
) -> None:
    """Guards against the entry's own close that is taken for the end of the answer."""
    half = _HalfAnswer()
    sound, *others = fleet.shelf
    for engine in others:
        fleet.store.remove("servers", engine.id)
    wait_until(lambda: entry.metric("canvasyoke_backends") == 4, "one backend of the service")
    fleet.queue_behaviour([sound], half)
    held = entry.send("/safe/1", body=CRASHING_BODY, request_id="held")
    wait_until(half.begun.is_set, "half of the answer is sent")
    for number in range(CRASHING_BACKENDS):
        engine = PlatformEngine(f"deadly-{number}", crash_body=CRASHING_BODY)
        fleet.shelf.append(engine)
        fleet.store.put("servers", engine.id, engine.store_entry("shelf"))
        _wait_until_known(entry, engine)
        while not engine.crashed.is_set():
            entry.call("/safe/1", body=CRASHING_BODY, request_id=f"deadly-{number}")
    reply = read_reply(held)
    half.resumed.set()
    assert reply.status == 502
    assert entry.metric('canvasyoke_closed_exchanges_total{cause="quarantined"}') == 1


@pytest.mark.parametrize("path", ["/safe/1", "/shelf-stream/stream"])
def test_an_answer_whose_caller_leaves_is_not_recorded_as_complete(
    fleet: DirectFleet, entry: DirectEntry, path: str
) -> None:
    """Guards against a success that clears what the request may have crashed."""
    half = _HalfAnswer()
    fleet.queue_behaviour(fleet.shelf, half)
    conn = entry.send(path, request_id="left")
    wait_until(half.begun.is_set, "half of the answer is sent")
    conn.close()
    closed = 'canvasyoke_closed_exchanges_total{cause="caller left"}'
    wait_until(lambda: entry.metric(closed) == 1, "the entry closes the exchange")
    wait_until(lambda: entry.metric("canvasyoke_requests_in_flight") == 0, "the request has ended")
    half.resumed.set()
    assert not entry.metric('canvasyoke_requests_total{outcome="answered"}')
    assert "ms answered" not in entry.logged()


def _wait_until_known(entry: DirectEntry, engine: PlatformEngine) -> None:
    wait_until(lambda: f'"{engine.id}"' in entry.logged(), f"the entry knows {engine.id}")


def _queue_for_first(fleet: DirectFleet, behaviour: Callable[..., None]) -> None:
    """Apply ``behaviour`` to the first request, whichever backend gets it."""

    def first(handler: Handler, engine: PlatformEngine) -> None:
        for other in fleet.shelf:
            other.behaviours.clear()
        behaviour(handler, engine)

    fleet.queue_behaviour(fleet.shelf, first)
