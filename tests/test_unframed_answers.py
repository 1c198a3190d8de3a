"""Answers of backends with neither a length nor chunks, which end with their connection.

Guards against handing on as complete what a crash or a reset has cut off.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest

from fakes import platform_engine
from fakes.http_base import Handler
from fakes.platform_engine import PlatformEngine, event, stream
from tests.direct import DirectEntry, DirectFleet

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


def _queue_for_first(fleet: DirectFleet, behaviour: Callable[..., None]) -> None:
    """Apply ``behaviour`` to the first request, whichever backend gets it."""

    def first(handler: Handler, engine: PlatformEngine) -> None:
        for other in fleet.shelf:
            other.behaviours.clear()
        behaviour(handler, engine)

    fleet.queue_behaviour(fleet.shelf, first)
