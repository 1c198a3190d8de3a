"""Rebalance one layer of an expert map, one copy at a time."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Final, TypeAlias

#: Ranks that hold each expert of one layer.
Layer: TypeAlias = tuple[tuple[int, ...], ...]
#: Least loaded ranks considered as destinations for a copy.
_MAX_DESTINATIONS: Final = 4
#: Least loaded ranks considered for swaps, which take two copies each. Four took 40% of the
#: planner's time for no better maps.
_MAX_SWAP_DESTINATIONS: Final = 2
#: Most loaded experts of the slowest rank considered for a change.
_MAX_SOURCE_EXPERTS: Final = 4


@dataclass(frozen=True, slots=True)
class PlanPolicy:
    """How a planner trades skew against copies."""

    #: Skew (slowest rank over mean rank) below which a layer is left unchanged.
    acceptable_skew: float
    #: Minimum reduction of skew for each copy.
    min_gain_per_copy: float
    #: Maximum number of copies in one plan.
    max_copies: int
    #: Fraction of the skew expected from sampling noise that is ignored.
    noise_factor: float


def rank_loads(
    layer: Sequence[Sequence[int]], weights: Sequence[float], ranks: Sequence[int]
) -> dict[int, float]:
    """Return the expected number of tokens for each rank."""
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


def expected_noise_skew(mean: float, ranks: int) -> float:
    """Return the skew above 1 expected from sampling noise at ``mean`` tokens per rank.

    The expected maximum of n samples is about sqrt(2 ln n) deviations above the mean.
    """
    return math.sqrt(2 * math.log(max(2, ranks)) / max(1.0, mean))


@dataclass(frozen=True, slots=True)
class LayerChange:
    """Copies to add and remove in one layer."""

    #: Highest load among the affected ranks after the change.
    peak: float
    copies: int
    #: Pairs of an expert and its new holders.
    holders: tuple[tuple[int, frozenset[int]], ...]


@dataclass(frozen=True, slots=True)
class _Option:
    """A possible change whose exact peak has not been computed."""

    #: Higher load of source and destination after the change.
    peak_lower_bound: float
    #: Number of copies needed.
    copies: int
    #: Expert to copy or move away from the slowest rank.
    expert: int
    #: Whether the slowest rank drops its copy.
    is_move: bool = False
    #: Expert whose copy at the destination is removed to free capacity.
    evicted: int | None = None
    #: Expert of the destination that moves to the slowest rank in exchange.
    swapped: int | None = None


class LayerPlan:
    """Mutable state of one layer during planning."""

    def __init__(
        self,
        layer: Sequence[Sequence[int]],
        weights: Sequence[float],
        ranks: Sequence[int],
        capacity: int,
        slowdowns: Mapping[int, float] | None = None,
    ) -> None:
        """Initialise; ``slowdowns`` maps slow ranks to their relative processing time."""
        alive = set(ranks)
        self._slowdowns = dict.fromkeys(ranks, 1.0) | dict(slowdowns or {})
        self._holders = [frozenset(h) & alive for h in layer]
        self._weights = weights
        self._ranks = ranks
        self._capacity = capacity
        self._total = sum(weights)
        self._experts: dict[int, set[int]] = {rank: set() for rank in ranks}
        self._loads = dict.fromkeys(ranks, 0.0)
        #: Experts with more than one copy.
        self._replicated = {e for e, holders in enumerate(self._holders) if len(holders) > 1}
        for expert, holders in enumerate(self._holders):
            for rank in holders:
                self._experts[rank].add(expert)
                self._loads[rank] += self._slowdowns[rank] * weights[expert] / len(holders)

    def result(self) -> Layer:
        """Return the planned layer."""
        return tuple(tuple(sorted(holders)) for holders in self._holders)

    def restore_lost_experts(self) -> None:
        """Assign a rank to every expert without a copy."""
        lost = [e for e, holders in enumerate(self._holders) if not holders]
        for expert in sorted(lost, key=lambda e: -self._weights[e]):
            self._free_capacity()
            open_ranks = [r for r in self._ranks if len(self._experts[r]) < self._capacity]
            rank = min(open_ranks, key=lambda r: (self._loads[r], r))
            self._set_holders(expert, frozenset({rank}))

    def _free_capacity(self) -> None:
        """If every rank is full, remove the replica that carries the least load."""
        if any(len(held) < self._capacity for held in self._experts.values()):
            return
        replicated = [e for e, holders in enumerate(self._holders) if len(holders) > 1]
        expert = min(replicated, key=lambda e: self._weights[e] / len(self._holders[e]))
        most_loaded = max(self._holders[expert], key=lambda r: self._loads[r])
        self._set_holders(expert, self._holders[expert] - {most_loaded})

    def improve(self, policy: PlanPolicy, budget: int) -> int:
        """Apply changes while each gains enough; return the number of copies."""
        moved = 0
        if not self._total:
            return moved
        mean = self._total / len(self._ranks)
        skew_limit = max(
            policy.acceptable_skew,
            1 + policy.noise_factor * expected_noise_skew(mean, len(self._ranks)),
        )
        while moved < budget:
            slowest = max(self._ranks, key=lambda r: self._loads[r])
            peak = self._loads[slowest]
            if peak / mean <= skew_limit:
                break
            change = self._best_change(slowest, peak)
            if (
                change is None
                or (peak - change.peak) / mean < policy.min_gain_per_copy * change.copies
            ):
                break
            self.apply(change)
            moved += change.copies
        return moved

    @property
    def peak(self) -> float:
        """Return the load of the most loaded rank."""
        return max(self._loads.values())

    def copying_ranks(self, change: LayerChange) -> list[int]:
        """Return the rank of each copy that ``change`` needs, repeated as needed."""
        return [
            rank for expert, holders in change.holders for rank in holders - self._holders[expert]
        ]

    def next_change(self, excluded: frozenset[int]) -> LayerChange | None:
        """Return the best change for the slowest rank without new copies on ``excluded``."""
        slowest = max(self._ranks, key=lambda r: self._loads[r])
        return self._best_change(slowest, self._loads[slowest], excluded)

    def apply(self, change: LayerChange) -> None:
        """Apply a change."""
        for expert, holders in change.holders:
            self._set_holders(expert, holders)

    def _set_holders(self, expert: int, holders: frozenset[int]) -> None:
        for rank in self._holders[expert]:
            self._loads[rank] -= self._slowdowns[rank] * self._load_per_copy(expert)
            self._experts[rank].discard(expert)
        for rank in holders:
            self._loads[rank] += self._slowdowns[rank] * self._weights[expert] / len(holders)
            self._experts[rank].add(expert)
        self._holders[expert] = holders
        if len(holders) > 1:
            self._replicated.add(expert)
        else:
            self._replicated.discard(expert)

    def _best_change(
        self, slowest: int, peak: float, excluded: frozenset[int] = frozenset()
    ) -> LayerChange | None:
        """Return the change with the highest gain per copy, or None if none gains.

        Options whose lower bound cannot beat the best gain so far are not evaluated.
        """
        least_loaded = heapq.nsmallest(_MAX_DESTINATIONS, self._ranks, key=self._loads.__getitem__)
        heaviest = heapq.nlargest(
            _MAX_SOURCE_EXPERTS, sorted(self._experts[slowest]), key=self._load_per_copy
        )
        destinations = list(dict.fromkeys([*least_loaded, *self._replica_destinations()]))
        best: LayerChange | None = None
        best_gain = 0.0
        for expert in heaviest:
            for destination in destinations:
                if (
                    destination == slowest
                    or destination in excluded
                    or expert in self._experts[destination]
                ):
                    continue
                allow_swap = (
                    destination in least_loaded[:_MAX_SWAP_DESTINATIONS] and slowest not in excluded
                )
                for option in self._options(expert, slowest, destination, allow_swap):
                    if (peak - option.peak_lower_bound) / option.copies <= best_gain:
                        continue
                    change = self._evaluate(option, slowest, destination)
                    gain = (peak - change.peak) / change.copies
                    if gain > best_gain:
                        best, best_gain = change, gain
        return best

    def _replica_destinations(self) -> list[int]:
        """Return ranks with a replica that is cheap to remove.

        When all ranks are full, capacity is freed where removing a replica adds the least load
        to its other holders.
        """
        least = heapq.nsmallest(_MAX_DESTINATIONS, sorted(self._replicated), key=self._removal_cost)
        return [min(self._holders[e], key=self._loads.__getitem__) for e in least]

    def _load_per_copy(self, expert: int) -> float:
        return self._weights[expert] / len(self._holders[expert])

    def _removal_cost(self, expert: int) -> float:
        """Return the load added to each other copy if one is removed."""
        return self._load_per_copy(expert) / (len(self._holders[expert]) - 1)

    def _options(
        self, expert: int, slowest: int, destination: int, allow_swap: bool
    ) -> Iterator[_Option]:
        """Yield the changes that take load of ``expert`` from ``slowest`` to ``destination``."""
        if len(self._experts[destination]) < self._capacity:
            yield from self._copy_or_move(expert, slowest, destination)
        else:
            replicated = self._experts[destination] & self._replicated
            if replicated:
                least = min(sorted(replicated), key=self._removal_cost)
                yield from self._copy_or_move(expert, slowest, destination, least)
        if allow_swap:
            partner = self._swap_partner(expert, slowest, destination)
            if partner is not None:
                moved = self._load_per_copy(expert) - self._load_per_copy(partner)
                source_load = self._loads[slowest] - self._slowdowns[slowest] * moved
                lower_bound = max(
                    source_load, self._loads[destination] + self._slowdowns[destination] * moved
                )
                yield _Option(lower_bound, 2, expert, is_move=True, swapped=partner)

    def _copy_or_move(
        self, expert: int, slowest: int, destination: int, evicted: int | None = None
    ) -> Iterator[_Option]:
        """Yield a replication of ``expert`` to ``destination``, and its move there.

        ``evicted`` is the expert whose copy at ``destination`` is removed to free capacity.
        """
        share = self._load_per_copy(expert)
        share_after_copy = self._weights[expert] / (len(self._holders[expert]) + 1)
        source_slowdown, destination_slowdown = (
            self._slowdowns[slowest],
            self._slowdowns[destination],
        )
        destination_load = self._loads[destination]
        if evicted is not None:
            destination_load -= destination_slowdown * self._load_per_copy(evicted)
        source_load = self._loads[slowest] - source_slowdown * share
        peak_after_copy = max(
            source_load + source_slowdown * share_after_copy,
            destination_load + destination_slowdown * share_after_copy,
        )
        yield _Option(peak_after_copy, 1, expert, evicted=evicted)
        peak_after_move = max(source_load, destination_load + destination_slowdown * share)
        yield _Option(peak_after_move, 1, expert, is_move=True, evicted=evicted)

    def _swap_partner(self, expert: int, slowest: int, destination: int) -> int | None:
        """Return the expert of ``destination`` whose exchange balances both ranks best."""
        surplus = self._loads[slowest] - self._loads[destination]
        surplus /= self._slowdowns[slowest] + self._slowdowns[destination]
        wanted_share = self._load_per_copy(expert) - surplus
        candidates = sorted(self._experts[destination] - self._experts[slowest])
        if not candidates:
            return None
        return min(candidates, key=lambda e: abs(self._load_per_copy(e) - wanted_share))

    def _evaluate(self, option: _Option, slowest: int, destination: int) -> LayerChange:
        """Return the change for ``option`` with the exact peak of all affected ranks."""
        holders = self._holders[option.expert]
        kept = holders - {slowest} if option.is_move else holders
        changes = [(option.expert, kept | {destination})]
        if option.evicted is not None:
            changes.insert(0, (option.evicted, self._holders[option.evicted] - {destination}))
        if option.swapped is not None:
            back = (self._holders[option.swapped] - {destination}) | {slowest}
            changes.append((option.swapped, back))
        delta: dict[int, float] = {slowest: 0.0, destination: 0.0}
        for expert, new in changes:
            old = self._holders[expert]
            for rank in old:
                delta[rank] = delta.get(rank, 0.0) - self._weights[expert] / len(old)
            for rank in new:
                delta[rank] = delta.get(rank, 0.0) + self._weights[expert] / len(new)
        peak = max(self._loads[r] + self._slowdowns[r] * change for r, change in delta.items())
        return LayerChange(peak, option.copies, tuple(changes))
