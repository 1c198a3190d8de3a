"""Polls engines of groups that seem stalled, and announces whether the groups execute steps.

To limit the number of queries, only the entries that watch the store for a failure domain poll,
one engine of their own domain at a time, and only while a group is not known to be open. All
entries log the changes of the groups they know.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.backend import DirectBackendPort, GroupReport
from canvasyoke.direct._group_states import GroupChange, GroupStates
from canvasyoke.direct._roster import Roster
from canvasyoke.observe import Metrics, part_logger
from canvasyoke.protocol import GroupStateUpdate

_log = part_logger("groups")
#: Milliseconds between polls and between checks for changes.
_POLL_INTERVAL: Final = 150
#: Age in milliseconds assumed of a report ``open``: engines on other machines are read with a lag
#: of up to this, so an open report may be older than a refusal that was received before it.
_REPORT_LAG: Final = 200


class GroupMonitor:
    """Follows the states of all groups of the roster."""

    def __init__(
        self,
        port: DirectBackendPort,
        roster: Roster,
        is_watching: Callable[[], bool],
        on_change: Callable[[GroupStateUpdate], None],
        clock: Clock,
    ) -> None:
        self._port = port
        self._roster = roster
        self._states: GroupStates = roster.group_states
        self._is_watching = is_watching
        #: Announces a state to the other entries.
        self._on_change = on_change
        self._clock = clock
        #: Number of polls so far, by group; the engines are polled in turn.
        self._polls: dict[str, int] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="group-states", daemon=True)

    def start(self) -> None:
        """Start the polling thread."""
        self._thread.start()

    def add_gauges(self, metrics: Metrics) -> None:
        """Register the gauges of the groups' states."""
        metrics.gauge(
            "canvasyoke_groups_closed",
            "Rank groups that execute no steps, as far as is known.",
            lambda: len(self._states.closed()),
        )
        metrics.gauge(
            "canvasyoke_group_closed_seconds",
            "Longest time for which a rank group has executed no steps.",
            self._longest_closed,
        )
        metrics.gauge(
            "canvasyoke_group_opens_in_seconds",
            "Longest forecast of the time until a closed rank group executes steps.",
            self._longest_forecast,
        )

    def _run(self) -> None:
        while not self._stop.wait(_POLL_INTERVAL / SECOND):
            self.poll()

    def poll(self) -> None:
        """Log the changes, and poll an engine of each closed group if this entry watches."""
        self._log_changes(self._states.check())
        if not self._is_watching():
            return
        for group in self._states.closed():
            report = self._ask(group)
            if report is not None and report.name == group:
                self._report(report)

    def _ask(self, group: str) -> GroupReport | None:
        """Return the report of the next engine of a group in this domain; ``None`` for none."""
        members = sorted(self._roster.group_members(group), key=lambda each: each.run)
        if not members:
            return None
        number = self._polls.get(group, 0)
        self._polls[group] = number + 1
        return self._port.group_report(members[number % len(members)])

    def _report(self, report: GroupReport) -> None:
        age = _REPORT_LAG if report.is_open else 0
        if not self._states.observe(report.name, report.epoch, report.is_open, age):
            return
        changes = self._states.check()
        outage = max((c.outage for c in changes if c.group == report.name), default=0)
        # Announced before the log line is written: callers wait for it at all entries.
        self._on_change(GroupStateUpdate(report.name, report.epoch, report.is_open, age, outage))
        self._log_changes(changes)

    def _log_changes(self, changes: list[GroupChange]) -> None:
        for change in changes:
            state = change.state
            if state.is_open:
                _log.info(
                    "group open",
                    group=change.group,
                    source=state.source,
                    age=state.age,
                    outage=change.outage,
                )
            else:
                _log.warning(
                    "group closed",
                    group=change.group,
                    source=state.source,
                    age=state.age,
                    closed_for=self._clock.now() - state.closed_since,
                    opens_in=state.opens_in,
                )

    def _longest_closed(self) -> float:
        now = self._clock.now()
        closed = self._states.closed().values()
        return max((now - state.closed_since for state in closed), default=0) / SECOND

    def _longest_forecast(self) -> float:
        closed = self._states.closed().values()
        return max((state.opens_in or 0 for state in closed), default=0) / SECOND
