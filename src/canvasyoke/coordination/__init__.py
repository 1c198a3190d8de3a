"""Pure decision logic of routing, queueing, key ownership and expert maps.

Inputs are typed values, a clock and a seeded random source; no I/O takes place, so that tests
and benchmarks run the same code as the processes.
"""

from canvasyoke.coordination._demand_estimate import (
    DEMAND_ESTIMATORS,
    DemandEstimator,
    total_variation_distance,
)
from canvasyoke.coordination._demand_stability import DemandStabilityEstimator
from canvasyoke.coordination._ejection import Ejection
from canvasyoke.coordination._fair_queue import FairQueue, QueuedRequest, QueueUpdate
from canvasyoke.coordination._key_ownership import (
    CLOCK_MARGIN,
    Handover,
    HandoverEntry,
    HolderState,
    IdempotencyCache,
    KeyDecision,
    KeyedRequest,
    KeyState,
    Slot,
    SlotTable,
    check_key,
    slot_of,
)
from canvasyoke.coordination._layer_plan import Layer, PlanPolicy
from canvasyoke.coordination._lease import LEASE_DURATION, RENEW_INTERVAL, Lease, LeaseMonitor
from canvasyoke.coordination._map_update import (
    MIN_SAVINGS,
    MapUpdate,
    MapUpdateParameters,
    plan_map_update,
)
from canvasyoke.coordination._planner import (
    POLICIES,
    ExpertMap,
    initial_map,
    map_skew,
    plan_map,
)
from canvasyoke.coordination._retry import (
    REDIRECT_REASONS,
    FailedAttempt,
    RetryBudget,
    RetryDecision,
    decide_retry,
)
from canvasyoke.coordination._routing import (
    RANKERS,
    Candidate,
    FilterResult,
    Ranker,
    RouteRequest,
    Unavailability,
    filter_candidates,
)

__all__ = [
    "CLOCK_MARGIN",
    "DEMAND_ESTIMATORS",
    "LEASE_DURATION",
    "MIN_SAVINGS",
    "POLICIES",
    "RANKERS",
    "REDIRECT_REASONS",
    "RENEW_INTERVAL",
    "Candidate",
    "DemandEstimator",
    "DemandStabilityEstimator",
    "Ejection",
    "ExpertMap",
    "FailedAttempt",
    "FairQueue",
    "FilterResult",
    "Handover",
    "HandoverEntry",
    "HolderState",
    "IdempotencyCache",
    "KeyDecision",
    "KeyState",
    "KeyedRequest",
    "Layer",
    "Lease",
    "LeaseMonitor",
    "MapUpdate",
    "MapUpdateParameters",
    "PlanPolicy",
    "QueueUpdate",
    "QueuedRequest",
    "Ranker",
    "RetryBudget",
    "RetryDecision",
    "RouteRequest",
    "Slot",
    "SlotTable",
    "Unavailability",
    "check_key",
    "decide_retry",
    "filter_candidates",
    "initial_map",
    "map_skew",
    "plan_map",
    "plan_map_update",
    "slot_of",
    "total_variation_distance",
]
