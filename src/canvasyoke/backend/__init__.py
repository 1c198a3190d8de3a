"""Ports and adapters for engines and plain services."""

from canvasyoke.backend._direct import (
    DIRECT_BACKENDS,
    BackendAnswer,
    DirectBackendPort,
    GroupReport,
    MayHaveRun,
    NotRun,
    NotRunCause,
    OutboundRequest,
    SendResult,
)
from canvasyoke.backend._engine import EngineBackend
from canvasyoke.backend._notice import (
    NO_NOTICE,
    BackendNotice,
    ReportedLoad,
    UnreadableField,
)
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
    "DIRECT_BACKENDS",
    "NO_NOTICE",
    "AnswerSink",
    "Backend",
    "BackendAnswer",
    "BackendNotice",
    "CacheEvent",
    "DirectBackendPort",
    "Done",
    "EngineBackend",
    "EngineLoad",
    "EnginePort",
    "Failed",
    "GroupReport",
    "Health",
    "MayHaveRun",
    "NotRun",
    "NotRunCause",
    "OutboundRequest",
    "PlainBackend",
    "RankAnswer",
    "RankOrder",
    "RankPort",
    "ReportedLoad",
    "SendResult",
    "UnreadableField",
]
