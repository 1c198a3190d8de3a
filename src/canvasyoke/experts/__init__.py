"""Rank processes, which run beside engines and manage the expert maps of their rank groups."""

from canvasyoke.experts._rank_port import (
    RANK_PORTS,
    REMOTE_TIMEOUT,
    Armed,
    MapOrder,
    MapOrderKind,
    OrderOutcome,
    RankMap,
    RankPort,
    RankReport,
    RankUnreachable,
)

__all__ = [
    "RANK_PORTS",
    "REMOTE_TIMEOUT",
    "Armed",
    "MapOrder",
    "MapOrderKind",
    "OrderOutcome",
    "RankMap",
    "RankPort",
    "RankReport",
    "RankUnreachable",
]
