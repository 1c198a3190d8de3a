"""A rank group reached directly at its engines, without the rank processes.

The platform charges for reports and orders from other hosts. This is used only when the owner, and
with it the links to the rank processes, is unavailable.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator, Mapping
from typing import Final, TypeVar

from canvasyoke.experts._group import OrderResult, RankGroup
from canvasyoke.experts._rank_client import RankClient
from canvasyoke.experts._rank_port import MapOrder, OrderOutcome, RankReport

ResultT = TypeVar("ResultT")
#: Milliseconds within which an engine's reports to other hosts reflect a change. The platform
#: states some hundred milliseconds; its deployments have 200.
ENGINE_REPORT_LAG: Final = 500
#: Maximum number of concurrent calls. This bounds the memory for threads in large groups. An
#: unanswered call takes 80 ms, so 96 lost ranks take a third of a second. A thread for each of them
#: took a third of the memory that the process may use.
_MAX_THREADS: Final = 24


class DirectGroup(RankGroup):
    """One group; ranks are called concurrently."""

    def __init__(self, clients: Mapping[int, RankClient], own_rank: int) -> None:
        self._clients = clients
        self.own_rank = own_rank

    @property
    def size(self) -> int:
        """Return the number of ranks."""
        return len(self._clients)

    @property
    def report_lag(self) -> int:
        """Return the milliseconds by which reports may lag behind executed orders."""
        return ENGINE_REPORT_LAG

    def send_orders(
        self, orders: Mapping[int, MapOrder], timeout: int
    ) -> Mapping[int, OrderResult]:
        """Send each rank its order; the adapter's timeout applies instead of ``timeout``."""
        results = self._call_each(orders, lambda rank, client: client.order(orders[rank]))
        return {rank: results.get(rank, OrderResult(OrderOutcome.UNKNOWN)) for rank in orders}

    def fetch_reports(self, timeout: int) -> Mapping[int, RankReport]:
        """Return the reports of the ranks that answer."""
        reports = self._call_each(self._clients, lambda _rank, client: client.report())
        return {rank: report for rank, report in reports.items() if report is not None}

    def own_report(self) -> RankReport | None:
        """Return the report of the rank beside this process."""
        return self._clients[self.own_rank].report()

    def expert_count(self) -> int:
        """Return the number of experts in each layer; 0 if the own rank does not answer."""
        return self._clients[self.own_rank].expert_count()

    def _call_each(
        self, ranks: Mapping[int, object], call: Callable[[int, RankClient], ResultT]
    ) -> dict[int, ResultT]:
        """Return the results of ``call`` for each rank, up to ``_MAX_THREADS`` at a time."""
        results: dict[int, ResultT] = {}

        def call_rank(rank: int) -> None:
            results[rank] = call(rank, self._clients[rank])

        pending = iter(list(ranks))
        lock = threading.Lock()

        def worker() -> None:
            while (rank := _next_rank(pending, lock)) is not None:
                call_rank(rank)

        count = min(_MAX_THREADS, len(ranks))
        threads = [threading.Thread(target=worker, daemon=True) for _ in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results


def _next_rank(ranks: Iterator[int], lock: threading.Lock) -> int | None:
    """Return the next rank, or ``None`` if there are no more."""
    with lock:
        return next(ranks, None)
