"""Conversion of load reports between entries to and from their messages."""

from __future__ import annotations

from collections.abc import Hashable, Mapping

from canvasyoke.direct._peer_loads import PeerLoad
from canvasyoke.protocol import EntryLoad, RelayedLoad


def to_peer_load(report: EntryLoad | RelayedLoad) -> PeerLoad:
    """Return the load in a report."""
    return PeerLoad(report.told_at, report.under_way, report.waiting)


def to_relayed(loads: Mapping[str, PeerLoad]) -> list[RelayedLoad]:
    """Return the messages that relay the loads of entries."""
    return [
        RelayedLoad(
            entry,
            load.sent_at,
            dict(load.in_flight),
            {service: dict(counts) for service, counts in load.waiting.items()},
        )
        for entry, load in loads.items()
    ]


def to_hashable(in_flight: Mapping[str, int], waiting: Mapping[str, Mapping[int, int]]) -> Hashable:
    """Return a value that changes with the load."""
    waits = sorted((name, tuple(sorted(counts.items()))) for name, counts in waiting.items())
    return tuple(sorted(in_flight.items())), tuple(waits)
