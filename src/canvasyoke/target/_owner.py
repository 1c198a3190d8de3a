"""Owning a group's expert map: one target of the group does it, under a lease.

The lease is an object of the platform and its epoch numbers the owners. Within an
epoch the owner numbers its maps. A map is prepared on every rank, activated at a
named step once all have acknowledged it, and only when all have it in force is
the room of the old one given back. Since every rank fences by epoch and number,
an owner that was paused can do no harm, and one that cannot reach the platform
may go on.
"""

from __future__ import annotations

import random
import threading
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec

from canvasyoke._clock import SECOND, Clock
from canvasyoke.coordination import (
    POLICIES,
    RENEW_INTERVAL,
    ExpertMap,
    LeaseMonitor,
    initial_map,
    plan_map,
)
from canvasyoke.observe import part_logger
from canvasyoke.protocol import ExpertReplica, GroupOrder, GroupReply
from canvasyoke.state import (
    AuditEntry,
    AuditTrail,
    Conflict,
    Found,
    Group,
    InstanceState,
    Platform,
    Unavailable,
    Written,
)
from canvasyoke.target._ranks import RankLinks

_log = part_logger("map")
_LEASE_PREFIX: Final = "groups/"
#: Milliseconds a group's ownership lasts without renewal.
OWNER_LEASE: Final = 8 * SECOND
#: Milliseconds a rank may take for an order.
_ORDER_TIMEOUT: Final = 2_500
#: Steps between the newest step seen and an activation.
_STEPS_AHEAD: Final = 20
#: Weight of the newest counts in the smoothed loads.
_SMOOTHING: Final = 0.4
_PERMILLE: Final = 1_000


class OwnerRecord(msgspec.Struct, frozen=True):
    """The owner of a group as kept in the platform."""

    instance: str
    incarnation: str
    #: Grows by one with each new owner.
    epoch: int


@dataclass(frozen=True, slots=True)
class OwnerView:
    """What the owner tells of its group; all zero at a target that is not the owner."""

    owner: bool = False
    #: Slowest over mean rank in thousandths.
    skew: int = 0
    #: Copies being moved.
    moves: int = 0


class MapOwner:
    """The task that contends for a group and plans for it while it owns it."""

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        instance: str,
        incarnation: str,
        group: Callable[[], Group | None],
        links: RankLinks,
        rng: random.Random,
    ) -> None:
        #: What to report.
        self.view = OwnerView()
        self._platform = platform
        self._audit = AuditTrail(platform)
        self._clock = clock
        self._instance = instance
        self._incarnation = incarnation
        self._group = group
        self._links = links
        self._rng = rng
        self._watch = LeaseMonitor(clock, OWNER_LEASE)
        self._stop = threading.Event()
        self._task = threading.Thread(target=self._run, name="map-owner", daemon=True)
        self._epoch = 0
        self._version = 0
        self._renewed = 0
        self._addresses: dict[str, str] = {}
        self._reset()

    def _reset(self) -> None:
        self._number = 0
        self._map: ExpertMap | None = None
        self._ranks: tuple[int, ...] = ()
        self._loads: list[list[float]] = []
        self._last_step = -1
        self._activation = 0

    def start(self) -> None:
        """Start the task."""
        self._task.start()

    def release(self) -> None:
        """End the task and let the next owner in at once."""
        self._stop.set()
        self._task.join()
        group = self._group()
        if self._epoch and group is not None:
            record = OwnerRecord("", "", self._epoch)
            key = _LEASE_PREFIX + group.name
            self._platform.write(key, msgspec.json.encode(record), self._version)
        self._links.close()

    def _run(self) -> None:
        while not self._stop.is_set():
            group = self._group()
            pause = 1 * SECOND
            if group is not None:
                pause = self._step(group)
            self._stop.wait(pause * self._rng.uniform(0.9, 1.1) / SECOND)

    def _step(self, group: Group) -> int:
        """Contend or look after the group once; return the pause until the next time."""
        if not self._epoch:
            self._contend(group)
        elif self._clock.now() - self._renewed >= RENEW_INTERVAL:
            self._renew(group)
        if not self._epoch:
            return 1 * SECOND
        self._find_addresses(group)
        self._look(group)
        return group.model.replan_ms

    # The lease.

    def _contend(self, group: Group) -> None:
        key = _LEASE_PREFIX + group.name
        found = self._platform.read(key)
        if isinstance(found, Unavailable):
            return
        version, epoch = 0, 0
        if isinstance(found, Found):
            record = msgspec.json.decode(found.value, type=OwnerRecord)
            version, epoch = found.version, record.epoch
            own = (record.instance, record.incarnation) == (self._instance, self._incarnation)
            if not own and record.instance and not self._watch.has_expired(key, version):
                return
        record = OwnerRecord(self._instance, self._incarnation, epoch + 1)
        result = self._platform.write(key, msgspec.json.encode(record), version)
        if isinstance(result, Written):
            self._epoch, self._version = record.epoch, result.version
            self._renewed = self._clock.now()
            self._reset()
            _log.info("owns the group", group=group.name, epoch=self._epoch)

    def _renew(self, group: Group) -> None:
        """Renew; only another owner's write ends the ownership, not silence."""
        key = _LEASE_PREFIX + group.name
        record = OwnerRecord(self._instance, self._incarnation, self._epoch)
        result = self._platform.write(key, msgspec.json.encode(record), self._version)
        if isinstance(result, Written):
            self._version = result.version
            self._renewed = self._clock.now()
            return
        if isinstance(result, Conflict) or result.ambiguous:
            found = self._platform.read(key)
            if not isinstance(found, Found):
                return
            kept = msgspec.json.decode(found.value, type=OwnerRecord)
            if kept == record:
                self._version = found.version
            else:
                self._lose(group, "another owner took the lease")

    def _lose(self, group: Group, why: str) -> None:
        _log.warning("lost the group", group=group.name, epoch=self._epoch, why=why)
        self._epoch = 0
        self.view = OwnerView()
        self._links.close()

    # The ranks.

    def _find_addresses(self, group: Group) -> None:
        listed = self._platform.instances()
        if not isinstance(listed, Unavailable):
            self._addresses = {i.name: i.address for i in listed if i.state is InstanceState.LIVE}
        known = {
            rank: self._addresses[name]
            for rank, name in enumerate(group.instances)
            if name in self._addresses
        }
        self._links.connect(known)

    def _ask(
        self, group: Group, whom: list[int], action: str, **fields: object
    ) -> dict[int, GroupReply]:
        def make(order: int, rank: int) -> GroupOrder:
            return GroupOrder(
                order=order,
                group=group.name,
                rank=rank,
                epoch=self._epoch,
                number=self._number,
                action=action,
                **fields,  # type: ignore[arg-type]
            )

        return self._links.ask(whom, make, _ORDER_TIMEOUT)

    def _look(self, group: Group) -> None:
        """Ask all ranks where they stand; install a map if one is needed."""
        everyone = list(range(group.model.ranks))
        action = "counts" if self._map is not None else "highest"
        replies = self._ask(group, everyone, action)
        if any(r.epoch > self._epoch for r in replies.values()):
            self._lose(group, "a rank knows a higher epoch")
            return
        live = {rank: reply for rank, reply in replies.items() if reply.ok}
        if not live:
            return
        if self._map is None:
            self._learn(group, live)
        else:
            self._count(group, live)
        self._decide(group, live)

    def _learn(self, group: Group, live: dict[int, GroupReply]) -> None:
        """Take over the map in force from the rank that has the highest."""
        best = max(live.values(), key=lambda r: (r.epoch, r.number))
        model = group.model
        self._loads = [[1.0] * model.experts for _ in range(model.layers)]
        learned = _decode_map(best.replicas, model.layers, model.experts)
        if learned is None:
            self._map = initial_map(sorted(live), model.experts, model.layers)
            self._ranks = ()
        else:
            self._map = learned
            self._ranks = tuple(best.ranks)

    def _count(self, group: Group, live: dict[int, GroupReply]) -> None:
        """Add the ranks' counts to the smoothed loads and work out the skew."""
        model = group.model
        totals = [[0] * model.experts for _ in range(model.layers)]
        for reply in live.values():
            for layer, counts in enumerate(reply.counts[: model.layers]):
                for expert, count in enumerate(counts[: model.experts]):
                    totals[layer][expert] += count
        if any(map(any, totals)):
            self._loads = [
                [old + _SMOOTHING * (new - old) for old, new in zip(a, b, strict=True)]
                for a, b in zip(self._loads, totals, strict=True)
            ]
        times = [r.step_time for r in live.values() if r.step_time]
        skew = round(max(times) * len(times) * _PERMILLE / sum(times)) if times else 0
        self.view = OwnerView(True, skew, 0)

    def _decide(self, group: Group, live: dict[int, GroupReply]) -> None:
        assert self._map is not None
        ranks = tuple(sorted(live))
        if len(ranks) * group.model.capacity < group.model.experts:
            _log.error("too few ranks for all experts", group=group.name, ranks=len(ranks))
            return
        policy = POLICIES[group.model.policy]
        planned = plan_map(self._map, self._loads, ranks, group.model.capacity, policy)
        newest = max(r.step for r in live.values())
        behind = [k for k, r in live.items() if (r.epoch, r.number) != (self._epoch, self._number)]
        stalled = newest == self._last_step
        self._last_step = newest
        if behind and not stalled and ranks == self._ranks and newest < self._activation:
            return
        if planned == self._map and ranks == self._ranks and not behind:
            return
        # A group that has lost a rank cannot end its step. Its ranks are halted
        # while the map is prepared: only then is it certain that none of them
        # takes another step on the old map before all jump to the new one.
        halt = stalled or bool(set(self._ranks) - set(ranks))
        self._install(group, planned, ranks, newest, halt)

    def _install(
        self, group: Group, planned: ExpertMap, ranks: tuple[int, ...], newest: int, halt: bool
    ) -> None:
        """Prepare on all, activate at one step, release."""
        assert self._map is not None
        before, copies = self._number, planned.copies_added(self._map)
        self.view = OwnerView(True, self.view.skew, copies)
        self._number += 1
        replicas = _encode_map(planned)
        everyone = list(ranks)
        prepared = self._ask(
            group, everyone, "prepare", jump=halt, ranks=everyone, replicas=replicas
        )
        refused = [k for k in everyone if k not in prepared or not prepared[k].ok]
        if refused:
            why = f"ranks {refused} did not prepare"
            self._record(group, before, copies, "failed", why)
            return
        newest = max([newest, *(r.step for r in prepared.values())])
        step = self._activation = newest + (1 if halt else _STEPS_AHEAD)
        self._map, self._ranks = planned, ranks
        activated = self._ask(group, everyone, "activate", step=step, jump=halt)
        missing = [k for k in everyone if k not in activated or not activated[k].ok]
        if missing:
            self._record(group, before, copies, "failed", f"ranks {missing} did not activate")
            return
        self._ask(group, everyone, "release")
        self._record(group, before, copies, "done", f"{len(ranks)} ranks, step {step}")

    def _record(self, group: Group, before: int, copies: int, outcome: str, why: str) -> None:
        self.view = OwnerView(True, self.view.skew, 0)
        _log.info(
            "map installed" if outcome == "done" else "map not installed",
            group=group.name,
            epoch=self._epoch,
            number=self._number,
            copies=copies,
            why=why,
        )
        self._audit.append(
            AuditEntry(
                wall=self._clock.wall(),
                id=uuid.uuid4().hex,
                who=self._instance,
                action="map",
                subject=group.name,
                before=before,
                after=self._number,
                changed=[f"{copies} copies"],
                outcome=outcome,
                why=f"epoch {self._epoch}: {why}",
            )
        )


def _encode_map(mapping: ExpertMap) -> list[ExpertReplica]:
    return [
        ExpertReplica(layer, expert, rank)
        for layer, experts in enumerate(mapping.layers)
        for expert, holders in enumerate(experts)
        for rank in holders
    ]


def _decode_map(replicas: list[ExpertReplica], layers: int, experts: int) -> ExpertMap | None:
    """Return the map that ``replicas`` make; ``None`` when it does not fit the group."""
    holders: list[list[list[int]]] = [[[] for _ in range(experts)] for _ in range(layers)]
    for replica in replicas:
        if replica.layer >= layers or replica.expert >= experts:
            return None
        holders[replica.layer][replica.expert].append(replica.rank)
    if not all(ranks for layer in holders for ranks in layer):
        return None
    return ExpertMap(tuple(tuple(tuple(sorted(r)) for r in layer) for layer in holders))
