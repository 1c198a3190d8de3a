"""Processes beside engines that move the experts of their rank groups."""

from canvasyoke.experts._rank_port import (
    FAR_TIMEOUT,
    RANK_PORTS,
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
    "FAR_TIMEOUT",
    "RANK_PORTS",
    "Armed",
    "MapOrder",
    "MapOrderKind",
    "OrderOutcome",
    "RankMap",
    "RankPort",
    "RankReport",
    "RankUnreachable",
]
