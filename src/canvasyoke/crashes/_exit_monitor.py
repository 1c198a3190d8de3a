"""Finds out which failed exchanges were caused by the exit of their backend.

A process does not end at one moment: its connections may close before its port does, and a
supervisor may keep the port open until the next run takes it over. The probe right after a failure
then finds a backend that listens. The cause of such a failure stays open until evidence decides it:

- the port refuses a later probe or the connection of another request, or another run takes the
  address: the run has ended, and its end counts against the requests that it was running;
- the run answers a request that was sent after the failure, or announces that it leaves: it does
  not count.

No request waits for this. A probe only opens a connection.
"""

from __future__ import annotations

import enum
import threading
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.crashes._crash_detector import BackendLiveness, CrashDetector
from canvasyoke.crashes._quarantine import Quarantine
from canvasyoke.crashes._runs import BrokenExchange, CrashMetrics, RunChange, RunDirectory
from canvasyoke.observe import part_logger
from canvasyoke.state import Endpoint
from canvasyoke.transport import ProbeResult, probe_address

_log = part_logger("breaks")
#: Milliseconds after a failure at which its backend is probed again.
_PROBE_DELAYS: Final = (50, 250, 800, 1_600, 3_200)
#: Connect timeout of a probe in milliseconds.
_PROBE_TIMEOUT: Final = 30
#: Maximum number of probes within an interval in milliseconds. A rank group that breaks loses the
#: connections of all its ranks, and its engines accept few connections.
_PROBE_BATCH: Final = 8
_PROBE_INTERVAL: Final = 50
#: Milliseconds after which the cause of a failure stays unknown. Covers the expiry of a store entry
#: and the start of the next run.
_MAX_OPEN_TIME: Final = 10 * SECOND
#: Maximum number of runs with open failures, and of traits for each. The oldest runs are dropped
#: first.
_MAX_RUNS: Final = 1_000
_MAX_TRAITS: Final = 4_000


class ExitEvidence(enum.StrEnum):
    """What showed that a run has ended, after its port still listened."""

    #: Its port refused a later probe.
    PROBE = "probe"
    #: Its port refused the connection of a request.
    REQUEST = "request"
    #: Another run answered at its address, or is listed there.
    ADDRESS_TAKEN = "address taken"


@dataclass(slots=True)
class _OpenFailure:
    """Failed exchanges with one run whose cause is not known yet."""

    endpoint: Endpoint
    #: Clock time of the first of them.
    failed_at: int
    #: Traits of the requests.
    traits: set[str] = field(default_factory=set)
    #: Number of probes since the one right after the failure.
    probes: int = 0
    #: Whether a removal from the list calls for a probe at once.
    is_probe_due: bool = False
    #: Whether its port was still open after its entry was removed. It may then be leaving without
    #: an announcement, so that a closed port is no evidence any more.
    has_outlived_entry: bool = False

    @property
    def expires_at(self) -> int:
        """Return the clock time at which its cause stays unknown."""
        return self.failed_at + _MAX_OPEN_TIME

    @property
    def next_probe_at(self) -> int | None:
        """Return the clock time of the next probe; ``None`` for none."""
        if self.is_probe_due:
            return self.failed_at
        if self.has_outlived_entry or self.probes >= len(_PROBE_DELAYS):
            return None
        return self.failed_at + _PROBE_DELAYS[self.probes]


class ExitMonitor:
    """Attributes exits of backends to the requests that they were running; thread-safe."""

    def __init__(
        self,
        crash_detector: CrashDetector,
        runs: RunDirectory,
        quarantine: Quarantine,
        metrics: CrashMetrics,
        clock: Clock,
        probe_port: Callable[[str, int], ProbeResult] = probe_address,
    ) -> None:
        self._crash_detector = crash_detector
        self._runs = runs
        self._quarantine = quarantine
        self._metrics = metrics
        self._clock = clock
        self._probe_port = probe_port
        self._condition = threading.Condition()
        #: Open failures by run, oldest first.
        self._open: OrderedDict[str, _OpenFailure] = OrderedDict()
        #: Runs that have ended, with the clock time of their end, oldest first. Other exchanges
        #: with them may be found broken after the next run has taken the port.
        self._ended: OrderedDict[str, int] = OrderedDict()
        #: Clock time from which on further probes are allowed.
        self._next_batch_at = 0
        #: Changes of listed runs that the monitor has not processed yet.
        self._run_changes: deque[tuple[Endpoint, RunChange]] = deque()
        self._thread = threading.Thread(target=self._run, name="exits", daemon=True)
        runs.watch_runs(self._queue_run_change)

    def start(self) -> None:
        """Start the monitoring thread."""
        self._thread.start()

    @property
    def open_count(self) -> int:
        """Return the number of runs with failures whose cause is open."""
        return len(self._open)

    def has_ended(self, endpoint: Endpoint) -> bool:
        """Return whether a run has ended without an announcement; probes its port."""
        return endpoint.run in self._ended or self._crash_detector.has_ended(endpoint)

    def record_failure(self, exchange: BrokenExchange) -> None:
        """Record that the connection of an exchange was lost, and probe its backend."""
        run = exchange.endpoint.run
        # Opened before the probe, so that no change of the run is missed meanwhile.
        opened = self._open_failure(exchange)
        liveness = self._crash_detector.check(exchange)
        if liveness is BackendLiveness.LEAVING:
            self._withdraw(run, opened)
            return
        ended_at = self._ended.get(run)
        if ended_at is not None:
            for trait in exchange.traits:
                self._quarantine.record_end(trait, run, ended_at)
        elif liveness is BackendLiveness.ENDED:
            self._confirm(run)

    def _open_failure(self, exchange: BrokenExchange) -> set[str]:
        """Open a failure; return the traits for which none with this run is open or decided."""
        run = exchange.endpoint.run
        with self._condition:
            if run in self._ended:
                return set()
            if run not in self._open:
                self._open[run] = _OpenFailure(exchange.endpoint, self._clock.now())
                if len(self._open) > _MAX_RUNS:
                    self._open.popitem(last=False)
            traits = self._open[run].traits
            if len(traits) >= _MAX_TRAITS:
                return set()
            new = set(exchange.traits) - traits
            traits |= new
            self._condition.notify()
            return new

    def _withdraw(self, run: str, traits: set[str]) -> None:
        """Remove traits from the open failures of a run."""
        with self._condition:
            failure = self._open.get(run)
            if failure is None:
                return
            failure.traits -= traits
            if not failure.traits:
                del self._open[run]

    def record_answer(self, run: str, sent_at: int) -> None:
        """Record that a run has answered a request sent at ``sent_at``, so that it lives."""
        if not self._open:
            return
        with self._condition:
            failure = self._open.get(run)
            if failure is not None and failure.failed_at < sent_at:
                del self._open[run]

    def record_refused_connection(self, endpoint: Endpoint) -> None:
        """Record that nothing listened on the port of a listed run."""
        failure = self._open.get(endpoint.run)
        if failure is not None and not failure.has_outlived_entry:
            self._confirm_late(failure, ExitEvidence.REQUEST)

    def record_address_conflict(self, endpoint: Endpoint) -> None:
        """Record that another run answered at the address of a listed one."""
        failure = self._open.get(endpoint.run)
        if failure is not None:
            self._confirm_late(failure, ExitEvidence.ADDRESS_TAKEN)

    def _queue_run_change(self, endpoint: Endpoint, change: RunChange) -> None:
        """Queue a change of a run; called with the list's lock held."""
        if not self._open:
            return
        with self._condition:
            self._run_changes.append((endpoint, change))
            self._condition.notify()

    def _run(self) -> None:
        while True:
            with self._condition:
                if not self._run_changes:
                    self._condition.wait(self._wait_time())
            self.step()

    def _wait_time(self) -> float | None:
        """Return the seconds until the next probe or expiry; ``None`` for none."""
        times = [
            max(f.next_probe_at, self._next_batch_at) if f.next_probe_at else f.expires_at
            for f in self._open.values()
        ]
        if not times:
            return None
        return max(0, min(times) - self._clock.now()) / SECOND

    def step(self) -> None:
        """Process changes of runs, and probe those whose probe is due."""
        while self._run_changes:
            self._apply_run_change(*self._run_changes.popleft())
        now = self._clock.now()
        with self._condition:
            for run in [run for run, f in self._open.items() if f.expires_at <= now]:
                del self._open[run]
            due = self._due_probes(now)
        for failure in due:
            self._probe(failure)

    def _due_probes(self, now: int) -> list[_OpenFailure]:
        """Return the failures to probe now, the most overdue first."""
        if now < self._next_batch_at:
            return []
        due = [f for f in self._open.values() if (f.next_probe_at or now + 1) <= now]
        if len(due) > _PROBE_BATCH:
            self._next_batch_at = now + _PROBE_INTERVAL
            due.sort(key=lambda f: f.next_probe_at or now)
        return due[:_PROBE_BATCH]

    def _apply_run_change(self, endpoint: Endpoint, change: RunChange) -> None:
        if change is RunChange.ADDED:
            with self._condition:
                replaced = [
                    failure
                    for run, failure in self._open.items()
                    if failure.endpoint.address == endpoint.address and run != endpoint.run
                ]
            for failure in replaced:
                self._confirm_late(failure, ExitEvidence.ADDRESS_TAKEN)
            return
        with self._condition:
            if change is RunChange.LEAVING:
                self._open.pop(endpoint.run, None)
            elif endpoint.run in self._open:
                self._open[endpoint.run].is_probe_due = True

    def _probe(self, failure: _OpenFailure) -> None:
        was_removed = failure.is_probe_due
        failure.is_probe_due = False
        result = self._probe_port(failure.endpoint.address, _PROBE_TIMEOUT)
        elapsed = self._clock.now() - failure.failed_at
        # Probes that are overdue after a delay would all give the same result.
        failure.probes = sum(1 for delay in _PROBE_DELAYS if delay <= elapsed)
        if result is ProbeResult.REFUSED:
            self._confirm_late(failure, ExitEvidence.PROBE)
        elif was_removed and result is ProbeResult.LISTENING:
            failure.has_outlived_entry = True

    def _confirm_late(self, failure: _OpenFailure, evidence: ExitEvidence) -> None:
        """Count the end of a run against its requests, unless it had announced that it leaves."""
        endpoint = failure.endpoint
        if self._runs.is_leaving(endpoint):
            with self._condition:
                self._open.pop(endpoint.run, None)
            return
        traits = self._confirm(endpoint.run)
        if traits:
            self._metrics.record_late_exit(evidence)
            _log.warning(
                "backend had ended",
                backend=endpoint.run,
                evidence=evidence.value,
                after_ms=self._clock.now() - failure.failed_at,
                traits=sorted(traits),
            )

    def _confirm(self, run: str) -> frozenset[str]:
        """Count the end of a run; return the traits of the requests that failed with it."""
        with self._condition:
            failure = self._open.pop(run, None)
            if failure is None:
                return frozenset()
            self._ended[run] = failure.failed_at
            if len(self._ended) > _MAX_RUNS:
                self._ended.popitem(last=False)
        for trait in sorted(failure.traits):
            self._quarantine.record_end(trait, run, failure.failed_at)
        return frozenset(failure.traits)
