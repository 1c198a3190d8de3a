"""Fake ranks run each step on one map, in any order of map changes."""

import random
import socket
import time
from collections.abc import Iterator
from typing import Any

import pytest

from fakes.launcher import wait_until
from fakes.ports import free_address
from fakes.rank import Popularity, Rank, steps_on_two_maps

RANKS = 3
EXPERTS = 6


@pytest.fixture
def group() -> Iterator[list[Rank]]:
    addresses = [free_address(socket.SOCK_DGRAM).rsplit(":", 1) for _ in range(RANKS)]
    peers = {i: (host, int(port)) for i, (host, port) in enumerate(addresses)}
    ranks = [
        Rank(i, peers, Popularity(1, EXPERTS, 1), True, base_us=200, token_us=1)
        for i in range(RANKS)
    ]
    for rank in ranks:
        rank.start()
    yield ranks
    for rank in ranks:
        rank.stopped = True


def order(action: str, number: int, members: list[int], step: int = 0, jump: bool = False) -> Any:
    replicas = [
        {"layer": 0, "expert": e, "rank": members[(e + number) % len(members)]}
        for e in range(EXPERTS)
    ]
    return {
        "action": action,
        "epoch": 1,
        "number": number,
        "step": step,
        "jump": jump,
        "ranks": members,
        "replicas": replicas,
    }


def install(ranks: list[Rank], number: int, members: list[int], halt: bool) -> None:
    answers = [ranks[r].order(order("prepare", number, members, jump=halt)) for r in members]
    step = max(a["step"] for a in answers) + (1 if halt else 10)
    for member in members:
        ranks[member].order(order("activate", number, members, step, halt))


def progress(rank: Rank, steps: int) -> None:
    goal = rank.step + steps
    wait_until(lambda: rank.step >= goal, f"{steps} more steps", 10)


def test_maps_change_at_one_step_for_all(group: list[Rank]) -> None:
    install(group, 1, [0, 1, 2], halt=False)
    for number in range(2, 6):
        progress(group[0], 15)
        install(group, number, [0, 1, 2], halt=number % 2 == 0)
    progress(group[0], 20)
    ledgers = [rank.ledger for rank in group]
    assert not steps_on_two_maps(ledgers)
    assert {run[3] for run in ledgers[0]} == {1, 2, 3, 4, 5}


def test_excluded_rank_stops_while_the_others_continue(group: list[Rank]) -> None:
    install(group, 1, [0, 1, 2], halt=False)
    progress(group[0], 10)
    install(group, 2, [0, 1], halt=True)
    progress(group[0], 20)
    stuck = group[2].step
    progress(group[0], 20)
    assert group[2].step == stuck
    assert not steps_on_two_maps([rank.ledger for rank in group])


def test_rank_without_the_map_blocks_the_others(group: list[Rank]) -> None:
    install(group, 1, [0, 1, 2], halt=False)
    progress(group[0], 5)
    for member in (0, 1, 2):
        group[member].order(order("prepare", 2, [0, 1, 2]))
    step = group[0].step + 10
    for member in (0, 1):
        group[member].order(order("activate", 2, [0, 1, 2], step))
    wait_until(lambda: group[0].step == step, "the step of the change", 10)
    time.sleep(0.1)  # enough for about twenty steps if the ranks were not blocked
    assert group[0].step == step
    group[2].order(order("activate", 2, [0, 1, 2], step))
    progress(group[0], 10)
    assert not steps_on_two_maps([rank.ledger for rank in group])


def test_ledger_check_finds_mixed_maps() -> None:
    assert steps_on_two_maps([[[0, 9, 1, 1], [10, 20, 1, 2]], [[0, 10, 1, 1]]]) == [10]
    assert not steps_on_two_maps([[[0, 9, 1, 1], [10, 20, 1, 2]], [[0, 9, 1, 1]]])


def test_popularity_is_the_same_on_all_ranks() -> None:
    step = random.Random(1).randrange(1_000)
    assert Popularity(1, 8, 3).counts(0, step) == Popularity(1, 8, 3).counts(0, step)
