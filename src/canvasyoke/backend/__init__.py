"""Adapters to what stands beside a target process: engines and plain services."""

from canvasyoke.backend._engine import EngineBackend
from canvasyoke.backend._plain import PlainBackend
from canvasyoke.backend._port import (
    BACKENDS,
    AnswerSink,
    Backend,
    CacheEvent,
    Done,
    EngineLoad,
    EnginePort,
    Failed,
    Health,
    RankAnswer,
    RankOrder,
    RankPort,
)

__all__ = [
    "BACKENDS",
    "AnswerSink",
    "Backend",
    "CacheEvent",
    "Done",
    "EngineBackend",
    "EngineLoad",
    "EnginePort",
    "Failed",
    "Health",
    "PlainBackend",
    "RankAnswer",
    "RankOrder",
    "RankPort",
]
