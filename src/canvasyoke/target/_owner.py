"""Ownership of a group's expert map, held by one target of the group under a lease.

The lease is an object in the platform's store. Its epoch increases with each new owner, and the
owner numbers its maps within the epoch. A map is prepared on every rank, activated at a given
step after all ranks have acknowledged it, and the memory of the previous map is released once
it is active on all of them. Ranks fence by epoch and number, so a paused owner does no harm,
and an owner may continue while the store is unreachable.
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
from canvasyoke.target._rank_links import RankLinks

_log = part_logger("map")
_LEASE_PREFIX: Final = "groups/"
#: Milliseconds the lease on a group lasts without renewal.
OWNER_LEASE_DURATION: Final = 8 * SECOND
#: Milliseconds to wait for the replies to an order.
_ORDER_TIMEOUT: Final = 2_500
#: Steps from the newest step reported to the activation step.
_ACTIVATION_LEAD_STEPS: Final = 20
#: Weight of new counts in the exponentially smoothed loads.
_SMOOTHING: Final = 0.4
_SKEW_SCALE: Final = 1_000


class OwnerRecord(msgspec.Struct, frozen=True):
    """The owner of a group as stored in the platform."""

    instance: str
    incarnation: str
    #: Increases by one with each new owner.
    epoch: int


@dataclass(frozen=True, slots=True)
class OwnerStatus:
    """Reported state of the group's map; all zero at a target that is not the owner."""

    owner: bool = False
    #: Step time of the slowest rank relative to the mean, in thousandths.
    skew: int = 0
    #: Number of expert copies being added.
    moves: int = 0


class MapOwner:
    """Competes for ownership of a group and plans its map while owning it."""

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
        self.status = OwnerStatus()
        self._platform = platform
        self._audit = AuditTrail(platform)
        self._clock = clock
        self._instance = instance
        self._incarnation = incarnation
        self._group = group
        self._links = links
        self._rng = rng
        self._monitor = LeaseMonitor(clock, OWNER_LEASE_DURATION)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="map-owner", daemon=True)
        self._epoch = 0
        self._version = 0
        self._renewed_at = 0
        self._addresses: dict[str, str] = {}
        self._reset()

    def _reset(self) -> None:
        self._map_number = 0
        self._map: ExpertMap | None = None
        self._map_ranks: tuple[int, ...] = ()
        self._loads: list[list[float]] = []
        self._last_step = -1
        self._activation_step = 0

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def release(self) -> None:
        """Stop the thread and release the lease, so that another owner can take it at once."""
        self._stop.set()
        self._thread.join()
        group = self._group()
        if self._epoch and group is not None:
            record = OwnerRecord("", "", self._epoch)
            key = _LEASE_PREFIX + group.name
            self._platform.write(key, msgspec.json.encode(record), self._version)
        self._links.close()

    def _run(self) -> None:
        while not self._stop.is_set():
            group = self._group()
            delay = 1 * SECOND
            if group is not None:
                delay = self._step(group)
            self._stop.wait(delay * self._rng.uniform(0.9, 1.1) / SECOND)

    def _step(self, group: Group) -> int:
        """Compete for or manage the group once; return the delay until the next step."""
        if not self._epoch:
            self._try_acquire(group)
        elif self._clock.now() - self._renewed_at >= RENEW_INTERVAL:
            self._renew(group)
        if not self._epoch:
            return 1 * SECOND
        self._update_addresses(group)
        self._poll_ranks(group)
        return group.model.replan_ms

    # Lease

    def _try_acquire(self, group: Group) -> None:
        key = _LEASE_PREFIX + group.name
        found = self._platform.read(key)
        if isinstance(found, Unavailable):
            return
        version, epoch = 0, 0
        if isinstance(found, Found):
            record = msgspec.json.decode(found.value, type=OwnerRecord)
            version, epoch = found.version, record.epoch
            is_own = (record.instance, record.incarnation) == (self._instance, self._incarnation)
            if not is_own and record.instance and not self._monitor.has_expired(key, version):
                return
        record = OwnerRecord(self._instance, self._incarnation, epoch + 1)
        result = self._platform.write(key, msgspec.json.encode(record), version)
        if isinstance(result, Written):
            self._epoch, self._version = record.epoch, result.version
            self._renewed_at = self._clock.now()
            self._reset()
            _log.info("acquired map ownership", group=group.name, epoch=self._epoch)

    def _renew(self, group: Group) -> None:
        """Renew the lease; only a write by another owner ends the ownership, not a timeout."""
        key = _LEASE_PREFIX + group.name
        record = OwnerRecord(self._instance, self._incarnation, self._epoch)
        result = self._platform.write(key, msgspec.json.encode(record), self._version)
        if isinstance(result, Written):
            self._version = result.version
            self._renewed_at = self._clock.now()
            return
        if isinstance(result, Conflict) or result.ambiguous:
            found = self._platform.read(key)
            if not isinstance(found, Found):
                return
            kept = msgspec.json.decode(found.value, type=OwnerRecord)
            if kept == record:
                self._version = found.version
            else:
                self._handle_lost_ownership(group, "another owner took the lease")

    def _handle_lost_ownership(self, group: Group, why: str) -> None:
        _log.warning("lost map ownership", group=group.name, epoch=self._epoch, why=why)
        self._epoch = 0
        self.status = OwnerStatus()
        self._links.close()

    # Ranks

    def _update_addresses(self, group: Group) -> None:
        listed = self._platform.instances()
        if not isinstance(listed, Unavailable):
            self._addresses = {i.name: i.address for i in listed if i.state is InstanceState.LIVE}
        rank_addresses = {
            rank: self._addresses[name]
            for rank, name in enumerate(group.instances)
            if name in self._addresses
        }
        self._links.set_addresses(rank_addresses)

    def _send_orders(
        self, group: Group, recipients: list[int], action: str, **fields: object
    ) -> dict[int, GroupReply]:
        def make_order(order: int, rank: int) -> GroupOrder:
            return GroupOrder(
                order=order,
                group=group.name,
                rank=rank,
                epoch=self._epoch,
                number=self._map_number,
                action=action,
                **fields,  # type: ignore[arg-type]
            )

        return self._links.send_orders(recipients, make_order, _ORDER_TIMEOUT)

    def _poll_ranks(self, group: Group) -> None:
        """Query the state of all ranks; install a new map if needed."""
        all_ranks = list(range(group.model.ranks))
        action = "counts" if self._map is not None else "highest"
        replies = self._send_orders(group, all_ranks, action)
        if any(r.epoch > self._epoch for r in replies.values()):
            self._handle_lost_ownership(group, "a rank knows a higher epoch")
            return
        live_replies = {rank: reply for rank, reply in replies.items() if reply.ok}
        if not live_replies:
            return
        if self._map is None:
            self._adopt_active_map(group, live_replies)
        else:
            self._update_loads(group, live_replies)
        self._plan_update(group, live_replies)

    def _adopt_active_map(self, group: Group, live_replies: dict[int, GroupReply]) -> None:
        """Adopt the active map with the highest version among the ranks."""
        latest = max(live_replies.values(), key=lambda r: (r.epoch, r.number))
        model = group.model
        self._loads = [[1.0] * model.experts for _ in range(model.layers)]
        active_map = _decode_map(latest.replicas, model.layers, model.experts)
        if active_map is None:
            self._map = initial_map(sorted(live_replies), model.experts, model.layers)
            self._map_ranks = ()
        else:
            self._map = active_map
            self._map_ranks = tuple(latest.ranks)

    def _update_loads(self, group: Group, live_replies: dict[int, GroupReply]) -> None:
        """Update the smoothed loads and the skew from the ranks' replies."""
        model = group.model
        totals = [[0] * model.experts for _ in range(model.layers)]
        for reply in live_replies.values():
            for layer, counts in enumerate(reply.counts[: model.layers]):
                for expert, count in enumerate(counts[: model.experts]):
                    totals[layer][expert] += count
        if any(map(any, totals)):
            self._loads = [
                [old + _SMOOTHING * (new - old) for old, new in zip(a, b, strict=True)]
                for a, b in zip(self._loads, totals, strict=True)
            ]
        times = [r.step_time for r in live_replies.values() if r.step_time]
        skew = round(max(times) * len(times) * _SKEW_SCALE / sum(times)) if times else 0
        self.status = OwnerStatus(True, skew, 0)

    def _plan_update(self, group: Group, live_replies: dict[int, GroupReply]) -> None:
        assert self._map is not None
        ranks = tuple(sorted(live_replies))
        if len(ranks) * group.model.capacity < group.model.experts:
            _log.error("too few ranks for all experts", group=group.name, ranks=len(ranks))
            return
        policy = POLICIES[group.model.policy]
        planned = plan_map(self._map, self._loads, ranks, group.model.capacity, policy)
        newest_step = max(r.step for r in live_replies.values())
        outdated_ranks = [
            k
            for k, r in live_replies.items()
            if (r.epoch, r.number) != (self._epoch, self._map_number)
        ]
        stalled = newest_step == self._last_step
        self._last_step = newest_step
        if (
            outdated_ranks
            and not stalled
            and ranks == self._map_ranks
            and newest_step < self._activation_step
        ):
            return
        if planned == self._map and ranks == self._map_ranks and not outdated_ranks:
            return
        # A group that has lost a rank cannot complete its step. Its ranks are halted during
        # preparation, so that none of them takes another step on the old map before all of
        # them switch.
        halt = stalled or bool(set(self._map_ranks) - set(ranks))
        self._install(group, planned, ranks, newest_step, halt)

    def _install(
        self, group: Group, planned: ExpertMap, ranks: tuple[int, ...], newest_step: int, halt: bool
    ) -> None:
        """Prepare the map on all ranks, activate it at one step, release the old map."""
        assert self._map is not None
        before, copies = self._map_number, planned.copies_added(self._map)
        self.status = OwnerStatus(True, self.status.skew, copies)
        self._map_number += 1
        replicas = _encode_map(planned)
        recipients = list(ranks)
        prepared = self._send_orders(
            group, recipients, "prepare", jump=halt, ranks=recipients, replicas=replicas
        )
        refused = [k for k in recipients if k not in prepared or not prepared[k].ok]
        if refused:
            why = f"ranks {refused} did not prepare"
            self._record_change(group, before, copies, "failed", why)
            return
        newest_step = max([newest_step, *(r.step for r in prepared.values())])
        step = self._activation_step = newest_step + (1 if halt else _ACTIVATION_LEAD_STEPS)
        self._map, self._map_ranks = planned, ranks
        activated = self._send_orders(group, recipients, "activate", step=step, jump=halt)
        missing = [k for k in recipients if k not in activated or not activated[k].ok]
        if missing:
            self._record_change(
                group, before, copies, "failed", f"ranks {missing} did not activate"
            )
            return
        self._send_orders(group, recipients, "release")
        self._record_change(group, before, copies, "done", f"{len(ranks)} ranks, step {step}")

    def _record_change(
        self, group: Group, before: int, copies: int, outcome: str, why: str
    ) -> None:
        self.status = OwnerStatus(True, self.status.skew, 0)
        _log.info(
            "map installed" if outcome == "done" else "map not installed",
            group=group.name,
            epoch=self._epoch,
            number=self._map_number,
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
                after=self._map_number,
                changed=[f"{copies} copies"],
                outcome=outcome,
                why=f"epoch {self._epoch}: {why}",
            )
        )


def _encode_map(expert_map: ExpertMap) -> list[ExpertReplica]:
    return [
        ExpertReplica(layer, expert, rank)
        for layer, experts in enumerate(expert_map.layers)
        for expert, holders in enumerate(experts)
        for rank in holders
    ]


def _decode_map(replicas: list[ExpertReplica], layers: int, experts: int) -> ExpertMap | None:
    """Build a map from ``replicas``; return ``None`` if it does not match the group's shape."""
    holders: list[list[list[int]]] = [[[] for _ in range(experts)] for _ in range(layers)]
    for replica in replicas:
        if replica.layer >= layers or replica.expert >= experts:
            return None
        holders[replica.layer][replica.expert].append(replica.rank)
    if not all(ranks for layer in holders for ranks in layer):
        return None
    return ExpertMap(tuple(tuple(tuple(sorted(r)) for r in layer) for layer in holders))
