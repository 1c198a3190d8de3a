"""A large group whose ranks link to their owner through relays."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import cast

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.experts import (
    MapOrder,
    MapOrderKind,
    OrderOutcome,
    RankMap,
    RankPort,
    RankReport,
)
from canvasyoke.experts import _relay as relay_module
from canvasyoke.experts._linked_group import LinkedGroup
from canvasyoke.experts._lookup_limiter import LookupLimiter
from canvasyoke.experts._owner_link import OwnerLink
from canvasyoke.experts._rank_client import RankClient, to_reading
from canvasyoke.experts._rank_directory import RankNote
from canvasyoke.experts._relay import Relay, add_counts, members_of_relay
from canvasyoke.protocol import Message, RankOrder, RankOrders, RankReading, encode_batch
from canvasyoke.transport import Session

RANKS, LAYERS, EXPERTS = 96, 16, 192
DOMAINS = {rank: f"nbo-{'abcde'[rank % 5]}" for rank in range(RANKS)}

#: Rank, and its relay in a group of 96 ranks over five failure domains.
RELAYS = [
    ("the owner", 0, None),
    ("the standby", 1, None),
    ("first rank of a domain", 2, 2),
    ("first eligible rank of the owner's domain", 5, 5),
    ("another rank of that domain", 10, 5),
    ("last rank of another domain", 94, 4),
]


def relay_of(rank: int, domains: Mapping[int, str]) -> int | None:
    members = members_of_relay(rank, domains)
    return members[0] if members else None


@pytest.mark.parametrize(("rank", "relay"), [case[1:] for case in RELAYS])
def test_the_first_rank_of_each_domain_is_its_relay(rank: int, relay: int | None) -> None:
    assert relay_of(rank, DOMAINS) == relay


@pytest.mark.parametrize("rank", range(32))
def test_small_groups_have_no_relays(rank: int) -> None:
    assert relay_of(rank, {r: DOMAINS[r] for r in range(32)}) is None


def test_a_large_domain_has_several_relays_of_equal_size() -> None:
    domains = {
        rank: "nbo-a" if rank < 39 else "nbo-b" if rank < 78 else "nbo-c" for rank in range(96)
    }
    behind = Counter(relay_of(rank, domains) for rank in range(96))
    assert behind == {None: 2, 2: 19, 21: 18, 39: 20, 59: 19, 78: 18}


def test_a_rank_of_an_unknown_domain_has_no_relay() -> None:
    assert relay_of(40, {**DOMAINS, 40: ""}) is None


class FakeRankPort(RankPort):
    """A rank that accepts every order."""

    def __init__(self, rank: int) -> None:
        self.rank = rank
        self.orders: list[MapOrder] = []

    def report(self) -> RankReport:
        prepared = self.orders[-1].version if self.orders else 0
        return RankReport("g", self.rank, RANKS, 1, True, 10, 0, prepared, None, 0)

    def counts(self) -> tuple[int, ...]:
        return ()

    def current_map(self) -> RankMap:
        return RankMap(0, ())

    def order(self, order: MapOrder) -> OrderOutcome:
        self.orders.append(order)
        return OrderOutcome.DONE


class FakeSession:
    """One end of a link that delivers messages synchronously."""

    closed = False

    def __init__(self, name: str) -> None:
        self.peer = name
        self.bytes = 0
        self.sent: list[Message] = []
        self.remote: object = None

    def send(self, message: Message) -> None:
        self.bytes += len(encode_batch([message]))
        self.sent.append(message)
        cast(_Receiver, self.remote).handle(message)


class _Receiver:
    """Passes messages to a handler."""

    def __init__(self, handle: Callable[[Message], None]) -> None:
        self.handle = handle


class FakeLinkServer:
    """A link server without a socket."""

    def __init__(self, *_args: object) -> None:
        pass

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass


class RelayedGroup:
    """An owner, its relays and the ranks behind them in one process."""

    def __init__(self) -> None:
        self.clock = ManualClock(start=10_000)
        self.ports = {rank: FakeRankPort(rank) for rank in range(RANKS)}
        self.clients = {rank: RankClient(port) for rank, port in self.ports.items()}
        self.owner = LinkedGroup(
            self.clients[0], self.ports[0].report(), self.clock, lambda _: None
        )
        self.links = {rank: self.make_link(rank) for rank in range(1, RANKS)}
        self.relays = {
            rank: self.make_relay(rank)
            for rank in range(2, RANKS)
            if relay_of(rank, DOMAINS) == rank
        }
        #: Sessions to and from the owner, or the relay, by rank.
        self.to_owner: dict[int, FakeSession] = {}
        self.from_owner: dict[int, FakeSession] = {}
        for rank in (1, *self.relays):
            self.link_with_owner(rank)
        for rank in range(2, RANKS):
            if rank not in self.relays:
                self.link_with_relay(rank, self.relays[cast(int, relay_of(rank, DOMAINS))])

    def make_link(self, rank: int) -> OwnerLink:
        def read_notes(_group: str) -> Mapping[int, RankNote]:
            return {}

        link = OwnerLink(
            f"side-{rank}",
            "i",
            self.clients[rank],
            LookupLimiter(self.clock),
            read_notes,
            lambda: cast(Relay, None),
            self.clock,
            cast("object", None),  # type: ignore[arg-type]
        )
        link._rank = rank
        return link

    def make_relay(self, rank: int) -> Relay:
        relay = Relay("10.0.0.1:1", b"k", f"side-{rank}", "i", self.clock)
        self.links[rank]._relay = relay
        return relay

    def link_with_owner(self, rank: int) -> None:
        to_owner, from_owner = FakeSession("side-0"), FakeSession(f"side-{rank}")
        to_owner.remote = _Receiver(
            lambda message: self.owner.on_message(cast(Session, from_owner), message)
        )
        from_owner.remote = _Receiver(
            lambda message: self.links[rank]._on_message(cast(Session, to_owner), message)
        )
        self.to_owner[rank], self.from_owner[rank] = to_owner, from_owner
        self.links[rank]._session = cast(Session, to_owner)

    def link_with_relay(self, rank: int, relay: Relay) -> None:
        to_owner, from_owner = FakeSession("relay"), FakeSession(f"side-{rank}")
        to_owner.remote = _Receiver(
            lambda message: relay.on_message(cast(Session, from_owner), message)
        )
        from_owner.remote = _Receiver(
            lambda message: self.links[rank]._on_message(cast(Session, to_owner), message)
        )
        self.to_owner[rank], self.from_owner[rank] = to_owner, from_owner

    def send_readings(self, counts: Mapping[int, list[int]]) -> None:
        """Send every rank's reading, and have each relay forward the sums."""
        for rank in range(1, RANKS):
            if rank not in self.relays:
                reading = to_reading(self.ports[rank].report(), counts.get(rank, []))
                self.to_owner[rank].send(reading)
        for rank, relay in self.relays.items():
            own = to_reading(self.ports[rank].report(), [])
            relay.send_readings(cast(Session, self.to_owner[rank]), own, counts.get(rank, []))


@pytest.fixture
def group(monkeypatch: pytest.MonkeyPatch) -> RelayedGroup:
    monkeypatch.setattr(relay_module, "LinkServer", FakeLinkServer)
    large = RelayedGroup()
    large.send_readings({})
    return large


def test_the_owner_reaches_all_ranks_over_six_links(group: RelayedGroup) -> None:
    assert group.owner.is_linked
    assert len(group.relays) + 1 == 6


def test_relays_sum_counts(group: RelayedGroup) -> None:
    counts = {rank: [rank % 7] * (LAYERS * EXPERTS) for rank in range(1, RANKS)}
    group.owner.take_counts()
    before = sum(group.to_owner[rank].bytes for rank in (1, *group.relays))
    group.send_readings(counts)
    after = sum(group.to_owner[rank].bytes for rank in (1, *group.relays))
    total = sum(rank % 7 for rank in range(1, RANKS))
    assert group.owner.take_counts() == pytest.approx([total] * (LAYERS * EXPERTS), rel=0.05)
    # Only statuses of 95 ranks and six sums are sent, no counts of single ranks.
    assert after - before < 20_000


def test_an_order_reaches_every_rank_once_and_each_answers(group: RelayedGroup) -> None:
    layers = tuple(
        tuple(tuple(e for e in range(EXPERTS) if e % RANKS == rank) for _ in range(LAYERS))
        for rank in range(RANKS)
    )
    order = MapOrder(MapOrderKind.PREPARE, 5, 1, 3, layers_by_rank=layers)
    before = sum(
        session.bytes for rank, session in group.from_owner.items() if rank in (1, *group.relays)
    )
    results = group.owner.send_orders(dict.fromkeys(range(RANKS), order), timeout=50)
    after = sum(
        session.bytes for rank, session in group.from_owner.items() if rank in (1, *group.relays)
    )
    assert {o.outcome for o in results.values()} == {OrderOutcome.DONE}
    assert {o.report.prepared for o in results.values() if o.report is not None} == {3}
    for port in group.ports.values():
        assert [received.version for received in port.orders] == [3]
        assert port.orders[0].layers_by_rank == layers
    # The map is sent over six links instead of 95.
    assert after - before < 12_000


def test_orders_of_one_domain_share_one_message(group: RelayedGroup) -> None:
    relay = next(iter(group.relays))
    group.from_owner[relay].sent.clear()
    group.owner.fetch_reports(timeout=50)
    sent = group.from_owner[relay].sent
    assert len(sent) == 1
    assert isinstance(sent[0], RankOrders)
    assert {DOMAINS[order.rank] for order in sent[0].orders} == {DOMAINS[relay]}


def test_a_relay_reports_a_lost_rank_to_the_owner(group: RelayedGroup) -> None:
    lost = 12
    relay = group.relays[cast(int, relay_of(lost, DOMAINS))]
    relay.on_closed(cast(Session, group.from_owner[lost]))
    assert not group.owner.is_linked
    results = group.owner.send_orders({lost: MapOrder(MapOrderKind.DISARM, 9, 1, 1)}, timeout=0)
    assert results[lost].outcome is OrderOutcome.UNKNOWN
    assert not group.ports[lost].orders


def test_a_rank_that_was_linked_otherwise_is_not_lost(group: RelayedGroup) -> None:
    lost = 12
    relay = group.relays[cast(int, relay_of(lost, DOMAINS))]
    group.link_with_owner(lost)
    group.to_owner[lost].send(to_reading(group.ports[lost].report(), []))
    relay.on_closed(cast(Session, group.from_owner[lost]))
    assert group.owner.is_linked


def test_a_relay_does_not_forward_orders_for_unlinked_ranks(group: RelayedGroup) -> None:
    relay = group.relays[2]
    assert not relay.forward_order(RankOrder(1, "read", 0, 1, rank=95))


@pytest.mark.parametrize(
    ("one", "other", "total"),
    [([], [], []), ([1], [], [1]), ([], [2], [2]), ([1, 2], [3, 4], [4, 6]), ([1], [3, 4], [3, 4])],
)
def test_add_counts(one: list[int], other: list[int], total: list[int]) -> None:
    assert add_counts(one, other) == total


def test_a_relayed_reading_keeps_the_ranks_status(group: RelayedGroup) -> None:
    said = group.ports[17].report()
    reading = group.owner._links[17].reading
    assert isinstance(reading, RankReading)
    assert (reading.rank, reading.epoch, reading.step) == (said.rank, said.epoch, said.step)
