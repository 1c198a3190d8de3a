"""Tests for the roster: lists, changes, loads, groups and selection."""

from __future__ import annotations

import dataclasses
import random

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.backend import BackendNotice, ReportedLoad
from canvasyoke.direct._choice import BackendQuery, Chosen, NoneAvailable
from canvasyoke.direct._known_backends import BackendChange
from canvasyoke.direct._peer_loads import PeerLoad
from canvasyoke.direct._roster import Roster
from canvasyoke.protocol import Reason
from canvasyoke.state import Endpoint, EndpointState


def endpoint(name: str, position: int = 1, leaving: bool = False) -> Endpoint:
    state = EndpointState.LEAVING if leaving else EndpointState.READY
    return Endpoint(name, "ink", f"127.0.0.1:{position}", "nbo-a", 6, state, position)


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(start=10_000)


@pytest.fixture
def roster(clock: ManualClock) -> Roster:
    roster = Roster("nbo-a", clock, random.Random(1))
    roster.merge([endpoint("a"), endpoint("b")], position=5)
    return roster


def restarted(name: str, position: int, started: int) -> Endpoint:
    """Return the endpoint of a backend with a start time."""
    return dataclasses.replace(endpoint(name), position=position, started=started)


def choose(roster: Roster, *tried: str) -> str:
    chosen = roster.choose(BackendQuery("ink", frozenset(tried)))
    return chosen.endpoint.id if isinstance(chosen, Chosen) else ""


def test_own_requests_are_distributed(roster: Roster) -> None:
    assert {choose(roster), choose(roster)} == {"a", "b"}


def test_a_leaving_backend_is_never_chosen(roster: Roster) -> None:
    roster.put(endpoint("a", 6, leaving=True))
    assert {choose(roster) for _ in range(5)} == {"b"}
    roster.put(endpoint("b", 7, leaving=True))
    assert isinstance(roster.choose(BackendQuery("ink")), NoneAvailable)


def test_load_of_other_entries_is_counted(roster: Roster) -> None:
    roster.update_peer_load("entry-2", PeerLoad(1, {"a": 4}))
    assert [choose(roster) for _ in range(4)] == ["b"] * 4


def test_load_reported_in_responses_is_counted_until_it_expires(
    roster: Roster, clock: ManualClock
) -> None:
    roster.record_notice(endpoint("a"), BackendNotice(ReportedLoad(running=5, waiting=1, slots=6)))
    assert choose(roster) == "b"
    clock.advance(2_500)
    assert {choose(roster), choose(roster)} == {"a", "b"}


RELAYED_CHANGES = [
    ("newer", endpoint("a", 9, leaving=True), False, True),
    ("as old as the list", endpoint("c", 5), False, False),
    ("of a backend not listed", endpoint("c", 8), False, True),
    ("of a removal", endpoint("a", 8), True, True),
    ("of an old removal", endpoint("a", 1), True, False),
]


@pytest.mark.parametrize(("change", "gone", "applied"), [case[1:] for case in RELAYED_CHANGES])
def test_changes_relayed_by_other_entries(
    roster: Roster, change: Endpoint, gone: bool, applied: bool
) -> None:
    assert roster.apply_change(BackendChange(change, gone, change.position)) is applied


def test_outdated_change_does_not_restore_a_removed_backend(roster: Roster) -> None:
    roster.remove("a", position=9)
    assert not roster.apply_change(BackendChange(endpoint("a", 8), gone=False, position=8))
    assert roster.ids() == {"b"}


def test_group_that_lost_a_rank_is_avoided(roster: Roster, clock: ManualClock) -> None:
    for name, group in (("a", "g-1"), ("b", "g-2")):
        roster.learn_group(name, group)
    roster.record_group_failure("a")
    assert {choose(roster) for _ in range(5)} == {"b"}
    clock.advance(300)
    assert choose(roster) == "a"


def test_group_with_stalled_streams_is_avoided(roster: Roster, clock: ManualClock) -> None:
    for name, group in (("a", "g-1"), ("b", "g-2")):
        roster.learn_group(name, group)
    roster.record_stream_start("a", 150)
    clock.advance(500)
    assert {choose(roster) for _ in range(5)} == {"b"}
    roster.record_stream_event("a", 70)
    assert choose(roster) == "a"


def test_backend_removed_during_a_stream_does_not_stall_its_group(
    roster: Roster, clock: ManualClock
) -> None:
    """The end of the stream must not be lost with the record of its backend."""
    roster.put(endpoint("c"))
    for name, group in (("a", "g-1"), ("b", "g-1"), ("c", "g-2")):
        roster.learn_group(name, group)
    roster.record_stream_start("a", 150)
    roster.remove("a", 2)
    roster.record_stream_end("a")
    clock.advance(500)
    assert {choose(roster) for _ in range(8)} == {"b", "c"}


def test_last_group_is_used_even_if_stalled(roster: Roster) -> None:
    for name in ("a", "b"):
        roster.learn_group(name, "g-1")
    roster.record_group_failure("a")
    assert choose(roster) in ("a", "b")


def test_failing_backend_is_avoided(roster: Roster) -> None:
    for _ in range(2):
        assert choose(roster, "b") == "a"
        roster.record_finished("a", 5, failed=True)
    assert {choose(roster) for _ in range(5)} == {"b"}


def test_refusing_backend_is_avoided_for_its_pause(roster: Roster, clock: ManualClock) -> None:
    assert choose(roster, "b") == "a"
    roster.record_refusal("a", pause=150)
    assert {choose(roster) for _ in range(5)} == {"b"}
    clock.advance(200)
    assert choose(roster) == "a"


def test_backend_that_closed_a_connection_is_avoided_for_a_moment(
    roster: Roster, clock: ManualClock
) -> None:
    """Its process may be ending, and the retry of a request must not meet it."""
    roster.record_connection_lost("a")
    assert {choose(roster) for _ in range(6)} == {"b"}
    clock.advance(1_000)
    assert "a" in {choose(roster) for _ in range(6)}


def test_backend_that_closed_a_connection_is_used_again_after_an_answer(roster: Roster) -> None:
    """The other requests of a live backend must not be sent elsewhere for long."""
    roster.record_connection_lost("a")
    roster.record_finished("a", 20, failed=False)
    assert "a" in {choose(roster) for _ in range(6)}


def test_a_group_with_slower_steps_gets_fewer_requests(roster: Roster) -> None:
    for name, group, pause in (("a", "g-1", 70), ("b", "g-2", 350)):
        roster.learn_group(name, group)
        roster.record_stream_start(name, 150)
        roster.record_stream_event(name, pause)
    chosen = [choose(roster) for _ in range(12)]
    assert chosen.count("b") in (1, 2)


def test_groups_of_similar_pace_get_equal_shares(roster: Roster) -> None:
    for name, group, pause in (("a", "g-1", 70), ("b", "g-2", 90)):
        roster.learn_group(name, group)
        roster.record_stream_start(name, 150)
        roster.record_stream_event(name, pause)
    chosen = [choose(roster) for _ in range(12)]
    assert chosen.count("b") == 6


def test_group_pace_expires(roster: Roster, clock: ManualClock) -> None:
    for name, group, pause in (("a", "g-1", 70), ("b", "g-2", 350)):
        roster.learn_group(name, group)
        roster.record_stream_start(name, 150)
        roster.record_stream_event(name, pause)
        roster.record_stream_end(name)
    clock.advance(1_500)
    chosen = [choose(roster) for _ in range(12)]
    assert chosen.count("b") == 6


#: Requests in flight at each of two backends with 6 slots, the longest acceptable wait, and
#: whether a request is sent. A request takes 1,200 ms.
QUEUES = [
    ("a slot is free", 5, 0, True),
    ("one is ahead", 6, 200, True),
    ("two are ahead", 7, 200, False),
    ("two are ahead of a patient one", 7, 1_200, True),
    ("a long line", 13, 1_200, False),
]


@pytest.mark.parametrize(("each", "max_wait", "sent"), [case[1:] for case in QUEUES])
def test_request_that_would_wait_too_long_is_rejected(
    roster: Roster, each: int, max_wait: int, sent: bool
) -> None:
    choose(roster)
    roster.record_finished("a", 1_200, failed=False)
    roster.record_finished("b", 1_200, failed=False)
    roster.update_peer_load("entry-2", PeerLoad(1, {"a": each, "b": each}))
    chosen = roster.choose(BackendQuery("ink", max_wait=max_wait))
    assert isinstance(chosen, Chosen) is sent
    if isinstance(chosen, NoneAvailable):
        assert chosen.reason is Reason.OVERLOADED


def test_cancelled_requests_do_not_affect_mean_duration(roster: Roster) -> None:
    """Guards against an estimated wait that is too short."""
    choose(roster)
    roster.record_finished("a", 1_200, failed=False)
    for _ in range(20):
        choose(roster)
        for name in ("a", "b"):
            roster.record_cancelled(name)
    roster.update_peer_load("entry-2", PeerLoad(1, {"a": 7, "b": 7}))
    assert isinstance(roster.choose(BackendQuery("ink", max_wait=200)), NoneAvailable)


def test_cancelled_requests_do_not_reset_failures(roster: Roster) -> None:
    for _ in range(3):
        roster.record_finished("a", 5, failed=True)
        roster.record_cancelled("a")
    assert [choose(roster) for _ in range(3)] == ["b"] * 3


def test_service_is_stalled_when_all_its_groups_are(roster: Roster) -> None:
    for name, group in (("a", "g-1"), ("b", "g-2")):
        roster.learn_group(name, group)
    roster.record_group_failure("a")
    assert not roster.is_service_stalled("ink")
    roster.record_group_failure("b")
    assert roster.is_service_stalled("ink")
    assert not roster.is_service_stalled("shelf")


def fill_domains(roster: Roster, *domains: str) -> None:
    """List two backends in each domain, with one group per domain."""
    listed = [
        Endpoint(f"{domain}-{n}", "ink", f"{domain}:{n}", domain, 6, EndpointState.READY, 7)
        for domain in domains
        for n in (1, 2)
    ]
    roster.merge(listed, position=7)
    for each in listed:
        roster.learn_group(each.id, f"g-{each.domain}")


def fail_connections(roster: Roster, *names: str) -> None:
    for each in roster.endpoints():
        if each.id in names:
            roster.record_connect_failure(each)


def test_unreachable_domain_is_avoided(roster: Roster) -> None:
    fill_domains(roster, "nbo-a", "nbo-b")
    fail_connections(roster, "nbo-b-1")
    assert roster.probe_addresses() == {}
    fail_connections(roster, "nbo-b-1", "nbo-b-2")
    assert {choose(roster)[:5] for _ in range(8)} == {"nbo-a"}
    assert roster.probe_addresses().keys() == {"nbo-b"}
    roster.record_connect_success("nbo-b")
    assert {choose(roster)[:5] for _ in range(8)} == {"nbo-b"}


def test_one_unreachable_backend_does_not_make_its_domain_unreachable(roster: Roster) -> None:
    fill_domains(roster, "nbo-a", "nbo-b")
    fail_connections(roster, "nbo-b-1", "nbo-b-1")
    roster.record_connect_success("nbo-b")
    fail_connections(roster, "nbo-b-2")
    assert roster.probe_addresses() == {}


#: Unreachable domains, domains whose group failed, and whether the entry is isolated.
ISOLATED = [
    ("nothing is wrong", (), (), False),
    ("one of two is cut off, and the own group is lost", ("nbo-b",), ("nbo-a",), False),
    ("all are cut off, but the own group serves", ("nbo-b", "nbo-c"), (), False),
    ("all are cut off, and the own group is lost", ("nbo-b", "nbo-c"), ("nbo-a",), True),
    ("groups are lost, but in reach", (), ("nbo-a", "nbo-b", "nbo-c"), False),
]


@pytest.mark.parametrize(("unreachable", "failed", "isolated"), [case[1:] for case in ISOLATED])
def test_isolation(
    roster: Roster, unreachable: tuple[str, ...], failed: tuple[str, ...], isolated: bool
) -> None:
    fill_domains(roster, "nbo-a", "nbo-b", "nbo-c")
    for domain in unreachable:
        fail_connections(roster, f"{domain}-1", f"{domain}-2")
    for domain in failed:
        roster.record_group_failure(f"{domain}-1")
    assert roster.is_isolated() is isolated


def test_isolation_lasts_until_a_domain_is_reachable(roster: Roster, clock: ManualClock) -> None:
    fill_domains(roster, "nbo-a", "nbo-b")
    fail_connections(roster, "nbo-b-1", "nbo-b-2")
    roster.record_group_failure("nbo-a-1")
    assert roster.is_isolated()
    clock.advance(10_000)
    assert roster.is_isolated()
    roster.record_connect_success("nbo-b")
    assert not roster.is_isolated()


def chosen_backends(roster: Roster) -> set[str]:
    """Return the backends chosen for six requests that stay in flight."""
    return {choose(roster) for _ in range(6)}


def fail_repeatedly(roster: Roster, run: str) -> None:
    for _ in range(20):
        roster.record_finished(run, 10, failed=True)


@pytest.mark.parametrize("way", ["put", "list", "news", "gone and back"])
def test_new_run_does_not_inherit_state(roster: Roster, way: str) -> None:
    """Group, failures, unresponsiveness and in-flight requests belong to one run."""
    roster.put(restarted("a", 6, started=100))
    roster.learn_group("a@100", "g-1")
    fail_repeatedly(roster, "a@100")
    assert roster.mark_unresponsive("a@100")
    assert chosen_backends(roster) == {"b"}
    new = restarted("a", 8, started=50)
    match way:
        case "put":
            roster.put(new)
        case "list":
            roster.merge_from_store([new, endpoint("b")], 9)
        case "news":
            assert roster.apply_change(BackendChange(new, False, 8))
        case _:
            roster.remove("a", 7)
            roster.put(new)
    assert "a" in chosen_backends(roster)
    assert roster.ids() == {"a", "b"}
    assert {e.run for e in roster.with_unknown_group(frozenset({"ink"}))} == {"a@50", "b"}


def test_late_events_of_an_old_run_do_not_affect_the_new_one(roster: Roster) -> None:
    roster.put(restarted("a", 6, started=100))
    roster.remove("b", 7)
    assert [choose(roster) for _ in range(3)] == ["a"] * 3
    roster.put(restarted("a", 8, started=200))
    assert [choose(roster) for _ in range(2)] == ["a"] * 2
    for _ in range(3):
        roster.record_finished("a@100", 10, failed=True)
    fail_repeatedly(roster, "a@100")
    assert not roster.mark_unresponsive("a@100")
    assert not roster.learn_group("a@100", "g-1")
    assert not roster.learn_pace("a@100", 9.0)
    assert roster.own_load() == {"a@200": 2}
    assert choose(roster) == "a"


def test_new_run_may_be_tried_after_the_old_one(roster: Roster) -> None:
    roster.put(restarted("a", 6, started=100))
    roster.remove("b", 7)
    assert choose(roster, "a@100") == ""
    roster.put(restarted("a", 8, started=200))
    assert choose(roster, "a@100") == "a"


def test_run_without_start_time_is_identified_by_address(roster: Roster) -> None:
    fail_repeatedly(roster, "a")
    assert chosen_backends(roster) == {"b"}
    roster.put(dataclasses.replace(endpoint("a"), position=7))
    assert chosen_backends(roster) == {"b"}
    roster.put(dataclasses.replace(endpoint("a"), position=8, address="127.0.0.1:99"))
    assert "a" in chosen_backends(roster)


def test_update_of_the_same_run_keeps_its_state(roster: Roster) -> None:
    roster.put(restarted("a", 6, started=100))
    assert roster.learn_group("a@100", "g-1")
    roster.put(restarted("a", 7, started=100))
    assert roster.groups() == {"a@100": "g-1"}


def test_outdated_removal_is_ignored(roster: Roster) -> None:
    """A deferred removal is applied as of its own position; newer changes take precedence."""
    roster.put(endpoint("a", 9))
    assert roster.remove("a", 8) == []
    assert "a" in roster.ids()
