"""Configuration, backends, readiness and settings of direct entries."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest

from fakes import platform_engine as engines
from tests.direct import DirectFleet, configuration, read_reply, route, wait_until

#: Seconds of store outage after which backend entries may lapse.
LAPSE_SECONDS = 1.5


@pytest.fixture
def fleet() -> Iterator[DirectFleet]:
    fleet = DirectFleet()
    yield fleet
    fleet.close()


def test_an_entry_is_ready_once_it_knows_configuration_and_backends(fleet: DirectFleet) -> None:
    entry = fleet.add_entry()
    wait_until(lambda: entry.ready_status() == 503, "it answers that it is not ready")
    assert entry.call("/save/1").status == 503
    fleet.populate_store()
    entry.wait_ready()
    assert entry.call("/save/1").status == 200


def test_an_entry_recovers_from_malformed_store_answers(fleet: DirectFleet) -> None:
    fleet.populate_store()
    fleet.store_endpoint.faults.garbage = b'{"Items": [{"Metadata": 7}], "at":'
    entry = fleet.add_entry()
    wait_until(lambda: "cannot be read" in entry.logged(), "the fault is logged")
    assert entry.ready_status() == 503
    fleet.store_endpoint.faults.garbage = b""
    entry.wait_ready()
    wait_until(lambda: "regained the store" in entry.logged(), "the return is logged")


def test_a_malformed_configuration_leaves_the_one_in_force(fleet: DirectFleet) -> None:
    fleet.populate_store(version=3)
    entry = fleet.add_entry()
    entry.wait_ready()
    fleet.store.put("config", "main", {"Version": 4, "Routes": "none"})
    wait_until(lambda: "the configuration cannot be read" in entry.logged(), "it is logged")
    assert entry.call("/save/1").status == 200
    fleet.store.put("config", "main", configuration(5, [route("late", "shelf")]))
    wait_until(lambda: entry.call("/late/1").status == 200, "the next one is in force")


def test_an_older_configuration_is_never_adopted(fleet: DirectFleet) -> None:
    fleet.populate_store(version=3)
    entry = fleet.add_entry()
    entry.wait_ready()
    fleet.store.put("config", "main", configuration(9, [route("new", "shelf")]))
    wait_until(lambda: entry.call("/new/1").status == 200, "version 9 is in force")
    fleet.store.put("config", "main", configuration(8))
    fleet.store.put("servers", "shelf-3", fleet.shelf[0].store_entry("shelf"))
    wait_until(lambda: entry.metric("canvasyoke_backends") == 6, "it has seen what came after")
    assert entry.call("/save/1").status == 404
    assert entry.metric("canvasyoke_config_version") == 9


def test_a_store_outage_and_a_lost_history_change_nothing(fleet: DirectFleet) -> None:
    fleet.populate_store()
    entry = fleet.add_entry()
    entry.wait_ready()
    fleet.store_endpoint.faults.status = 503
    fleet.store.compact_history()
    wait_until(lambda: "lost the store" in entry.logged(), "it is logged")
    assert entry.call("/save/1").status == 200
    fleet.store_endpoint.faults.status = 0
    fleet.store.put("config", "main", configuration(4, [route("after", "shelf")]))
    wait_until(lambda: entry.call("/after/1").status == 200, "it follows again")


@pytest.mark.parametrize("expires", [False, True])
def test_changes_missed_by_a_watch_are_found_by_the_next_list(
    fleet: DirectFleet, expires: bool
) -> None:
    """The store drops events and then its history."""
    fleet.populate_store(version=3)
    entry = fleet.add_entry()
    entry.wait_ready()
    fleet.store.put("config", "main", configuration(4, [route("hidden", "shelf")]))
    wait_until(lambda: entry.call("/hidden/1").status == 200, "version 4 is in force")
    # An entry pauses between an event and its next watch.
    wait_until(lambda: fleet.store.watching["config"] == 1, "the next watch waits")
    fleet.store.suppress_watch_events()
    calls = fleet.store_endpoint.calls
    fleet.store.put("config", "main", configuration(5, [route("found", "shelf")]))
    if expires:
        wait_until(
            lambda: fleet.store_endpoint.calls >= calls + 2, "watches end as if nothing had changed"
        )
    fleet.store.resume_watch_events()
    wait_until(lambda: entry.call("/found/1").status == 200, "version 5 is in force")


def test_an_entry_that_lapsed_during_an_outage_is_kept_until_it_is_back(
    fleet: DirectFleet,
) -> None:
    fleet.populate_store()
    entry = fleet.add_entry()
    entry.wait_ready()
    fleet.store_endpoint.faults.status = 503
    fleet.store.compact_history()
    wait_until(lambda: entry.logged().count("lost the store") == 2, "both watches notice it")
    fleet.store.remove("servers", "shelf-1")
    fleet.store.remove("servers", "shelf-2")
    # Removals are held only after an outage of several heartbeats.
    began = time.monotonic()
    wait_until(lambda: time.monotonic() - began > LAPSE_SECONDS, "the outage lasts")
    fleet.store_endpoint.faults.status = 0
    wait_until(lambda: entry.logged().count("removal held") == 2, "the removals are held")
    assert entry.call("/save/1").status == 200
    fleet.store.put("servers", "shelf-1", fleet.shelf[0].store_entry("shelf"))
    wait_until(lambda: entry.metric("canvasyoke_backends") == 4, "the missing one is dropped")
    assert "did not come back" in entry.logged()
    assert entry.call("/save/1").status == 200


def test_a_leaving_backend_gets_no_more_requests(fleet: DirectFleet) -> None:
    fleet.populate_store()
    entry = fleet.add_entry()
    entry.wait_ready()
    leaving = fleet.shelf[0]
    fleet.store.put("servers", leaving.id, leaving.store_entry("shelf", "draining"))
    wait_until(lambda: "LEAVING" in entry.logged(), "it is told")
    leaving.arrivals.clear()
    for _ in range(10):
        assert entry.call("/save/1").status == 200
    assert leaving.arrivals == []


def test_a_leaving_backend_is_noticed_beside_unreadable_entries(fleet: DirectFleet) -> None:
    fleet.populate_store()
    fleet.store.put("servers", "a-odd", None)
    entry = fleet.add_entry()
    entry.wait_ready()
    fleet.store.put("servers", "z-odd", {"Service": "shelf", "Address": 7})
    leaving = fleet.shelf[0]
    fleet.store.put("servers", leaving.id, leaving.store_entry("shelf", "draining"))
    wait_until(lambda: "LEAVING" in entry.logged(), "the leaving is told")
    assert entry.metric("canvasyoke_entries_unreadable") == 2
    assert entry.logged().count("entry names no backend") == 2
    leaving.arrivals.clear()
    for _ in range(10):
        assert entry.call("/save/1").status == 200
    assert leaving.arrivals == []
    fleet.store.remove("servers", "a-odd")
    wait_until(lambda: entry.metric("canvasyoke_entries_unreadable") == 1, "one is gone")


def test_a_leaving_backend_is_noticed_while_store_connections_hang(
    fleet: DirectFleet,
) -> None:
    fleet.populate_store()
    entries = [fleet.add_entry(), fleet.add_entry()]
    for entry in entries:
        entry.wait_ready()
    wait_until(lambda: fleet.store.watching["servers"] == 2, "both watch")
    fleet.store_endpoint.silence_connections()
    leaving = fleet.shelf[0]
    fleet.store.put("servers", leaving.id, leaving.store_entry("shelf", "draining"))
    for entry in entries:
        wait_until(
            lambda e=entry: "LEAVING" in e.logged() or '"leaving":true' in e.logged(),  # type: ignore[misc]
            "the leaving is known",
        )
    leaving.arrivals.clear()
    for entry in entries:
        for _ in range(5):
            assert entry.call("/save/1").status == 200
    assert leaving.arrivals == []


def test_a_group_that_lost_a_rank_is_passed_over_as_a_whole(fleet: DirectFleet) -> None:
    """The other ranks look idle but refuse; the second attempt goes to another group."""
    fleet.populate_store()
    entry = fleet.add_entry(retry_slack=10_000)
    entry.wait_ready()
    wait_until(lambda: entry.logged().count("group learned") == 3, "it knows the groups")
    lost, kept = fleet.ink[:2], fleet.ink[2]
    for engine in lost:
        engine.behaviours.extend([engines.group_broken] * 100)
    for number in range(12):
        reply = entry.call("/stream/1", request_id=f"r-{number}")
        assert (reply.status, reply.complete) == (200, True)
    assert len(kept.arrivals) == 12
    # Without group awareness every request would be refused at least once.
    assert sum(len(engine.arrivals) for engine in lost) < 12


def test_retry_after_is_long_while_all_groups_are_lost(fleet: DirectFleet) -> None:
    """Callers retry only once, so an early retry would fail."""
    fleet.populate_store()
    entry = fleet.add_entry(retry_slack=10_000)
    entry.wait_ready()
    wait_until(lambda: entry.logged().count("group learned") == 3, "it knows the groups")
    for engine in fleet.ink:
        engine.behaviours.extend([engines.group_broken] * 10)
    reply = entry.call("/stream/1", Request_Deadline="6000")
    assert reply.status == 503
    assert (
        1.5 < float(reply.headers["Retry-After"]) < 2.0
    )  # less than a third of the remaining time


def test_requests_beyond_the_queue_limit_are_refused_unrun(fleet: DirectFleet) -> None:
    """A shorter deadline is refused as well, with a Retry-After below a third of it."""
    fleet.populate_store()
    calm = route("stream", "ink", "streaming", TargetLatencyMs=900)
    fleet.store.put("config", "main", configuration(4, [calm]))
    entry = fleet.add_entry()
    entry.wait_ready()
    slots = 6 * len(fleet.ink)
    for engine in fleet.ink:
        engine.behaviours.extend([engines.endless_stream] * slots)
    # Keep the responses: a collected response closes its connection.
    held: list[object] = []
    while fleet.arrivals() < 2 * slots:
        before = fleet.arrivals()
        conn = entry.send("/stream/1", request_id=f"r-{len(held)}")
        answered = conn.getresponse()
        held += [conn, answered]
        if answered.status == 503:
            break
        assert answered.status == 200, entry.logged()[-2_000:]
        assert fleet.arrivals() == before + 1
    assert slots <= fleet.arrivals() < 2 * slots
    assert float(answered.headers["Retry-After"]) >= 0.8
    arrivals = fleet.arrivals()
    conn = entry.send("/stream/1", request_id="r-again", Request_Deadline="3000")
    refused = conn.getresponse()
    assert refused.status == 503
    assert 0 < float(refused.headers["Retry-After"]) < 1.0
    assert fleet.arrivals() == arrivals


def test_an_entry_cut_off_from_all_it_could_use_leaves_the_balancer(fleet: DirectFleet) -> None:
    fleet.populate_store()
    entry = fleet.add_entry(retry_slack=10_000, domain="nbo-b")
    entry.wait_ready()
    # All backends are in domain nbo-a and refuse connections.
    for engine in [*fleet.shelf, *fleet.ink]:
        engine.close()
    wait_until(
        lambda: entry.call("/save/1").status == 503 and entry.ready_status() == 503,
        "it is not ready",
    )
    wait_until(
        lambda: entry.call("/save/1").headers.get("Connection") == "close",
        "callers are told to connect anew",
    )
    assert "domain out of reach" in entry.logged()


def test_a_failure_goes_back_where_there_is_no_other_backend(fleet: DirectFleet) -> None:
    fleet.populate_store()
    fleet.store.remove("servers", "shelf-2")
    entry = fleet.add_entry(retry_slack=10_000)
    entry.wait_ready()
    fleet.queue_behaviour(fleet.shelf[:1], engines.failing)
    reply = entry.call("/safe/1", method="GET")
    assert (reply.status, reply.body) == (500, b"failed")
    assert reply.headers["Response-Seal"] == "seal-of-shelf-1"


def test_an_entry_without_the_store_learns_from_the_others(fleet: DirectFleet) -> None:
    fleet.populate_store(version=3)
    first = fleet.add_entry()
    first.wait_ready()
    apart = fleet.add_store_endpoint()
    second = fleet.add_entry(apart.address)
    second.wait_ready()
    wait_until(lambda: second.metric("canvasyoke_peers") == 1, "they are linked")
    apart.faults.status = 503
    wait_until(lambda: "lost the store" in second.logged(), "it is turned away")
    fleet.store.put("config", "main", configuration(4, [route("told", "shelf")]))
    leaving = fleet.shelf[0]
    fleet.store.put("servers", leaving.id, leaving.store_entry("shelf", "draining"))
    wait_until(lambda: second.call("/told/1").status == 200, "the configuration reaches it")
    wait_until(lambda: '"leaving":true' in second.logged(), "the leaving reaches it")
    leaving.arrivals.clear()
    for _ in range(10):
        assert second.call("/told/1").status == 200
    assert leaving.arrivals == []
    fleet.store.remove("servers", leaving.id)
    wait_until(lambda: second.metric("canvasyoke_backends") == 4, "the removal reaches it")


def test_unknown_clients_on_the_peer_port_are_ignored(fleet: DirectFleet) -> None:
    import socket

    fleet.populate_store()
    first, second = fleet.add_entry(), fleet.add_entry()
    for entry in (first, second):
        entry.wait_ready()
    host, port = first.peer.split(":")
    wait_until(lambda: second.metric("canvasyoke_peers") >= 1, "they are linked")
    for noise in (b"\x00SP\x00\x00\x11\x00\x00" + b"\xff" * 64, b"GET / HTTP/1.1\r\n\r\n", b"\x00"):
        with socket.create_connection((host, int(port)), timeout=20) as conn:
            conn.sendall(noise)
    assert first.call("/save/1").status == 200
    assert first.metric("canvasyoke_peers") >= 1


def test_a_stopping_entry_completes_open_requests(fleet: DirectFleet) -> None:
    fleet.populate_store()
    entry = fleet.add_entry()
    entry.wait_ready()
    fleet.queue_behaviour(fleet.shelf, engines.silent)
    for engine in fleet.ink:
        engine.event_pause = 0.3
    conn = entry.send("/stream/1")
    wait_until(lambda: any(e.arrivals for e in fleet.ink), "the request arrives")
    entry.signal(signal.SIGTERM)
    wait_until(lambda: entry.ready_status() == 503, "it is not ready")
    assert entry.call("/stream/2", request_id="r-2").headers["Connection"] == "close"
    reply = read_reply(conn)
    assert reply.complete
    assert reply.body.count(b"id: ") == 5
    assert entry.process.wait(timeout=30) == 0
    assert "stopped" in entry.logged()


def test_new_requests_to_a_stopping_entry_are_refused_unrun(fleet: DirectFleet) -> None:
    fleet.populate_store()
    entry = fleet.add_entry()
    entry.wait_ready()
    fleet.queue_behaviour(fleet.ink, engines.endless_stream)
    held = entry.send("/stream/1")
    wait_until(lambda: any(e.arrivals for e in fleet.ink), "the request arrives")
    entry.signal(signal.SIGTERM)
    reply = wait_until(
        lambda: (r := entry.call("/save/1", request_id="r-2")).status == 503 and r, "a refusal"
    )
    assert float(reply.headers["Retry-After"]) < 0.1
    assert reply.headers["Connection"] == "close"
    arrivals = fleet.arrivals()
    assert entry.call("/save/1", request_id="r-3").status == 503
    assert fleet.arrivals() == arrivals
    held.close()
    assert entry.process.wait(timeout=30) == 0


def test_settings_are_read_again_on_a_signal(fleet: DirectFleet) -> None:
    fleet.populate_store()
    entry = fleet.add_entry()
    entry.wait_ready()
    entry.write_settings({"retry_ratio": "plenty", "colour": "blue"})
    entry.signal(signal.SIGHUP)
    wait_until(lambda: "settings not taken" in entry.logged(), "the faults are logged")
    assert "colour" in entry.logged()
    entry.write_settings({"retry_ratio": 0.05})
    entry.signal(signal.SIGHUP)
    wait_until(lambda: "settings reloaded" in entry.logged(), "they are taken")
    assert entry.call("/save/1").status == 200


@pytest.mark.parametrize(
    ("changes", "named"),
    [({"store": "somewhere"}, "store"), ({"unknown": 1}, "unknown"), ({"http": None}, "http")],
)
def test_bad_settings_are_refused_at_the_start(
    fleet: DirectFleet, changes: dict[str, Any], named: str
) -> None:
    entry = fleet.add_entry(**changes)
    assert entry.process.wait(timeout=30) == 1
    assert named in entry.logged()


def test_many_requests_at_once(fleet: DirectFleet) -> None:
    fleet.populate_store()
    entry = fleet.add_entry()
    entry.wait_ready()
    replies: list[int] = []

    def call(number: int) -> None:
        replies.append(entry.call("/stream/1", request_id=f"r-{number}").status)

    callers = [threading.Thread(target=call, args=(n,)) for n in range(60)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    assert replies == [200] * 60
