"""Cold backends get no more than they tolerate from all entries together, and still get work."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import replace

import msgspec
import pytest

from canvasyoke._clock import SECOND, ManualClock
from canvasyoke.backend import BackendNotice
from canvasyoke.direct._backend_news import to_backend_news, to_endpoint
from canvasyoke.direct._backend_parts import BackendParts
from canvasyoke.direct._choice import BackendQuery, Chosen, NoneAvailable
from canvasyoke.direct._cold_backends import ColdBackends
from canvasyoke.direct._cold_monitor import cold_rules
from canvasyoke.direct._known_backends import BackendChange
from canvasyoke.direct._roster import FleetView, Roster
from canvasyoke.direct._send_window import SendWindow
from canvasyoke.direct.tests.cold_simulation import (
    DOMAINS,
    RULE,
    SERVICE,
    ColdScenario,
    ColdSimulation,
)
from canvasyoke.protocol import Reason
from canvasyoke.state import (
    CallerLimits,
    DirectSettings,
    Endpoint,
    EndpointState,
    RoutingTable,
    TableService,
    store_position,
)

LIMIT = 44
SIZES = (3, 12, 37, 100, 300)


def engines(count: int = 63) -> list[Endpoint]:
    return [
        Endpoint(f"ink-{n}", SERVICE, f"b:{n}", DOMAINS[n % 3], 5, EndpointState.READY, 5, 1)
        for n in range(count)
    ]


def names(count: int, prefix: str = "entry") -> dict[str, str]:
    return {f"{prefix}-{n}": DOMAINS[n % 3] for n in range(count)}


def make_parts(own: str, entries: Mapping[str, str], clock: ManualClock) -> BackendParts:
    parts = BackendParts(clock)
    parts.set_backends(engines())
    parts.set_entries(own, entries, is_full_mesh=False)
    return parts


def parts_of(own: str, entries: Mapping[str, str]) -> list[int]:
    parts = make_parts(own, entries, ManualClock(start=1))
    return [parts.part(e.run, RULE.requests, RULE.max_requests) for e in engines()]


@pytest.mark.parametrize("count", [*SIZES, 1_500])
def test_every_entry_holds_parts_and_their_sum_is_what_is_divided(count: int) -> None:
    """Guards against entries that could send nothing while all backends are cold."""
    entries = names(count)
    held = [parts_of(name, entries) for name in entries]
    assert all(any(parts) for parts in held)
    sums = {sum(column) for column in zip(*held, strict=True)}
    assert len(sums) == 1
    assert RULE.requests <= max(sums) <= RULE.max_requests


@pytest.mark.parametrize("count", [12, 37, 100])
def test_entries_of_the_backends_domain_come_first(count: int) -> None:
    """Guards against parts held only where the backend may be out of reach."""
    entries = names(count)
    near_sum = 0
    for name, domain in entries.items():
        parts = parts_of(name, entries)
        near_sum += sum(p for p, e in zip(parts, engines(), strict=True) if e.domain == domain)
    assert near_sum >= min(RULE.requests, count // 3) * 63


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("count", [*SIZES, 1_500])
def test_two_groups_that_know_different_entries_keep_the_limit(count: int, seed: int) -> None:
    """Each entry belongs to one group and knows the entries of its group and a few others."""
    rng = random.Random(seed)
    entries = names(count)
    groups: tuple[list[str], list[str]] = ([], [])
    for name in entries:
        groups[rng.random() < rng.choice((0.2, 0.5))].append(name)
    sums = [0] * 63
    for group in groups:
        seen = {n: d for n, d in entries.items() if n in set(group) or rng.random() < 0.3}
        for name in group:
            sums = [a + b for a, b in zip(sums, parts_of(name, seen), strict=True)]
    assert max(sums) <= LIMIT


def test_a_part_gained_by_a_change_is_used_after_the_others_know() -> None:
    clock = ManualClock(start=1)
    before, after = names(100), names(100) | names(33, "joined")
    for own in before:
        parts = make_parts(own, before, clock)
        old = [parts.part(e.run, RULE.requests) for e in engines()]
        parts.set_entries(own, after, is_full_mesh=False)
        new = parts_of(own, after)
        during = [parts.part(e.run, RULE.requests) for e in engines()]
        assert during == [min(a, b) for a, b in zip(old, new, strict=True)]
        clock.advance(2_000)
        assert [parts.part(e.run, RULE.requests) for e in engines()] == new


def test_an_entry_that_is_no_longer_listed_keeps_its_parts_for_a_while() -> None:
    """Guards against both sides of a partition dividing the whole rate."""
    clock = ManualClock(start=1)
    parts = make_parts("entry-0", names(100), clock)
    held = [parts.part(e.run, RULE.requests) for e in engines()]
    for _ in range(3):
        clock.advance(10 * SECOND)
        parts.set_entries("entry-0", names(50), is_full_mesh=False)
    clock.advance(10 * SECOND)
    assert [parts.part(e.run, RULE.requests) for e in engines()] == held
    clock.advance(60 * SECOND)
    parts.set_entries("entry-0", names(50), is_full_mesh=False)
    clock.advance(2 * SECOND)
    assert [parts.part(e.run, RULE.requests) for e in engines()] == parts_of("entry-0", names(50))


class _Sender:
    """An entry that sends whenever it may."""

    def __init__(self, name: str, entries: Mapping[str, str], clock: ManualClock) -> None:
        self.cold = ColdBackends(clock, make_parts(name, entries, clock), {SERVICE: RULE})
        self.backend = engines()[0]
        self.key = (self.backend.run, self.backend.address)
        self.cold.record_listed(self.backend, is_new=True, is_first_list=False)

    def send(self) -> int:
        count = 0
        while not self.cold.wait(self.key):
            self.cold.record_sent(self.key)
            self.cold.record_written(self.key)
            count += 1
        return count


@pytest.mark.parametrize("count", SIZES)
def test_saturated_entries_that_restart_or_are_cut_off_keep_the_limit(count: int) -> None:
    """Half of the entries know only each other; entries restart again and again."""
    clock = ManualClock(start=10_000)
    rng = random.Random(count)
    entries = names(count)
    half = dict(list(entries.items())[::2])
    seen = {name: half if name in half else entries for name in entries}
    senders = {name: _Sender(name, seen[name], clock) for name in entries}
    sent: list[int] = []
    for _ in range(290):
        clock.advance(10)
        for name in entries:
            if rng.random() < 0.02:
                senders[name] = _Sender(name, seen[name], clock)
        sent.append(sum(sender.send() for sender in senders.values()))
    seconds = [sum(sent[i : i + 100]) for i in range(len(sent) - 100)]
    assert 0 < max(seconds) <= LIMIT


@pytest.mark.parametrize("count", SIZES)
def test_most_of_the_demand_is_placed_while_all_engines_are_cold(count: int) -> None:
    simulation = ColdSimulation(ColdScenario(count, cold_at_start=8_000))
    assert simulation.run() <= LIMIT
    assert simulation.placed >= 0.6 * simulation.arrived


#: A burst at few engines while one restarts, half of the entries restart, a third more join, and
#: a fifth is cut off from the list.
RESTART = ColdScenario(
    0, engines=6, slots=60, rate=300.0, crash_at=1_500, restart_at=3_500, length=6_500,
    restarting=0.5, cut_off=0.2, joining=0.34,
)  # fmt: skip


@pytest.mark.parametrize("count", SIZES)
def test_a_restarted_engine_gets_no_more_than_it_tolerates(count: int) -> None:
    simulation = ColdSimulation(replace(RESTART, entries=count))
    assert simulation.run() <= LIMIT
    assert simulation.engines["ink-0"].cold_sends


@pytest.mark.parametrize("count", SIZES)
def test_a_restarted_engine_is_overrun_without_the_limit(count: int) -> None:
    """The model shows the failure that the limit prevents."""
    assert ColdSimulation(replace(RESTART, entries=count, is_limited=False)).run() > LIMIT


A = engines()[0]


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(start=10_000)


@pytest.fixture
def roster(clock: ManualClock) -> Roster:
    roster = Roster(A.domain, clock, random.Random(1))
    roster.set_cold_rules({SERVICE: RULE})
    roster.set_fleet(FleetView(1, "entry-0", domains={"entry-0": A.domain}))
    roster.merge([A], 5)
    clock.advance(5_000)
    return roster


def remaining(roster: Roster, endpoint: Endpoint = A) -> int:
    return roster.cold_remaining(endpoint)


def test_the_first_list_states_which_backends_are_warm(roster: Roster) -> None:
    assert not remaining(roster)


def test_a_backend_listed_later_is_cold_for_the_cold_time(
    roster: Roster, clock: ManualClock
) -> None:
    new = replace(A, started=2, position=6)
    roster.put(new)
    assert remaining(roster, new) == RULE.time
    clock.advance(RULE.time)
    assert not remaining(roster, new)


def test_a_stated_remainder_counts_down_and_is_told_as_it_is(
    roster: Roster, clock: ManualClock
) -> None:
    roster.put(replace(A, position=6, cold_remaining=9_000))
    clock.advance(4_000)
    assert remaining(roster) == 5_000
    [known] = roster.endpoints()
    news = to_backend_news(BackendChange(known, False, 6), remaining(roster))
    assert to_endpoint(news).cold_remaining == 5_000


def test_a_remainder_that_counts_down_is_no_change(roster: Roster) -> None:
    assert roster.put(replace(A, position=6, cold_remaining=9_000))
    assert not roster.put(replace(A, position=6, cold_remaining=8_000))


def test_an_unreachable_backend_is_cold_from_its_return(roster: Roster, clock: ManualClock) -> None:
    roster.record_connect_failure(A)
    clock.advance(6_000)
    assert remaining(roster)
    roster.record_notice(A, BackendNotice())  # no answer
    assert remaining(roster) > RULE.time
    roster.record_notice(A, BackendNotice(is_limit_known=True))
    assert remaining(roster) == RULE.time


def test_backends_of_a_domain_that_was_evacuated_are_cold(roster: Roster) -> None:
    roster.mark_domain_cold("elsewhere")
    assert not remaining(roster)
    roster.mark_domain_cold(A.domain)
    assert remaining(roster) == RULE.time


def test_a_cold_backend_at_its_rate_is_not_chosen(roster: Roster, clock: ManualClock) -> None:
    """It is limited as by a stated limit; requests while it was warm count too."""
    for _ in range(10):
        assert isinstance(roster.choose(BackendQuery(SERVICE)), Chosen)
    roster.mark_domain_cold(A.domain)
    count = 0
    while isinstance(chosen := roster.choose(BackendQuery(SERVICE)), Chosen):
        assert roster.may_send(chosen.endpoint)
        count += 1
    assert count == RULE.requests - 10
    assert chosen == NoneAvailable(Reason.LIMITED, RULE.window)
    assert roster.cold_counts() == {SERVICE: 1}
    clock.advance(RULE.time)
    assert isinstance(roster.choose(BackendQuery(SERVICE)), Chosen)


def test_without_a_rule_nothing_is_limited(roster: Roster) -> None:
    roster.set_cold_rules({})
    roster.mark_domain_cold(A.domain)
    assert all(isinstance(roster.choose(BackendQuery(SERVICE)), Chosen) for _ in range(100))


def test_changes_are_reported_once_with_their_source(roster: Roster, clock: ManualClock) -> None:
    assert roster.take_cold_changes() == []
    roster.record_connect_failure(A)
    [change] = roster.take_cold_changes()
    assert (change.is_cold, change.source) == (True, "unreachable")
    assert roster.take_cold_changes() == []
    clock.advance(20_000)
    [change] = roster.take_cold_changes()
    assert not change.is_cold


def test_rules_need_the_operators_settings() -> None:
    service = TableService(SERVICE, 0, cold_rate=26.0, cold_time=3_000)
    plain = TableService("shelf", 0)
    limits = CallerLimits(1, 1, 1, 1)
    table = RoutingTable(1, (), limits=limits, services={SERVICE: service, "shelf": plain})
    address = "127.0.0.1:1"
    settings = DirectSettings(
        instance="e", domain="d", http=address, ready=address, peer=address, metrics=address,
        store=address, adapter="objects", cold_overage=1.5, cold_slack=5.0,
    )  # fmt: skip
    assert cold_rules(table, msgspec.structs.replace(settings, cold_overage=0.0)) == {}
    assert cold_rules(table, settings) == {SERVICE: RULE}


def test_a_request_counts_from_when_it_is_written() -> None:
    """Guards against a slow connection that brings two requests into one window."""
    window = SendWindow()
    window.reserve(1_000, 0)
    window.record_written(400)
    assert window.wait(1, 1_000, 1_100) == 300
    window.reserve(1_000, 1_400)
    window.refund()
    assert window.wait(1, 1_000, 1_400) == 0


def test_a_listed_backend_is_tracked_after_many_restarts_of_another(roster: Roster) -> None:
    """Guards against records that grow with runs, and that are dropped while still listed."""
    other = engines()[1]
    for run in range(10_010):
        roster.put(replace(other, position=6 + run, started=10 + run))
    roster.mark_domain_cold(A.domain)
    assert remaining(roster)
    assert len(roster._notices.limits.cold._records) <= 1_002


def test_an_entry_rewritten_after_a_restore_of_the_store_may_state_a_cold_time(
    roster: Roster,
) -> None:
    """Guards against a cold time that is ignored because only the position seems to differ."""
    rewritten = replace(A, position=store_position(1, 3), cold_remaining=2_500)
    assert roster.put(rewritten)
    assert remaining(roster) == 2_500


def test_removed_backends_stop_counting_without_a_change_of_the_list() -> None:
    """Guards against entries that hold parts only of backends that have been removed."""
    clock = ManualClock(start=1)
    entries = names(75)
    parts = {name: make_parts(name, entries, clock) for name in entries}
    left = engines(3)
    for each in parts.values():
        each.set_backends(left)
    clock.advance(61_000)
    for name, each in parts.items():
        each.set_entries(name, entries, is_full_mesh=False)
    clock.advance(3_000)
    held = [
        sum(each.part(e.run, RULE.requests, RULE.max_requests) for e in left)
        for each in parts.values()
    ]
    assert min(held) > 0


def test_a_removed_backend_counts_for_a_while_after_a_long_time_without_changes() -> None:
    """Guards against a division that follows a loss at once if the list has long been the same."""
    clock = ManualClock(start=1)
    parts = make_parts("entry-0", names(100), clock)
    before = [parts.part(e.run, RULE.requests) for e in engines()]
    clock.advance(600_000)
    parts.set_backends(engines(51))
    clock.advance(3_000)
    assert [parts.part(e.run, RULE.requests) for e in engines()] == before
