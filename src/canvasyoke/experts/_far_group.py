"""The ranks of a group reached at their engines, without the processes beside them.

The platform prices reports and orders that come from another machine, so this serves
only where the links of the owner are no help: when the owner itself has fallen silent.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator, Mapping
from typing import Final, TypeVar

from canvasyoke.experts._group import Ordered, RankGroup
from canvasyoke.experts._member import RankMember
from canvasyoke.experts._rank_port import MapOrder, OrderOutcome, RankReport

ResultT = TypeVar("ResultT")
#: Milliseconds after which an engine tells other machines of a change. The platform's
#: pages say some hundred; its sites have 200.
_REPORT_LAG: Final = 500
#: Ranks called at the same time. Each call that is not answered takes 80 ms, so that 96
#: lost ones take a third of a second; a task for each of them was a third of the memory
#: that the process beside a rank may have.
_TASKS: Final = 24


class FarGroup(RankGroup):
    """One group; ranks are asked and ordered side by side."""

    def __init__(self, members: Mapping[int, RankMember], own_rank: int) -> None:
        self._members = members
        self._own_rank = own_rank

    @property
    def size(self) -> int:
        """Return the number of ranks."""
        return len(self._members)

    @property
    def report_lag(self) -> int:
        """Return the milliseconds by which reports may lag behind what orders did."""
        return _REPORT_LAG

    def give(self, orders: Mapping[int, MapOrder], timeout: int) -> Mapping[int, Ordered]:
        """Give each rank its order; the adapter's own limit of time holds."""
        given = self._on_each(orders, lambda rank, member: member.order(orders[rank]))
        return {rank: given.get(rank, Ordered(OrderOutcome.UNKNOWN)) for rank in orders}

    def ask(self, timeout: int) -> Mapping[int, RankReport]:
        """Return the reports of those ranks that answer."""
        reports = self._on_each(self._members, lambda _rank, member: member.report())
        return {rank: report for rank, report in reports.items() if report is not None}

    def own_report(self) -> RankReport | None:
        """Return the report of the rank beside this process."""
        return self._members[self._own_rank].report()

    def _on_each(
        self, ranks: Mapping[int, object], call: Callable[[int, RankMember], ResultT]
    ) -> dict[int, ResultT]:
        """Return what ``call`` gives for each rank, many called at the same time."""
        results: dict[int, ResultT] = {}

        def run(rank: int) -> None:
            results[rank] = call(rank, self._members[rank])

        waiting = iter(list(ranks))
        lock = threading.Lock()

        def run_all() -> None:
            while (rank := _next_of(waiting, lock)) is not None:
                run(rank)

        count = min(_TASKS, len(ranks))
        tasks = [threading.Thread(target=run_all, daemon=True) for _ in range(count)]
        for task in tasks:
            task.start()
        for task in tasks:
            task.join()
        return results


def _next_of(ranks: Iterator[int], lock: threading.Lock) -> int | None:
    """Return the next rank; ``None`` when there is none left."""
    with lock:
        return next(ranks, None)
