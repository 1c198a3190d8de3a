"""How long a backend's notice is in effect, and for which entries."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

import pytest

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.backend import BackendNotice
from canvasyoke.direct._backend_notices import MAX_BACKOFF, SharedNotice
from canvasyoke.direct._choice import BackendQuery, Chosen, NoneAvailable
from canvasyoke.direct._roster import Roster
from canvasyoke.protocol import Reason
from canvasyoke.state import Endpoint, EndpointState

BACKOFF = BackendNotice(backoff=3_000)
LEAVES = BackendNotice(is_leaving=True)
A = Endpoint("a", "ink", "10.0.0.1:1", "nbo-a", 6, EndpointState.READY, 1)
B = dataclasses.replace(A, id="b", address="10.0.0.2:1")


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(start=10_000)


@pytest.fixture
def roster(clock: ManualClock) -> Roster:
    roster = Roster("nbo-a", clock, random.Random(1))
    roster.merge([A, B], position=5)
    return roster


def chosen(roster: Roster) -> set[str]:
    """Return the ids of the backends that are chosen now."""
    found = [roster.choose(BackendQuery("ink")) for _ in range(8)]
    for choice in found:
        if isinstance(choice, Chosen):
            roster.record_cancelled(choice.endpoint.run)
    return {choice.endpoint.id for choice in found if isinstance(choice, Chosen)}


def test_a_backoff_is_in_effect_until_its_end(roster: Roster, clock: ManualClock) -> None:
    roster.record_notice(A, BACKOFF)
    assert chosen(roster) == {"b"}
    clock.advance(2_999)
    assert chosen(roster) == {"b"}
    clock.advance(1)
    assert chosen(roster) == {"a", "b"}


def test_if_all_back_off_none_is_chosen_and_the_earliest_end_is_returned(
    roster: Roster, clock: ManualClock
) -> None:
    roster.record_notice(A, BACKOFF)
    clock.advance(1_000)
    roster.record_notice(B, BACKOFF)
    assert roster.choose(BackendQuery("ink")) == NoneAvailable(Reason.BACKOFF, 2_000)
    assert roster.time_until_available("ink") == 2_000
    assert not roster.has_alternative("ink", frozenset())


#: Events after a backoff of three seconds was requested, and the remaining milliseconds.
AFTER_BACKOFF: list[tuple[str, Callable[[Roster], object], int]] = [
    ("nothing", lambda _: None, 3_000),
    ("a shorter backoff", lambda r: r.record_notice(A, BackendNotice(backoff=500)), 3_000),
    ("a longer backoff", lambda r: r.record_notice(A, BackendNotice(backoff=4_000)), 4_000),
    ("an answer without a word", lambda r: r.record_notice(A, BackendNotice()), 3_000),
    ("an answer that is whole", lambda r: r.record_finished("a", 10, failed=False), 3_000),
    ("a refusal without a time", lambda r: r.record_refusal("a", 150), 3_000),
    ("word that another run has its address", lambda r: r.record_address_conflict("a"), 3_000),
    ("a list that has it", lambda r: r.merge([A, B], 6), 3_000),
    ("its entry is gone and back", lambda r: (r.remove("a", 6), r.put(at(A, 7))), 3_000),
    ("the store's word that it leaves", lambda r: r.put(at(leaving(A), 7)), 3_000),
    ("another start under its name", lambda r: r.put(started(at(A, 7), 9)), 0),
    ("another address", lambda r: r.put(moved_to(at(A, 7), "10.0.0.3:1")), 0),
]


def at(endpoint: Endpoint, position: int) -> Endpoint:
    return dataclasses.replace(endpoint, position=position)


def leaving(endpoint: Endpoint) -> Endpoint:
    return dataclasses.replace(endpoint, state=EndpointState.LEAVING)


def started(endpoint: Endpoint, when: int) -> Endpoint:
    return dataclasses.replace(endpoint, started=when)


def moved_to(endpoint: Endpoint, address: str) -> Endpoint:
    return dataclasses.replace(endpoint, address=address)


@pytest.mark.parametrize(
    ("event", "left"), [case[1:] for case in AFTER_BACKOFF], ids=[case[0] for case in AFTER_BACKOFF]
)
def test_what_ends_a_backoff(roster: Roster, event: Callable[[Roster], object], left: int) -> None:
    roster.record_notice(A, BACKOFF)
    event(roster)
    now = next(endpoint for endpoint in roster.endpoints() if endpoint.id == "a")
    assert roster._notices.remaining_backoff(now) == left
    assert roster.may_send(now) is (left == 0)


def test_an_excessive_backoff_is_bounded(roster: Roster, clock: ManualClock) -> None:
    roster.record_notice(A, BackendNotice(backoff=10**15))
    clock.advance(MAX_BACKOFF - 1)
    assert chosen(roster) == {"b"}
    clock.advance(1)
    assert chosen(roster) == {"a", "b"}


def test_a_backoff_elapses_while_the_machine_is_suspended(
    roster: Roster, clock: ManualClock
) -> None:
    """The clock includes the time of suspension, so the backoff is over on resume."""
    roster.record_notice(A, BACKOFF)
    clock.advance(60 * SECOND)
    assert chosen(roster) == {"a", "b"}


def _fail(roster: Roster, run: str) -> None:
    for _ in range(2):
        roster.record_finished(run, 1, failed=True)


def _break_group(roster: Roster, run: str) -> None:
    roster.learn_group(run, "g")
    roster.record_group_failure(run)


#: Reasons against choosing a backend, and whether they are ignored when no other is left.
REASONS: list[tuple[str, Callable[[Roster], object], bool]] = [
    ("backoff", lambda r: r.record_notice(A, BACKOFF), False),
    ("the store says that it leaves", lambda r: r.put(at(leaving(A), 7)), False),
    ("it says that it leaves", lambda r: r.record_notice(A, LEAVES), False),
    ("full", lambda r: r.record_refusal("a", 150), True),
    ("moved", lambda r: r.record_address_conflict("a"), True),
    ("a lost connection", lambda r: r.record_connection_lost("a"), True),
    ("failures", lambda r: _fail(r, "a"), True),
    ("silence", lambda r: r.mark_unresponsive("a"), True),
    ("a group that stands still", lambda r: _break_group(r, "a"), True),
]


@pytest.mark.parametrize(
    ("apply", "is_ignorable"), [case[1:] for case in REASONS], ids=[case[0] for case in REASONS]
)
def test_only_suspicions_are_ignored_for_the_last_backend(
    roster: Roster, apply: Callable[[Roster], object], is_ignorable: bool
) -> None:
    apply(roster)
    assert chosen(roster) == {"b"}
    roster.remove("b", 8)
    assert chosen(roster) == ({"a"} if is_ignorable else set())


def test_backoffs_do_not_isolate_the_entry(roster: Roster) -> None:
    """The backends are reachable, so entries of other domains could not serve callers better."""
    far = dataclasses.replace(B, id="c", domain="nbo-b", address="10.0.0.4:1")
    roster.put(at(far, 7))
    for endpoint in (A, B, far):
        roster.record_notice(endpoint, BACKOFF)
    assert not roster.is_isolated()
    assert not roster.is_service_stalled("ink")


def test_a_suspicion_does_not_shorten_another(roster: Roster, clock: ManualClock) -> None:
    """Guards against a late refusal replacing the longer penalty for a moved address."""
    roster.record_address_conflict("a")
    roster.record_refusal("a", 150)
    clock.advance(4_999)
    assert chosen(roster) == {"b"}


#: Events after a backend has announced leaving, and whether it still counts as leaving.
AFTER_LEAVING: list[tuple[str, Callable[[Roster], object], bool]] = [
    ("nothing", lambda _: None, True),
    ("an answer that does not say so", lambda r: r.record_notice(A, BackendNotice()), True),
    ("an older list that has it ready", lambda r: r.merge([A, B], 4), True),
    ("a newer list that has it ready", lambda r: r.merge_from_store([at(A, 8), B], 9), True),
    ("newer word of the store that it is ready", lambda r: r.put(at(A, 8)), True),
    ("newer word that it leaves", lambda r: r.put(at(leaving(A), 8)), True),
    ("its entry is gone and back", lambda r: (r.remove("a", 6), r.put(at(A, 7))), True),
    ("another start under its name", lambda r: r.put(started(at(A, 7), 9)), False),
    ("another address", lambda r: r.put(moved_to(at(A, 7), "10.0.0.3:1")), False),
]


@pytest.mark.parametrize(
    ("event", "leaves"),
    [case[1:] for case in AFTER_LEAVING],
    ids=[case[0] for case in AFTER_LEAVING],
)
@pytest.mark.parametrize("is_shared", [False, True], ids=["said here", "told by another entry"])
def test_an_announced_leaving_takes_precedence_over_the_store(
    roster: Roster, event: Callable[[Roster], object], leaves: bool, is_shared: bool
) -> None:
    if is_shared:
        assert roster.merge_peer_notice(SharedNotice("a", A.address, is_leaving=True))
    else:
        assert roster.record_notice(A, LEAVES).leaves
    event(roster)
    now = next(endpoint for endpoint in roster.endpoints() if endpoint.id == "a")
    assert roster.is_ready(now.run) is not leaves
    assert roster.may_send(now) is not leaves
    assert chosen(roster) == ({"b"} if leaves else {"a", "b"})


def test_if_all_are_leaving_none_is_chosen(roster: Roster) -> None:
    for endpoint in (A, B):
        roster.record_notice(endpoint, LEAVES)
    assert roster.choose(BackendQuery("ink")) == NoneAvailable(Reason.LEAVING)
    assert not roster.has_alternative("ink", frozenset())


def test_a_notice_is_reported_as_changed_once(roster: Roster) -> None:
    assert roster.record_notice(A, LEAVES).leaves
    assert not roster.record_notice(A, LEAVES).leaves
    assert not roster.merge_peer_notice(SharedNotice("a", A.address, is_leaving=True))
    assert roster.notices_to_share() == [SharedNotice("a", A.address, is_leaving=True)]


def test_notices_of_removed_runs_are_not_shared(roster: Roster) -> None:
    roster.record_notice(A, LEAVES)
    roster.remove("a", 6)
    assert roster.notices_to_share() == []


def test_the_number_of_notices_is_bounded(roster: Roster) -> None:
    for number in range(10_010):
        roster.merge_peer_notice(SharedNotice(f"c-{number}", "10.0.0.9:1", is_leaving=True))
    assert len(roster._notices._states) == 10_000


def test_a_backend_in_backoff_is_not_asked_for_its_group_or_pace(
    roster: Roster, clock: ManualClock
) -> None:
    roster.learn_group("a", "g")
    roster.learn_pace("a", 5.0)
    roster.record_notice(A, BACKOFF)
    roster.record_notice(B, BACKOFF)
    assert roster.with_unknown_group(frozenset({"ink"})) == []
    assert roster.in_slow_groups("ink", 100) == []
    clock.advance(2_999)
    roster.learn_pace("a", 5.0)
    clock.advance(1)
    assert roster.with_unknown_group(frozenset({"ink"})) == [B]
    assert roster.in_slow_groups("ink", 100) == [A]
