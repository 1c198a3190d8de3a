"""Changing one layer of an expert map, a copy at a time, away from the slowest rank."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Final, TypeAlias

#: Ranks that hold each expert of one layer.
Layer: TypeAlias = tuple[tuple[int, ...], ...]
#: Least loaded ranks looked at as places for a copy.
_PLACES: Final = 4
#: Least loaded ranks with which an exchange of experts is looked at: it takes two copies,
#: and looking at four ranks took 40 in 100 of the planner's time for no better maps.
_SWAPS: Final = 2
#: Most loaded experts of a rank looked at for a change.
_EXPERTS: Final = 4


@dataclass(frozen=True, slots=True)
class PlanPolicy:
    """What an operator weighs skew and moves at."""

    #: Skew (slowest rank over mean rank) under which a layer is left alone.
    enough: float
    #: Skew that one copy moved must save.
    price: float
    #: Copies moved in one plan at the most.
    budget: int
    #: Part of the skew expected by chance that is not acted on.
    doubt: float


def rank_loads(
    layer: Sequence[Sequence[int]], weights: Sequence[float], ranks: Sequence[int]
) -> dict[int, float]:
    """Return the tokens that each rank has to work on."""
    loads = dict.fromkeys(ranks, 0.0)
    for holders, weight in zip(layer, weights, strict=True):
        for rank in holders:
            loads[rank] += weight / len(holders)
    return loads


def layer_skew(
    layer: Sequence[Sequence[int]], weights: Sequence[float], ranks: Sequence[int]
) -> float:
    alive = set(ranks)
    kept = [tuple(r for r in holders if r in alive) for holders in layer]
    if not all(kept):
        return float("inf")
    total = sum(weights)
    return max(rank_loads(kept, weights, ranks).values()) * len(ranks) / total if total else 1.0


def chance_skew(mean: float, ranks: int) -> float:
    """Return the skew above 1 that counts of ``mean`` a rank have by chance alone.

    The highest of so many ranks lies about sqrt(2 ln n) deviations above the mean.
    """
    return math.sqrt(2 * math.log(max(2, ranks)) / max(1.0, mean))


@dataclass(frozen=True, slots=True)
class LayerChange:
    """One copy added to ``rank``, perhaps in place of copies elsewhere."""

    #: Highest load of the ranks concerned after the change.
    peak: float
    copies: int
    #: Pairs of expert and its new holders.
    holders: tuple[tuple[int, frozenset[int]], ...]


@dataclass(frozen=True, slots=True)
class _Option:
    """A change that has not been worked out in full."""

    #: The two ranks' higher load after it; no less than this is the peak.
    least_peak: float
    #: Copies to be made.
    copies: int
    #: Expert of which the slowest rank is relieved.
    expert: int
    #: Whether the slowest rank gives up its copy, and does not just share the load.
    moves: bool = False
    #: Expert whose copy makes room at the other rank.
    freed: int | None = None
    #: Expert of the other rank that the slowest one takes in exchange.
    swapped: int | None = None


class LayerPlan:
    """One layer of a map while it is being changed."""

    def __init__(
        self,
        layer: Sequence[Sequence[int]],
        weights: Sequence[float],
        ranks: Sequence[int],
        capacity: int,
        paces: Mapping[int, float] | None = None,
    ) -> None:
        """``paces`` has the ranks that take longer for the same work, and how many times."""
        alive = set(ranks)
        self._paces = dict.fromkeys(ranks, 1.0) | dict(paces or {})
        self._holders = [frozenset(h) & alive for h in layer]
        self._weights = weights
        self._ranks = ranks
        self._capacity = capacity
        self._total = sum(weights)
        self._experts: dict[int, set[int]] = {rank: set() for rank in ranks}
        self._loads = dict.fromkeys(ranks, 0.0)
        #: Experts with more than one copy.
        self._doubled = {e for e, holders in enumerate(self._holders) if len(holders) > 1}
        for expert, holders in enumerate(self._holders):
            for rank in holders:
                self._experts[rank].add(expert)
                self._loads[rank] += self._paces[rank] * weights[expert] / len(holders)

    def result(self) -> Layer:
        """Return the layer as it stands."""
        return tuple(tuple(sorted(holders)) for holders in self._holders)

    def rescue(self) -> None:
        """Place every expert that has lost its last copy."""
        lost = [e for e, holders in enumerate(self._holders) if not holders]
        for expert in sorted(lost, key=lambda e: -self._weights[e]):
            self._make_room()
            open_ranks = [r for r in self._ranks if len(self._experts[r]) < self._capacity]
            rank = min(open_ranks, key=lambda r: (self._loads[r], r))
            self._set_holders(expert, frozenset({rank}))

    def _make_room(self) -> None:
        """Let go of the least useful second copy when every rank is full."""
        if any(len(held) < self._capacity for held in self._experts.values()):
            return
        doubled = [e for e, holders in enumerate(self._holders) if len(holders) > 1]
        expert = min(doubled, key=lambda e: self._weights[e] / len(self._holders[e]))
        busiest = max(self._holders[expert], key=lambda r: self._loads[r])
        self._set_holders(expert, self._holders[expert] - {busiest})

    def improve(self, policy: PlanPolicy, budget: int) -> int:
        """Change copies while it pays; return the number of copies moved."""
        moved = 0
        if not self._total:
            return moved
        mean = self._total / len(self._ranks)
        enough = max(policy.enough, 1 + policy.doubt * chance_skew(mean, len(self._ranks)))
        while moved < budget:
            slowest = max(self._ranks, key=lambda r: self._loads[r])
            peak = self._loads[slowest]
            if peak / mean <= enough:
                break
            change = self._best_change(slowest, peak)
            if change is None or (peak - change.peak) / mean < policy.price * change.copies:
                break
            self.apply(change)
            moved += change.copies
        return moved

    @property
    def peak(self) -> float:
        """Return the load of the most loaded rank."""
        return max(self._loads.values())

    def new_copies(self, change: LayerChange) -> list[int]:
        """Return the ranks that have to copy an expert for ``change``, once for each."""
        return [
            rank for expert, holders in change.holders for rank in holders - self._holders[expert]
        ]

    def next_change(self, closed: frozenset[int]) -> LayerChange | None:
        """Return the change that relieves the slowest rank most, without new copies on
        the ranks in ``closed``."""
        slowest = max(self._ranks, key=lambda r: self._loads[r])
        return self._best_change(slowest, self._loads[slowest], closed)

    def apply(self, change: LayerChange) -> None:
        """Carry out a change."""
        for expert, holders in change.holders:
            self._set_holders(expert, holders)

    def _set_holders(self, expert: int, holders: frozenset[int]) -> None:
        for rank in self._holders[expert]:
            self._loads[rank] -= self._paces[rank] * self._share(expert)
            self._experts[rank].discard(expert)
        for rank in holders:
            self._loads[rank] += self._paces[rank] * self._weights[expert] / len(holders)
            self._experts[rank].add(expert)
        self._holders[expert] = holders
        if len(holders) > 1:
            self._doubled.add(expert)
        else:
            self._doubled.discard(expert)

    def _best_change(
        self, slowest: int, peak: float, closed: frozenset[int] = frozenset()
    ) -> LayerChange | None:
        """Return the change that gains most for each copy; ``None`` when none gains.

        Only changes that may gain more than the best one so far are worked out in full. In
        a group of 63 ranks with 8 layers of 252 experts that and the kept set of experts
        with second copies took a plan from 200 to 250 ms of a processor to 40 to 70.
        """
        emptiest = heapq.nsmallest(_PLACES, self._ranks, key=self._loads.__getitem__)
        heavy = heapq.nlargest(_EXPERTS, sorted(self._experts[slowest]), key=self._share)
        places = list(dict.fromkeys([*emptiest, *self._spare_places()]))
        best: LayerChange | None = None
        best_gain = 0.0
        for expert in heavy:
            for place in places:
                if place == slowest or place in closed or expert in self._experts[place]:
                    continue
                with_swap = place in emptiest[:_SWAPS] and slowest not in closed
                for option in self._options(expert, slowest, place, with_swap):
                    if (peak - option.least_peak) / option.copies <= best_gain:
                        continue
                    change = self._evaluate(option, slowest, place)
                    gain = (peak - change.peak) / change.copies
                    if gain > best_gain:
                        best, best_gain = change, gain
        return best

    def _spare_places(self) -> list[int]:
        """Return ranks that hold a second copy which is worth little.

        When all ranks are full, room for a hot expert is made where the load that
        falls back on other copies is least, not where the load is least now.
        """
        least = heapq.nsmallest(_PLACES, sorted(self._doubled), key=self._worth_of_copy)
        return [min(self._holders[e], key=self._loads.__getitem__) for e in least]

    def _share(self, expert: int) -> float:
        return self._weights[expert] / len(self._holders[expert])

    def _worth_of_copy(self, expert: int) -> float:
        """Return the load that falls back on each other copy when one is dropped."""
        return self._share(expert) / (len(self._holders[expert]) - 1)

    def _options(self, expert: int, slowest: int, place: int, with_swap: bool) -> Iterator[_Option]:
        """Yield the ways to relieve ``slowest`` of ``expert`` at ``place``."""
        if len(self._experts[place]) < self._capacity:
            yield from self._copy_or_move(expert, slowest, place)
        else:
            doubled = self._experts[place] & self._doubled
            if doubled:
                least = min(sorted(doubled), key=self._worth_of_copy)
                yield from self._copy_or_move(expert, slowest, place, least)
        if with_swap:
            light = self._counterpart(expert, slowest, place)
            if light is not None:
                moved = self._share(expert) - self._share(light)
                relieved = self._loads[slowest] - self._paces[slowest] * moved
                floor = max(relieved, self._loads[place] + self._paces[place] * moved)
                yield _Option(floor, 2, expert, moves=True, swapped=light)

    def _copy_or_move(
        self, expert: int, slowest: int, place: int, freed: int | None = None
    ) -> Iterator[_Option]:
        """Yield a second copy of ``expert`` at ``place``, and its move there.

        ``freed`` is the expert whose copy at ``place`` makes room.
        """
        share = self._share(expert)
        thinned = self._weights[expert] / (len(self._holders[expert]) + 1)
        pace, place_pace = self._paces[slowest], self._paces[place]
        room = self._loads[place]
        if freed is not None:
            room -= place_pace * self._share(freed)
        relieved = self._loads[slowest] - pace * share
        shared = max(relieved + pace * thinned, room + place_pace * thinned)
        yield _Option(shared, 1, expert, freed=freed)
        moved = max(relieved, room + place_pace * share)
        yield _Option(moved, 1, expert, moves=True, freed=freed)

    def _counterpart(self, expert: int, slowest: int, place: int) -> int | None:
        """Return that expert of ``place`` which evens the two best in exchange."""
        surplus = self._loads[slowest] - self._loads[place]
        surplus /= self._paces[slowest] + self._paces[place]
        wanted_share = self._share(expert) - surplus
        candidates = sorted(self._experts[place] - self._experts[slowest])
        if not candidates:
            return None
        return min(candidates, key=lambda e: abs(self._share(e) - wanted_share))

    def _evaluate(self, option: _Option, slowest: int, place: int) -> LayerChange:
        """Work out a change and the load of all ranks that it concerns."""
        holders = self._holders[option.expert]
        kept = holders - {slowest} if option.moves else holders
        wanted = [(option.expert, kept | {place})]
        if option.freed is not None:
            wanted.insert(0, (option.freed, self._holders[option.freed] - {place}))
        if option.swapped is not None:
            back = (self._holders[option.swapped] - {place}) | {slowest}
            wanted.append((option.swapped, back))
        delta: dict[int, float] = {slowest: 0.0, place: 0.0}
        for expert, new in wanted:
            old = self._holders[expert]
            for rank in old:
                delta[rank] = delta.get(rank, 0.0) - self._weights[expert] / len(old)
            for rank in new:
                delta[rank] = delta.get(rank, 0.0) + self._weights[expert] / len(new)
        peak = max(self._loads[r] + self._paces[r] * change for r, change in delta.items())
        return LayerChange(peak, option.copies, tuple(wanted))
