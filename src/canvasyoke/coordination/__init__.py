"""Decisions: typed views, a clock and a seeded random source in, typed values out.

Nothing here opens a socket, so that a test or an experiment runs the very code
that a process runs.
"""

from canvasyoke.coordination._demand import DemandSpan
from canvasyoke.coordination._demand_estimate import (
    DEMAND_ESTIMATES,
    DemandEstimate,
    share_distance,
)
from canvasyoke.coordination._ejection import Ejection
from canvasyoke.coordination._fair_queue import FairQueue, Offer, Waiting
from canvasyoke.coordination._homes import (
    CLOCK_MARGIN,
    Handover,
    HomeVerdict,
    HomeView,
    KeyedRequest,
    KeyMemory,
    KeyNote,
    KeyState,
    Slot,
    SlotTable,
    check_key,
    slot_of,
)
from canvasyoke.coordination._layer_plan import Layer, PlanPolicy
from canvasyoke.coordination._lease import LEASE, RENEW_EVERY, Lease, LeaseWatch
from canvasyoke.coordination._map_step import LEAST_SAVED, MapStep, MapTerms, plan_map_step
from canvasyoke.coordination._planner import (
    POLICIES,
    ExpertMap,
    initial_map,
    map_skew,
    plan_map,
)
from canvasyoke.coordination._retry import REDIRECTS, Attempted, RetryBudget, Step, next_step
from canvasyoke.coordination._routing import (
    RANKERS,
    Candidate,
    Filtered,
    Ranker,
    RouteRequest,
    Unavailability,
    filter_candidates,
)

__all__ = [
    "CLOCK_MARGIN",
    "DEMAND_ESTIMATES",
    "LEASE",
    "LEAST_SAVED",
    "POLICIES",
    "RANKERS",
    "REDIRECTS",
    "RENEW_EVERY",
    "Attempted",
    "Candidate",
    "DemandEstimate",
    "DemandSpan",
    "Ejection",
    "ExpertMap",
    "FairQueue",
    "Filtered",
    "Handover",
    "HomeVerdict",
    "HomeView",
    "KeyMemory",
    "KeyNote",
    "KeyState",
    "KeyedRequest",
    "Layer",
    "Lease",
    "LeaseWatch",
    "MapStep",
    "MapTerms",
    "Offer",
    "PlanPolicy",
    "Ranker",
    "RetryBudget",
    "RouteRequest",
    "Slot",
    "SlotTable",
    "Step",
    "Unavailability",
    "Waiting",
    "check_key",
    "filter_candidates",
    "initial_map",
    "map_skew",
    "next_step",
    "plan_map",
    "plan_map_step",
    "share_distance",
    "slot_of",
]
