"""The messages between an entry and a target, and between targets of a group.

Every message is a tagged msgspec structure, so that the codec checks types and
bounds on arrival. ``request`` names a request within one entry incarnation and
``attempt`` one try at it: an answer to an old attempt never reaches the caller
of a newer one.
"""

from __future__ import annotations

from typing import Annotated, TypeAlias

import msgspec

#: A name of an instance, service, organisation, file or group.
Name: TypeAlias = Annotated[str, msgspec.Meta(max_length=200)]
#: Header names and values in the order they came.
Headers: TypeAlias = Annotated[list[tuple[str, str]], msgspec.Meta(max_length=100)]
#: A count or a duration in milliseconds.
Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0)]


class Run(msgspec.Struct, frozen=True, tag="run"):
    """Entry to target: run this request."""

    request: Count
    attempt: Count
    #: Id that appears in the logs of every process the request passes.
    request_id: Name
    organisation: Name
    service: Name
    method: Name
    #: Path below the service, with its query string.
    path: Annotated[str, msgspec.Meta(max_length=8_192)]
    headers: Headers
    body: bytes
    #: Milliseconds the caller will still wait.
    remaining: Count
    #: Lower runs first.
    priority: Annotated[int, msgspec.Meta(ge=0, le=7)]
    repeatable: bool
    #: Key that makes repetitions recognisable; empty for repeatable requests.
    key: Name = ""
    #: Index of the first chunk wanted; larger than 0 when a stream is resumed.
    offset: Count = 0
    #: Whether the request stands in line elsewhere too: when its turn comes, the
    #: target says ``Ready`` and waits for ``Go`` before it runs.
    standby: bool = False


class Go(msgspec.Struct, frozen=True, tag="go"):
    """Entry to target: run the request that is ready."""

    request: Count
    attempt: Count


class Queued(msgspec.Struct, frozen=True, tag="queued"):
    """Target to entry: the request has to wait here."""

    request: Count
    attempt: Count


class Started(msgspec.Struct, frozen=True, tag="started"):
    """Target to entry: the request that had to wait runs now."""

    request: Count
    attempt: Count


class Ready(msgspec.Struct, frozen=True, tag="ready"):
    """Target to entry: a slot is free for a request that stands by; ``Go`` takes it."""

    request: Count
    attempt: Count


class Resume(msgspec.Struct, frozen=True, tag="resume"):
    """Entry to target: after a link broke, send again from ``offset``."""

    request: Count
    attempt: Count
    offset: Count


class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """Entry to target: the caller has gone; stop what can be stopped."""

    request: Count
    attempt: Count


class Forget(msgspec.Struct, frozen=True, tag="forget"):
    """Entry to target: the answer arrived whole; its buffer may go."""

    request: Count
    attempt: Count


class Head(msgspec.Struct, frozen=True, tag="head"):
    """Target to entry: the answer begins."""

    request: Count
    attempt: Count
    status: Annotated[int, msgspec.Meta(ge=100, le=599)]
    headers: Headers


class Chunk(msgspec.Struct, frozen=True, tag="chunk"):
    """Target to entry: one piece of the answer."""

    request: Count
    attempt: Count
    #: Index of this piece; pieces are consecutive.
    offset: Count
    data: bytes


class End(msgspec.Struct, frozen=True, tag="end"):
    """Target to entry: the answer is whole and has this many pieces."""

    request: Count
    attempt: Count
    chunks: Count


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """Target to entry: there will be no more of an answer to this attempt."""

    request: Count
    attempt: Count
    outcome: Name
    reason: Name
    detail: Annotated[str, msgspec.Meta(max_length=2_000)] = ""
    retry_after: Count = 0


class SlotClaim(msgspec.Struct, frozen=True):
    """A slot of a service's keys that the reporting target holds."""

    slot: Count
    #: Version of the service's slot table under which it is held.
    epoch: Count


class LoadReport(msgspec.Struct, frozen=True, tag="load"):
    """Target to entry: what the target knows of itself, sent on change and in turn."""

    instance: Name
    domain: Name
    service: Name
    #: Requests running and waiting, and how many may run at once.
    running: Count
    queued: Count
    slots: Count
    #: Milliseconds a request takes at present, smoothed; 0 when none has ended.
    duration: Count
    #: Generation of the configuration in force at the target.
    generation: Count
    leaving: bool
    #: Whether the backend answers.
    healthy: bool
    #: Slots of non-repeatable keys held, when the service has any.
    homes: Annotated[list[SlotClaim], msgspec.Meta(max_length=1_024)] = []
    #: Rank group, rank and what the rank last reported; empty without a group.
    group: Name = ""
    rank: Count = 0
    #: Epoch and number of the expert map in force at the rank.
    map_epoch: Count = 0
    map_number: Count = 0
    #: Skew of the group's recent steps in thousandths of the mean, by the owner.
    skew: Count = 0
    #: Moves of experts under way, by the owner.
    moves: Count = 0
    #: Whether this target's process owns the group's map.
    owner: bool = False


class Load(msgspec.Struct, frozen=True, tag="load_now"):
    """Target to entry, along with answers: the part of the report that changes fast."""

    running: Count
    queued: Count
    #: Milliseconds a request takes at present, smoothed; 0 when none has ended.
    duration: Count


class ConfigOffer(msgspec.Struct, frozen=True, tag="config"):
    """Entry to target: a generation of the configuration, whole."""

    generation: Count
    #: The root object and each content object, as kept in the platform.
    root: bytes
    contents: Annotated[dict[str, bytes], msgspec.Meta(max_length=1_000)]


class ConfigWanted(msgspec.Struct, frozen=True, tag="config_wanted"):
    """Either way: send your configuration if its generation is above this one."""

    generation: Count


class Drained(msgspec.Struct, frozen=True, tag="drained"):
    """Target to entry: the target has finished its work and is about to exit."""

    instance: Name


class ExpertReplica(msgspec.Struct, frozen=True):
    """One copy of an expert on one rank."""

    layer: Count
    expert: Count
    rank: Count


class GroupOrder(msgspec.Struct, frozen=True, tag="group_order"):
    """Map owner to a rank's target: do one thing with an expert map."""

    order: Count
    group: Name
    #: Rank the order is for; a target that is another rank refuses it.
    rank: Count
    epoch: Count
    number: Count
    #: One of ``highest``, ``prepare``, ``activate``, ``release`` and ``counts``.
    action: Name
    #: Step at which an activation takes effect.
    step: Count = 0
    #: For ``prepare``: begin no further step until this map is in force. For
    #: ``activate``: give up an earlier step that cannot end.
    jump: bool = False
    #: Ranks of the map, for ``prepare``.
    ranks: Annotated[list[int], msgspec.Meta(max_length=1_024)] = []
    #: The whole map, for ``prepare``.
    replicas: Annotated[list[ExpertReplica], msgspec.Meta(max_length=200_000)] = []


class GroupReply(msgspec.Struct, frozen=True, tag="group_reply"):
    """A rank's target to the map owner."""

    order: Count
    ok: bool
    detail: Annotated[str, msgspec.Meta(max_length=2_000)] = ""
    #: Highest map the rank has in force or prepared.
    epoch: Count = 0
    number: Count = 0
    step: Count = 0
    #: Tokens per expert, layer by layer, since the last ``counts`` order.
    counts: Annotated[list[list[int]], msgspec.Meta(max_length=200)] = []
    #: Mean time of the rank's own part of recent steps, in microseconds.
    step_time: Count = 0
    #: The map in force at the rank, for ``highest``.
    ranks: Annotated[list[int], msgspec.Meta(max_length=1_024)] = []
    replicas: Annotated[list[ExpertReplica], msgspec.Meta(max_length=200_000)] = []


class RankReading(msgspec.Struct, frozen=True, tag="rank_reading"):
    """Process beside a rank to the owner of its group's map: what the rank says."""

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
    #: How often each expert was chosen since the last reading, layer by layer; empty
    #: when they were not read. Packed by the package that reads them.
    counts: Annotated[bytes, msgspec.Meta(max_length=1_000_000)] = b""
    #: Experts by layer that the rank holds; only when asked for.
    layers: Annotated[list[list[int]], msgspec.Meta(max_length=1_000)] = []
    #: How many times as long as usual the rank takes for the same work.
    pace: Annotated[float, msgspec.Meta(ge=1)] = 1.0


class RankOrder(msgspec.Struct, frozen=True, tag="rank_order"):
    """Owner of a group's map to the process beside a rank: give your rank an order."""

    #: Numbers the order within one run of the owner.
    order: Count
    #: Kind of the order; empty to ask for a reading with the layers in it.
    kind: Name
    fence: Count
    epoch: Count
    version: Count = 0
    step: Count = 0
    #: For ``prepare``: experts by rank and layer, packed by the package that reads them.
    layers_by_rank: Annotated[bytes, msgspec.Meta(max_length=1_000_000)] = b""
    #: Rank that is to carry it out.
    rank: Count = 0


class RankOrders(msgspec.Struct, frozen=True, tag="rank_orders"):
    """Owner of a group's map to a relay: orders for the ranks of its domain."""

    orders: Annotated[list[RankOrder], msgspec.Meta(max_length=1_024)]
    #: The map that all of them are for; empty where they are for none.
    layers_by_rank: Annotated[bytes, msgspec.Meta(max_length=1_000_000)] = b""


class RelayedReadings(msgspec.Struct, frozen=True, tag="relayed_readings"):
    """Relay to the owner of a group's map: what the ranks of its domain say."""

    #: Without counts.
    readings: Annotated[list[RankReading], msgspec.Meta(max_length=1_024)]
    #: The sums of the ranks' counts, packed.
    counts: Annotated[bytes, msgspec.Meta(max_length=1_000_000)] = b""


class RankLost(msgspec.Struct, frozen=True, tag="rank_lost"):
    """Relay to the owner of a group's map: a rank is not linked any more."""

    rank: Count


class RankOrdered(msgspec.Struct, frozen=True, tag="rank_ordered"):
    """What became of a :class:`RankOrder`, and what the rank says after it."""

    order: Count
    #: One of the outcomes of an order.
    outcome: Name
    reading: RankReading | None = None


class StoreWatcher(msgspec.Struct, frozen=True):
    """An entry that watches the store for its failure domain."""

    name: Name
    #: Milliseconds since it said so itself.
    age: Count
    #: Whether it has lost the store.
    is_lost: bool = False


class RelayedLoad(msgspec.Struct, frozen=True):
    """What another entry of the same failure domain has under way."""

    entry: Name
    #: Time on that entry's clock.
    told_at: Count
    #: Requests under way by id of the backend.
    under_way: Annotated[dict[str, int], msgspec.Meta(max_length=20_000)] = {}


class EntryLoad(msgspec.Struct, frozen=True, tag="entry_load"):
    """Direct entry to entry: what it has under way, and how much it knows."""

    config_version: Count
    #: Requests under way by id of the backend.
    under_way: Annotated[dict[str, int], msgspec.Meta(max_length=20_000)] = {}
    #: Time on the entry's clock.
    told_at: Count = 0
    #: Position in the store's history up to which the entry knows all backends; 0 for none.
    backends_revision: Count = 0
    #: Milliseconds since that list was known to be in step with the store.
    backends_age: Count = 0
    #: Who watches the store; told within a domain.
    watchers: Annotated[list[StoreWatcher], msgspec.Meta(max_length=100)] = []
    #: Requests a second that callers ask of services here, while a backend names a limit.
    demands: Annotated[dict[str, float], msgspec.Meta(max_length=1_000)] = {}
    #: Loads heard since the last telling; told within a domain of an overlay.
    relayed: Annotated[list[RelayedLoad], msgspec.Meta(max_length=10_000)] = []


class TableWanted(msgspec.Struct, frozen=True, tag="table_wanted"):
    """Direct entry to entry: asks for the configuration that the other one told of."""

    #: Version that the asking one follows; 0 for none.
    version: Count


class BackendsWanted(msgspec.Struct, frozen=True, tag="backends_wanted"):
    """Direct entry to entry: asks for all backends, since the other one knows more."""


class TableDocument(msgspec.Struct, frozen=True, tag="table_document"):
    """Direct entry to entry: a configuration that the other one lacks, packed."""

    version: Count
    document: bytes


class BackendNews(msgspec.Struct, frozen=True, tag="backend_news"):
    """Direct entry to entry: what the store says of one backend."""

    id: Name
    service: Name
    address: Name
    domain: Name
    slots: Count
    leaving: bool
    #: Whether its entry was removed.
    gone: bool
    #: Position in the store's history at which this came to be, era above revision.
    revision: Count
    #: Whether the store's watch had left it out, so that it was found in a list.
    was_lost: bool = False
    #: Its start by its own clock; 0 if it does not say.
    started: Count = 0


class BackendList(msgspec.Struct, frozen=True, tag="backend_list"):
    """Direct entry to entry: all backends that it knows."""

    #: Position in the store's history up to which the list is complete.
    revision: Count
    backends: Annotated[list[BackendNews], msgspec.Meta(max_length=20_000)] = []
    #: Rank groups learned so far by id of the backend; empty where it is in none.
    groups: Annotated[dict[str, str], msgspec.Meta(max_length=20_000)] = {}


class GroupNews(msgspec.Struct, frozen=True, tag="group_news"):
    """Direct entry to entry: which rank group a backend belongs to."""

    backend: Name
    #: Empty where it is in none.
    group: Annotated[str, msgspec.Meta(max_length=200)] = ""


class PaceNews(msgspec.Struct, frozen=True, tag="pace_news"):
    """Direct entry to entry: a backend takes longer for its work than it should."""

    backend: Name
    #: How many times as long as usual.
    pace: Annotated[float, msgspec.Meta(ge=1)]


class SilenceNews(msgspec.Struct, frozen=True, tag="silence_news"):
    """Direct entry to entry: a backend takes requests and says nothing, though its group does."""

    backend: Name


class CrashNews(msgspec.Struct, frozen=True, tag="crash_news"):
    """Direct entry to entry: backends have ended under a request, or it was cleared."""

    #: Digest of the request.
    fingerprint: Annotated[str, msgspec.Meta(max_length=64)]
    #: How often it was cleared.
    cleared: Count
    #: Runs of backends that have ended under it since.
    runs: Annotated[list[Name], msgspec.Meta(max_length=10_000)] = []
    #: Whether an entry has found that it is to blame.
    is_blamed: bool = False


class CrashList(msgspec.Struct, frozen=True, tag="crash_list"):
    """Direct entry to entry: all that it knows of such requests, over a link that is new."""

    cases: Annotated[list[CrashNews], msgspec.Meta(max_length=10_000)] = []


class LimitWord(msgspec.Struct, frozen=True):
    """What a backend has said of the requests that it takes from all entries together."""

    #: Milliseconds since an entry heard it from the backend.
    age: Count
    #: Requests a second; ``None`` where it takes whatever comes.
    rate: Annotated[float, msgspec.Meta(ge=0)] | None = None


class BackendWord(msgspec.Struct, frozen=True):
    """What a run of a backend has said of itself to one of the entries."""

    backend: Name
    address: Name
    #: Milliseconds for which it wants nothing from that entry; 0 for none.
    backoff: Count = 0
    #: Whether it is about to end.
    is_leaving: bool = False
    #: ``None`` if it has never named a limit.
    limit: LimitWord | None = None


class BackendWords(msgspec.Struct, frozen=True, tag="backend_words"):
    """Direct entry to entry: what backends have said in their answers."""

    words: Annotated[list[BackendWord], msgspec.Meta(max_length=20_000)]


#: Whatever may stand in a frame.
Message: TypeAlias = (
    Run
    | Resume
    | Cancel
    | Go
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
    | ConfigWanted
    | Drained
    | GroupOrder
    | GroupReply
    | RankReading
    | RankOrder
    | RankOrders
    | RelayedReadings
    | RankLost
    | RankOrdered
    | EntryLoad
    | TableWanted
    | TableDocument
    | BackendsWanted
    | BackendNews
    | BackendList
    | GroupNews
    | PaceNews
    | SilenceNews
    | CrashNews
    | CrashList
    | BackendWords
)
