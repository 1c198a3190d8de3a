"""Applies the configured limits of cold backends, and reports which backends are cold."""

from __future__ import annotations

from canvasyoke.direct._cold_backends import ColdRule
from canvasyoke.direct._roster import Roster
from canvasyoke.observe import Metrics, part_logger
from canvasyoke.state import DirectSettings, RoutingTable

_log = part_logger("roster")


class ColdMonitor:
    """Keeps the roster's rules in sync with the configuration, and logs changes."""

    def __init__(self, roster: Roster, metrics: Metrics) -> None:
        self._roster = roster
        metrics.labelled_gauge(
            "canvasyoke_backends_cold",
            "Backends that count as cold, so that this entry sends them only its part.",
            ("service",),
            lambda: {(name,): count for name, count in roster.cold_counts().items()},
        )

    def update(self, table: RoutingTable, settings: DirectSettings) -> None:
        """Apply the rules of a configuration, and log backends that have turned cold or warm."""
        self._roster.set_cold_rules(cold_rules(table, settings))
        for change in self._roster.take_cold_changes():
            _log.info(
                "backend is cold" if change.is_cold else "backend is warm",
                backend=change.endpoint.run,
                service=change.endpoint.service,
                source=change.source,
                remaining=change.remaining,
            )


def cold_rules(table: RoutingTable, settings: DirectSettings) -> dict[str, ColdRule]:
    """Return the limits of cold backends by service.

    Empty unless the operator's settings state what cold backends tolerate.
    """
    if not settings.cold_overage:
        return {}
    return {
        service.name: ColdRule(
            service.cold_rate,
            service.cold_time,
            service.cold_rate * settings.cold_overage + settings.cold_slack,
        )
        for service in table.services.values()
        if service.cold_rate > 0
    }
