"""What a roster makes of lists, news, loads and groups."""

from __future__ import annotations

import dataclasses
import random

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.backend import BackendNotice, ReportedLoad
from canvasyoke.direct._choice import Chosen, NoneAble, Wanted
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


def again(name: str, position: int, started: int) -> Endpoint:
    """Return the entry of a backend that tells its start."""
    return dataclasses.replace(endpoint(name), position=position, started=started)


def choose(roster: Roster, *tried: str) -> str:
    chosen = roster.choose(Wanted("ink", frozenset(tried)))
    return chosen.endpoint.id if isinstance(chosen, Chosen) else ""


def test_own_requests_are_spread(roster: Roster) -> None:
    assert {choose(roster), choose(roster)} == {"a", "b"}


def test_a_leaving_backend_is_never_chosen(roster: Roster) -> None:
    roster.put(endpoint("a", 6, leaving=True))
    assert {choose(roster) for _ in range(5)} == {"b"}
    roster.put(endpoint("b", 7, leaving=True))
    assert isinstance(roster.choose(Wanted("ink")), NoneAble)


def test_load_that_others_tell_counts(roster: Roster) -> None:
    roster.peer_load("entry-2", PeerLoad(1, {"a": 4}))
    assert [choose(roster) for _ in range(4)] == ["b"] * 4


def test_load_on_answers_counts_where_nobody_tells(roster: Roster, clock: ManualClock) -> None:
    roster.took_notice(endpoint("a"), BackendNotice(ReportedLoad(running=5, waiting=1, slots=6)))
    assert choose(roster) == "b"
    clock.advance(2_500)
    assert {choose(roster), choose(roster)} == {"a", "b"}


NEWS = [
    ("newer", endpoint("a", 9, leaving=True), False, True),
    ("as old as the list", endpoint("c", 5), False, False),
    ("of a backend not listed", endpoint("c", 8), False, True),
    ("of a removal", endpoint("a", 8), True, True),
    ("of an old removal", endpoint("a", 1), True, False),
]


@pytest.mark.parametrize(("news", "gone", "taken"), [case[1:] for case in NEWS])
def test_news_from_others(roster: Roster, news: Endpoint, gone: bool, taken: bool) -> None:
    assert roster.hear(BackendChange(news, gone, news.position)) is taken


def test_a_removed_backend_does_not_come_back_by_old_news(roster: Roster) -> None:
    roster.remove("a", position=9)
    assert not roster.hear(BackendChange(endpoint("a", 8), gone=False, position=8))
    assert roster.ids() == {"b"}


def test_a_group_that_lost_a_rank_is_passed_over(roster: Roster, clock: ManualClock) -> None:
    for name, group in (("a", "g-1"), ("b", "g-2")):
        roster.learn_group(name, group)
    roster.group_broke("a")
    assert {choose(roster) for _ in range(5)} == {"b"}
    clock.advance(300)
    assert choose(roster) == "a"


def test_a_group_whose_streams_stand_still_is_passed_over(
    roster: Roster, clock: ManualClock
) -> None:
    for name, group in (("a", "g-1"), ("b", "g-2")):
        roster.learn_group(name, group)
    roster.stream_began("a", 150)
    clock.advance(500)
    assert {choose(roster) for _ in range(5)} == {"b"}
    roster.stream_heard("a", 70)
    assert choose(roster) == "a"


def test_the_last_group_is_used_although_it_stands_still(roster: Roster) -> None:
    for name in ("a", "b"):
        roster.learn_group(name, "g-1")
    roster.group_broke("a")
    assert choose(roster) in ("a", "b")


def test_a_failing_backend_is_not_the_first_choice(roster: Roster) -> None:
    for _ in range(2):
        assert choose(roster, "b") == "a"
        roster.finished("a", 5, failed=True)
    assert {choose(roster) for _ in range(5)} == {"b"}


def test_a_refusing_backend_rests(roster: Roster, clock: ManualClock) -> None:
    assert choose(roster, "b") == "a"
    roster.refused("a", pause=150)
    assert {choose(roster) for _ in range(5)} == {"b"}
    clock.advance(200)
    assert choose(roster) == "a"


def test_a_group_with_slower_steps_gets_fewer_requests(roster: Roster) -> None:
    for name, group, pause in (("a", "g-1", 70), ("b", "g-2", 350)):
        roster.learn_group(name, group)
        roster.stream_began(name, 150)
        roster.stream_heard(name, pause)
    chosen = [choose(roster) for _ in range(12)]
    assert chosen.count("b") in (1, 2)


def test_groups_of_about_the_same_pace_share_alike(roster: Roster) -> None:
    for name, group, pause in (("a", "g-1", 70), ("b", "g-2", 90)):
        roster.learn_group(name, group)
        roster.stream_began(name, 150)
        roster.stream_heard(name, pause)
    chosen = [choose(roster) for _ in range(12)]
    assert chosen.count("b") == 6


def test_an_old_pace_is_forgotten(roster: Roster, clock: ManualClock) -> None:
    for name, group, pause in (("a", "g-1", 70), ("b", "g-2", 350)):
        roster.learn_group(name, group)
        roster.stream_began(name, 150)
        roster.stream_heard(name, pause)
        roster.stream_ended(name)
    clock.advance(1_500)
    chosen = [choose(roster) for _ in range(12)]
    assert chosen.count("b") == 6


#: Requests under way at each of two backends with 6 slots, the longest wait that makes
#: sense, and whether a request is sent. A request takes 1,200 ms.
QUEUES = [
    ("a slot is free", 5, 0, True),
    ("one is ahead", 6, 200, True),
    ("two are ahead", 7, 200, False),
    ("two are ahead of a patient one", 7, 1_200, True),
    ("a long line", 13, 1_200, False),
]


@pytest.mark.parametrize(("each", "patience", "sent"), [case[1:] for case in QUEUES])
def test_a_request_that_would_wait_too_long_is_not_sent(
    roster: Roster, each: int, patience: int, sent: bool
) -> None:
    choose(roster)
    roster.finished("a", 1_200, failed=False)
    roster.finished("b", 1_200, failed=False)
    roster.peer_load("entry-2", PeerLoad(1, {"a": each, "b": each}))
    chosen = roster.choose(Wanted("ink", patience=patience))
    assert isinstance(chosen, Chosen) is sent
    if isinstance(chosen, NoneAble):
        assert chosen.reason is Reason.OVERLOADED


def test_a_request_whose_caller_left_says_nothing_of_the_others(roster: Roster) -> None:
    """Counted as short ones they made the mean wait for a slot too short."""
    choose(roster)
    roster.finished("a", 1_200, failed=False)
    for _ in range(20):
        choose(roster)
        for name in ("a", "b"):
            roster.cancelled(name)
    roster.peer_load("entry-2", PeerLoad(1, {"a": 7, "b": 7}))
    assert isinstance(roster.choose(Wanted("ink", patience=200)), NoneAble)


def test_a_request_whose_caller_left_does_not_speak_for_its_backend(roster: Roster) -> None:
    for _ in range(3):
        roster.finished("a", 5, failed=True)
        roster.cancelled("a")
    assert [choose(roster) for _ in range(3)] == ["b"] * 3


def test_a_service_is_away_when_all_its_groups_are(roster: Roster) -> None:
    for name, group in (("a", "g-1"), ("b", "g-2")):
        roster.learn_group(name, group)
    roster.group_broke("a")
    assert not roster.is_away("ink")
    roster.group_broke("b")
    assert roster.is_away("ink")
    assert not roster.is_away("shelf")


def fill_domains(roster: Roster, *domains: str) -> None:
    """Put two backends in each domain, all of one group a domain."""
    listed = [
        Endpoint(f"{domain}-{n}", "ink", f"{domain}:{n}", domain, 6, EndpointState.READY, 7)
        for domain in domains
        for n in (1, 2)
    ]
    roster.merge(listed, position=7)
    for each in listed:
        roster.learn_group(each.id, f"g-{each.domain}")


def miss(roster: Roster, *names: str) -> None:
    for each in roster.endpoints():
        if each.id in names:
            roster.domain_missed(each)


def test_a_domain_out_of_reach_is_passed_over(roster: Roster) -> None:
    fill_domains(roster, "nbo-a", "nbo-b")
    miss(roster, "nbo-b-1")
    assert roster.cut_addresses() == {}
    miss(roster, "nbo-b-1", "nbo-b-2")
    assert {choose(roster)[:5] for _ in range(8)} == {"nbo-a"}
    assert roster.cut_addresses().keys() == {"nbo-b"}
    roster.domain_reached("nbo-b")
    assert {choose(roster)[:5] for _ in range(8)} == {"nbo-b"}


def test_one_backend_out_of_reach_is_not_its_domain(roster: Roster) -> None:
    fill_domains(roster, "nbo-a", "nbo-b")
    miss(roster, "nbo-b-1", "nbo-b-1")
    roster.domain_reached("nbo-b")
    miss(roster, "nbo-b-2")
    assert roster.cut_addresses() == {}


#: Domains out of reach, groups that stand still, and whether the entry is isolated.
ISOLATED = [
    ("nothing is wrong", (), (), False),
    ("one of two is cut off, and the own group is lost", ("nbo-b",), ("nbo-a",), False),
    ("all are cut off, but the own group serves", ("nbo-b", "nbo-c"), (), False),
    ("all are cut off, and the own group is lost", ("nbo-b", "nbo-c"), ("nbo-a",), True),
    ("groups are lost, but in reach", (), ("nbo-a", "nbo-b", "nbo-c"), False),
]


@pytest.mark.parametrize(("cut", "lost", "isolated"), [case[1:] for case in ISOLATED])
def test_isolation(
    roster: Roster, cut: tuple[str, ...], lost: tuple[str, ...], isolated: bool
) -> None:
    fill_domains(roster, "nbo-a", "nbo-b", "nbo-c")
    for domain in cut:
        miss(roster, f"{domain}-1", f"{domain}-2")
    for domain in lost:
        roster.group_broke(f"{domain}-1")
    assert roster.is_isolated() is isolated


def test_isolation_lasts_until_a_domain_is_in_reach(roster: Roster, clock: ManualClock) -> None:
    fill_domains(roster, "nbo-a", "nbo-b")
    miss(roster, "nbo-b-1", "nbo-b-2")
    roster.group_broke("nbo-a-1")
    assert roster.is_isolated()
    clock.advance(10_000)
    assert roster.is_isolated()
    roster.domain_reached("nbo-b")
    assert not roster.is_isolated()


def used(roster: Roster) -> set[str]:
    """Return the backends that requests go to while none of them ends."""
    return {choose(roster) for _ in range(6)}


def fail_often(roster: Roster, run: str) -> None:
    for _ in range(20):
        roster.finished(run, 10, failed=True)


@pytest.mark.parametrize("way", ["put", "list", "news", "gone and back"])
def test_nothing_that_was_seen_of_one_start_is_said_of_the_next(roster: Roster, way: str) -> None:
    """The new start has no group, no failures, no silence and no requests under way."""
    roster.put(again("a", 6, started=100))
    roster.learn_group("a@100", "g-1")
    fail_often(roster, "a@100")
    assert roster.fell_silent("a@100")
    assert used(roster) == {"b"}
    new = again("a", 8, started=50)
    match way:
        case "put":
            roster.put(new)
        case "list":
            roster.merge_from_store([new, endpoint("b")], 9)
        case "news":
            assert roster.hear(BackendChange(new, False, 8))
        case _:
            roster.remove("a", 7)
            roster.put(new)
    assert "a" in used(roster)
    assert roster.ids() == {"a", "b"}
    assert {e.run for e in roster.without_group(frozenset({"ink"}))} == {"a@50", "b"}


def test_late_word_of_the_start_before_does_not_touch_the_new_one(roster: Roster) -> None:
    roster.put(again("a", 6, started=100))
    roster.remove("b", 7)
    assert [choose(roster) for _ in range(3)] == ["a"] * 3
    roster.put(again("a", 8, started=200))
    assert [choose(roster) for _ in range(2)] == ["a"] * 2
    for _ in range(3):
        roster.finished("a@100", 10, failed=True)
    fail_often(roster, "a@100")
    assert not roster.fell_silent("a@100")
    assert not roster.learn_group("a@100", "g-1")
    assert not roster.learn_pace("a@100", 9.0)
    assert roster.own_load() == {"a@200": 2}
    assert choose(roster) == "a"


def test_another_start_may_be_tried_where_nothing_has_run(roster: Roster) -> None:
    roster.put(again("a", 6, started=100))
    roster.remove("b", 7)
    assert choose(roster, "a@100") == ""
    roster.put(again("a", 8, started=200))
    assert choose(roster, "a@100") == "a"


def test_one_that_does_not_tell_its_start_is_another_at_another_address(roster: Roster) -> None:
    fail_often(roster, "a")
    assert used(roster) == {"b"}
    roster.put(dataclasses.replace(endpoint("a"), position=7))
    assert used(roster) == {"b"}
    roster.put(dataclasses.replace(endpoint("a"), position=8, address="127.0.0.1:99"))
    assert "a" in used(roster)


def test_a_change_of_state_keeps_what_was_seen(roster: Roster) -> None:
    roster.put(again("a", 6, started=100))
    assert roster.learn_group("a@100", "g-1")
    roster.put(again("a", 7, started=100))
    assert roster.groups() == {"a@100": "g-1"}


def test_a_removal_that_is_older_than_what_is_known_is_no_news(roster: Roster) -> None:
    """A held removal is carried out as of what its own watch has seen; others may know more."""
    roster.put(endpoint("a", 9))
    assert roster.remove("a", 8) == []
    assert "a" in roster.ids()
