"""Messages between processes.

Every message is a tagged msgspec structure, so that decoding validates types and bounds.
``request`` identifies a request within one run of an entry and ``attempt`` one attempt at it,
so that responses to earlier attempts are discarded.
"""

from __future__ import annotations

from typing import Annotated, TypeAlias

import msgspec

#: Name of an instance, service, organisation, file or group.
Name: TypeAlias = Annotated[str, msgspec.Meta(max_length=200)]
#: Header names and values, in the order received.
Headers: TypeAlias = Annotated[list[tuple[str, str]], msgspec.Meta(max_length=100)]
#: A count or a duration in milliseconds.
Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0)]


class Run(msgspec.Struct, frozen=True, tag="run"):
    """Entry to target: run a request."""

    request: Count
    attempt: Count
    #: Request id in the logs of all processes.
    request_id: Name
    organisation: Name
    service: Name
    method: Name
    #: Path below the service, with its query string.
    path: Annotated[str, msgspec.Meta(max_length=8_192)]
    headers: Headers
    body: bytes
    #: Milliseconds until the caller's deadline.
    remaining: Count
    #: Lower values run first.
    priority: Annotated[int, msgspec.Meta(ge=0, le=7)]
    repeatable: bool
    #: Idempotency key; empty for repeatable requests.
    key: Name = ""
    #: Index of the first chunk to send; greater than 0 when a stream is resumed.
    offset: Count = 0
    #: Whether the request is also queued at another target. When a slot is free, the
    #: target sends ``Ready`` and waits for ``Proceed`` before running it.
    standby: bool = False


class Proceed(msgspec.Struct, frozen=True, tag="go"):
    """Entry to target: run the request for which ``Ready`` was sent."""

    request: Count
    attempt: Count


class Queued(msgspec.Struct, frozen=True, tag="queued"):
    """Target to entry: the request was queued."""

    request: Count
    attempt: Count


class Started(msgspec.Struct, frozen=True, tag="started"):
    """Target to entry: the queued request has started."""

    request: Count
    attempt: Count


class Ready(msgspec.Struct, frozen=True, tag="ready"):
    """Target to entry: a slot is reserved for a standby request, which ``Proceed`` starts."""

    request: Count
    attempt: Count


class Resume(msgspec.Struct, frozen=True, tag="resume"):
    """Entry to target: resend the response from ``offset``, after a link failure."""

    request: Count
    attempt: Count
    offset: Count


class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """Entry to target: cancel the attempt if possible."""

    request: Count
    attempt: Count


class Forget(msgspec.Struct, frozen=True, tag="forget"):
    """Entry to target: the response is complete; its buffer can be released."""

    request: Count
    attempt: Count


class Head(msgspec.Struct, frozen=True, tag="head"):
    """Target to entry: status and headers of the response."""

    request: Count
    attempt: Count
    status: Annotated[int, msgspec.Meta(ge=100, le=599)]
    headers: Headers


class Chunk(msgspec.Struct, frozen=True, tag="chunk"):
    """Target to entry: one chunk of the response body."""

    request: Count
    attempt: Count
    #: Index of this chunk; chunks are consecutive.
    offset: Count
    data: bytes


class End(msgspec.Struct, frozen=True, tag="end"):
    """Target to entry: the response is complete, with this number of chunks."""

    request: Count
    attempt: Count
    chunks: Count


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """Target to entry: the attempt ended without a complete response."""

    request: Count
    attempt: Count
    outcome: Name
    reason: Name
    detail: Annotated[str, msgspec.Meta(max_length=2_000)] = ""
    retry_after: Count = 0


class SlotClaim(msgspec.Struct, frozen=True):
    """A key slot of a service that the reporting target holds."""

    slot: Count
    #: Version of the service's slot table under which it is held.
    epoch: Count


class LoadReport(msgspec.Struct, frozen=True, tag="load"):
    """Target to entry: the target's state, sent on change and periodically."""

    instance: Name
    domain: Name
    service: Name
    #: Running and queued requests, and the maximum number of running ones.
    running: Count
    queued: Count
    slots: Count
    #: Smoothed request duration in milliseconds; 0 before the first has ended.
    duration: Count
    #: Generation of the target's configuration.
    generation: Count
    leaving: bool
    #: Whether the backend responds.
    healthy: bool
    #: Key slots held, if the service has non-repeatable requests.
    homes: Annotated[list[SlotClaim], msgspec.Meta(max_length=1_024)] = []
    #: Rank group and rank; empty without a group.
    group: Name = ""
    rank: Count = 0
    #: Epoch and number of the rank's current expert map.
    map_epoch: Count = 0
    map_number: Count = 0
    #: Skew of the group's recent steps in thousandths of the mean; set by the owner.
    skew: Count = 0
    #: Expert moves in progress; set by the owner.
    moves: Count = 0
    #: Whether this target's process owns the group's map.
    owner: bool = False


class Load(msgspec.Struct, frozen=True, tag="load_now"):
    """Target to entry: the frequently changing part of the report, sent with responses."""

    running: Count
    queued: Count
    #: Smoothed request duration in milliseconds; 0 before the first has ended.
    duration: Count


class ConfigOffer(msgspec.Struct, frozen=True, tag="config"):
    """Entry to target: a complete generation of the configuration."""

    generation: Count
    #: The root object and the content objects, as stored in the platform.
    root: bytes
    contents: Annotated[dict[str, bytes], msgspec.Meta(max_length=1_000)]


class ConfigRequest(msgspec.Struct, frozen=True, tag="config_wanted"):
    """Entry or target: request the peer's configuration if its generation is higher."""

    generation: Count


class Drained(msgspec.Struct, frozen=True, tag="drained"):
    """Target to entry: the target has no requests left and is about to exit."""

    instance: Name


class ExpertReplica(msgspec.Struct, frozen=True):
    """One copy of an expert on one rank."""

    layer: Count
    expert: Count
    rank: Count


class GroupOrder(msgspec.Struct, frozen=True, tag="group_order"):
    """Map owner to a rank's target: an operation on an expert map."""

    order: Count
    group: Name
    #: Rank that executes the order; targets of other ranks reject it.
    rank: Count
    epoch: Count
    number: Count
    #: One of ``highest``, ``prepare``, ``activate``, ``release`` and ``counts``.
    action: Name
    #: Step at which an activation takes effect.
    step: Count = 0
    #: For ``prepare``: start no further step until this map is active. For
    #: ``activate``: abort an earlier step that cannot complete.
    jump: bool = False
    #: Ranks of the map, for ``prepare``.
    ranks: Annotated[list[int], msgspec.Meta(max_length=1_024)] = []
    #: The complete map, for ``prepare``.
    replicas: Annotated[list[ExpertReplica], msgspec.Meta(max_length=200_000)] = []


class GroupReply(msgspec.Struct, frozen=True, tag="group_reply"):
    """A rank's target to the map owner: the result of an order."""

    order: Count
    ok: bool
    detail: Annotated[str, msgspec.Meta(max_length=2_000)] = ""
    #: Highest map that the rank has activated or prepared.
    epoch: Count = 0
    number: Count = 0
    step: Count = 0
    #: Tokens per expert, layer by layer, since the last ``counts`` order.
    counts: Annotated[list[list[int]], msgspec.Meta(max_length=200)] = []
    #: Mean duration of the rank's own work in recent steps, in microseconds.
    step_time: Count = 0
    #: The rank's active map, for ``highest``.
    ranks: Annotated[list[int], msgspec.Meta(max_length=1_024)] = []
    replicas: Annotated[list[ExpertReplica], msgspec.Meta(max_length=200_000)] = []


class RankReading(msgspec.Struct, frozen=True, tag="rank_reading"):
    """Rank process to the owner of its group's map: the rank's state."""

    rank: Count
    epoch: Count
    is_open: bool
    step: Count
    map_version: Count
    prepared: Count
    #: Version and step of an armed map; 0 for none.
    armed_version: Count
    armed_step: Count
    held_step: Count
    #: Selections of each expert since the last reading, layer by layer; empty if not
    #: read. Packed by :mod:`canvasyoke.experts`.
    counts: Annotated[bytes, msgspec.Meta(max_length=1_000_000)] = b""
    #: Experts that the rank holds, by layer; only if requested.
    layers: Annotated[list[list[int]], msgspec.Meta(max_length=1_000)] = []
    #: Ratio of the rank's current to its usual time for the same work.
    pace: Annotated[float, msgspec.Meta(ge=1)] = 1.0


class RankOrder(msgspec.Struct, frozen=True, tag="rank_order", omit_defaults=True):
    """Owner of a group's map to a rank process: an order for its rank."""

    #: Number of the order within one run of the owner.
    order: Count
    #: Kind of the order; empty to request a reading with layers.
    kind: Name
    fence: Count
    epoch: Count
    version: Count = 0
    step: Count = 0
    #: For ``prepare``: experts by rank and layer, packed by :mod:`canvasyoke.experts`; empty if the
    #: rank is to keep its experts.
    layers_by_rank: Annotated[bytes, msgspec.Meta(max_length=1_000_000)] = b""
    #: For ``prepare`` without a map: experts in each layer.
    experts: Count = 0
    #: Rank that executes the order.
    rank: Count = 0


class RankOrders(msgspec.Struct, frozen=True, tag="rank_orders"):
    """Owner of a group's map to a relay: orders for the ranks of its domain."""

    orders: Annotated[list[RankOrder], msgspec.Meta(max_length=1_024)]
    #: The map shared by all orders; empty if they have none.
    layers_by_rank: Annotated[bytes, msgspec.Meta(max_length=1_000_000)] = b""


class RelayedReadings(msgspec.Struct, frozen=True, tag="relayed_readings"):
    """Relay to the owner of a group's map: readings of the ranks of its domain."""

    #: Readings without counts.
    readings: Annotated[list[RankReading], msgspec.Meta(max_length=1_024)]
    #: Sums of the ranks' counts, packed.
    counts: Annotated[bytes, msgspec.Meta(max_length=1_000_000)] = b""


class RankDisconnected(msgspec.Struct, frozen=True, tag="rank_lost"):
    """Relay to the owner of a group's map: a rank has disconnected."""

    rank: Count


class RankOrderResult(msgspec.Struct, frozen=True, tag="rank_ordered"):
    """Result of a :class:`RankOrder`, and the rank's state after it."""

    order: Count
    #: Value of an order outcome.
    outcome: Name
    reading: RankReading | None = None


class StoreWatcher(msgspec.Struct, frozen=True):
    """An entry that watches the store for its failure domain."""

    name: Name
    #: Milliseconds since the entry announced that it watches the store.
    age: Count
    #: Whether the entry has lost its connection to the store.
    is_lost: bool = False


class RelayedLoad(msgspec.Struct, frozen=True):
    """Requests in progress at another entry of the same failure domain."""

    entry: Name
    #: Time of the report on that entry's clock.
    told_at: Count
    #: Requests in progress by backend id.
    under_way: Annotated[dict[str, int], msgspec.Meta(max_length=20_000)] = {}
    #: Requests that wait for a place there, by service and priority.
    waiting: Annotated[dict[str, dict[int, int]], msgspec.Meta(max_length=1_000)] = {}


class EntryLoad(msgspec.Struct, frozen=True, tag="entry_load"):
    """Direct entry to entry: its requests in progress and the versions of its state."""

    config_version: Count
    #: Requests in progress by backend id.
    under_way: Annotated[dict[str, int], msgspec.Meta(max_length=20_000)] = {}
    #: Time of the report on the entry's clock.
    told_at: Count = 0
    #: Store position up to which the entry knows all backends; 0 for none.
    backends_revision: Count = 0
    #: Milliseconds since the list of backends was confirmed to match the store.
    backends_age: Count = 0
    #: Entries that watch the store; sent within a domain.
    watchers: Annotated[list[StoreWatcher], msgspec.Meta(max_length=100)] = []
    #: Callers' request rate per second by service, while a backend has a rate limit.
    demands: Annotated[dict[str, float], msgspec.Meta(max_length=1_000)] = {}
    #: Loads received since the last report; sent within a domain of an overlay.
    relayed: Annotated[list[RelayedLoad], msgspec.Meta(max_length=10_000)] = []
    #: Requests that wait for a place here, by service and priority.
    waiting: Annotated[dict[str, dict[int, int]], msgspec.Meta(max_length=1_000)] = {}


class TableRequest(msgspec.Struct, frozen=True, tag="table_wanted"):
    """Direct entry to entry: request the configuration that the peer has announced."""

    #: Version that the requesting entry uses; 0 for none.
    version: Count


class BackendListRequest(msgspec.Struct, frozen=True, tag="backends_wanted"):
    """Direct entry to entry: request the complete list of backends."""


class TableDocument(msgspec.Struct, frozen=True, tag="table_document"):
    """Direct entry to entry: a newer configuration, packed."""

    version: Count
    document: bytes


class BackendUpdate(msgspec.Struct, frozen=True, tag="backend_news"):
    """Direct entry to entry: the state of one backend in the store."""

    id: Name
    service: Name
    address: Name
    domain: Name
    slots: Count
    leaving: bool
    #: Whether its store entry was removed.
    gone: bool
    #: Store position of this change: the era in the high bits, the revision below.
    revision: Count
    #: Whether the store's watch missed the change, so that it was found in a list.
    was_lost: bool = False
    #: Start time on the backend's clock; 0 if unknown.
    started: Count = 0
    #: Milliseconds for which the backend remains cold.
    cold_remaining: Count = 0


class BackendList(msgspec.Struct, frozen=True, tag="backend_list"):
    """Direct entry to entry: all known backends."""

    #: Store position up to which the list is complete.
    revision: Count
    backends: Annotated[list[BackendUpdate], msgspec.Meta(max_length=20_000)] = []
    #: Known rank groups by backend id; empty for a backend without a group.
    groups: Annotated[dict[str, str], msgspec.Meta(max_length=20_000)] = {}


class GroupUpdate(msgspec.Struct, frozen=True, tag="group_news"):
    """Direct entry to entry: the rank group of a backend."""

    backend: Name
    #: Empty if the backend has no group.
    group: Annotated[str, msgspec.Meta(max_length=200)] = ""


class GroupStateUpdate(msgspec.Struct, frozen=True, tag="group_state"):
    """Direct entry to entry: whether a rank group executes steps."""

    group: Annotated[str, msgspec.Meta(max_length=200)]
    epoch: Count
    is_open: bool
    #: Milliseconds since the state was observed.
    age: Count
    #: Milliseconds for which the group did not execute steps before it opened; 0 if unknown.
    outage: Count = 0


class EvacuationList(msgspec.Struct, frozen=True, tag="evacuations"):
    """Direct entry to entry: all failure domains that are being evacuated."""

    #: Store position of the list.
    position: Count
    domains: Annotated[list[Name], msgspec.Meta(max_length=1_000)] = []
    #: Milliseconds since an entry last read the list from the store.
    age: Count = 0


class PaceUpdate(msgspec.Struct, frozen=True, tag="pace_news"):
    """Direct entry to entry: a backend is slower than usual."""

    backend: Name
    #: Ratio of the current to the usual time for the same work.
    pace: Annotated[float, msgspec.Meta(ge=1)]


class BackendUnresponsive(msgspec.Struct, frozen=True, tag="silence_news"):
    """Direct entry to entry: a backend accepts requests but does not respond, unlike its group."""

    backend: Name


class CrashUpdate(msgspec.Struct, frozen=True, tag="crash_news"):
    """Direct entry to entry: backends crashed during requests with a trait, or it was cleared."""

    #: Digest of the whole request, or the name of another trait.
    fingerprint: Annotated[str, msgspec.Meta(max_length=64)]
    #: Number of times that the request was cleared.
    cleared: Count
    #: Backend runs that crashed during the request since it was last cleared.
    runs: Annotated[list[Name], msgspec.Meta(max_length=10_000)] = []
    #: Whether an entry has identified the request as the cause.
    is_blamed: bool = False
    #: Milliseconds since each of ``runs`` crashed; empty if the sender does not know.
    ages: Annotated[list[Count], msgspec.Meta(max_length=10_000)] = []
    #: Whether an entry has identified a shared trait as the cause. ``is_blamed`` is not used for
    #: those: releases that know whole requests only would judge them alike.
    is_shared_blamed: bool = False
    #: Whether requests with the trait were answered before the first crash.
    was_answered: bool = False
    #: Answers to requests with the trait that were sent after the first crash, by entry.
    answers: Annotated[dict[Name, Count], msgspec.Meta(max_length=10_000)] = {}


class CrashList(msgspec.Struct, frozen=True, tag="crash_list"):
    """Direct entry to entry: all known crash cases, sent when a link is established."""

    cases: Annotated[list[CrashUpdate], msgspec.Meta(max_length=10_000)] = []


class RelayedLimit(msgspec.Struct, frozen=True):
    """A backend's rate limit for all entries together."""

    #: Milliseconds since an entry received it from the backend.
    age: Count
    #: Requests per second; ``None`` for no limit.
    rate: Annotated[float, msgspec.Meta(ge=0)] | None = None


class RelayedNotice(msgspec.Struct, frozen=True):
    """Notice that a backend run has sent to one of the entries."""

    backend: Name
    address: Name
    #: Milliseconds of backoff requested from that entry; 0 for none.
    backoff: Count = 0
    #: Whether the backend is about to shut down.
    is_leaving: bool = False
    #: ``None`` if the backend has never reported a limit.
    limit: RelayedLimit | None = None


class RelayedNotices(msgspec.Struct, frozen=True, tag="backend_words"):
    """Direct entry to entry: notices that backends have sent in their responses."""

    words: Annotated[list[RelayedNotice], msgspec.Meta(max_length=20_000)]


#: Any message in a frame.
Message: TypeAlias = (
    Run
    | Resume
    | Cancel
    | Proceed
    | Queued
    | Started
    | Ready
    | Forget
    | Head
    | Chunk
    | End
    | Refused
    | Load
    | LoadReport
    | ConfigOffer
    | ConfigRequest
    | Drained
    | GroupOrder
    | GroupReply
    | RankReading
    | RankOrder
    | RankOrders
    | RelayedReadings
    | RankDisconnected
    | RankOrderResult
    | EntryLoad
    | TableRequest
    | TableDocument
    | BackendListRequest
    | BackendUpdate
    | BackendList
    | GroupUpdate
    | GroupStateUpdate
    | EvacuationList
    | PaceUpdate
    | BackendUnresponsive
    | CrashUpdate
    | CrashList
    | RelayedNotices
)
