"""The targets that an entry is linked to, discovered through the instance list."""

from __future__ import annotations

import random
import threading
from collections.abc import Iterable
from typing import Final

import pykka

from canvasyoke._clock import SECOND, Clock
from canvasyoke.coordination import (
    RANKERS,
    Candidate,
    FilterResult,
    RouteRequest,
    filter_candidates,
    slot_of,
)
from canvasyoke.entry._target_client import TargetClient
from canvasyoke.observe import part_logger
from canvasyoke.protocol import ConfigOffer, ConfigRequest, Reason
from canvasyoke.state import (
    ConfigKeeper,
    ConfigView,
    Instance,
    InstanceState,
    Platform,
    Snapshot,
    Unavailable,
)
from canvasyoke.transport import Session

_log = part_logger("peers")
_REFRESH_INTERVAL: Final = 1 * SECOND


class TargetPool:
    """Links to all known targets, target selection and distribution of the configuration."""

    def __init__(
        self,
        platform: Platform,
        view: ConfigView,
        keeper: pykka.ActorRef[ConfigKeeper],
        instance: str,
        domain: str,
        link_key: bytes,
        incarnation: str,
        clock: Clock,
        rng: random.Random,
        ranker: str,
    ) -> None:
        self._platform = platform
        self._view = view
        self._adopt = keeper.proxy().adopt
        self._instance = instance
        self._domain = domain
        self._link_key = link_key
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._ranker = RANKERS.get(ranker)(rng)
        self._targets: dict[str, TargetClient] = {}
        #: Whether the last read of the instance list succeeded.
        self.instance_list_available = False
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="peers", daemon=True)

    def start(self) -> None:
        """Start the thread that polls the instance list."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and close all links."""
        self._stop.set()
        for target in self.all():
            target.stop()

    def all(self) -> list[TargetClient]:
        """Return all known targets, sorted by name."""
        return [target for _, target in sorted(self._targets.items())]

    @property
    def any_connected(self) -> bool:
        """Return whether the link to any target is up."""
        return any(target.connected for target in self._targets.values())

    def select(self, req: RouteRequest) -> TargetClient | Reason:
        """Return a target for an idempotent request, or why there is none."""
        result = self._filter(req)
        if not result.candidates:
            return result.reason
        selected = self._ranker.choose(result.candidates, req)
        return self._targets.get(selected.instance, Reason.NO_TARGET)

    def select_key_owner(self, req: RouteRequest, key: str, slots: int) -> TargetClient | Reason:
        """Return the target that owns the slot of ``key``, or why there is none.

        If several targets claim the slot, the highest epoch wins. A stale claim is safe: the
        target refuses the request instead of running it a second time.
        """
        slot = slot_of(key, slots)
        owner: TargetClient | None = None
        owner_epoch = -1
        for target in list(self._targets.values()):
            report = target.report
            if report is None or not target.connected or report.service != req.service:
                continue
            if target.instance in req.tried or not report.healthy:
                continue
            for claim in report.homes:
                if claim.slot == slot and claim.epoch > owner_epoch:
                    owner, owner_epoch = target, claim.epoch
        return owner or Reason.NOT_HOME

    def _filter(self, req: RouteRequest) -> FilterResult:
        return filter_candidates(list(self._candidates(req.service)), req)

    def _candidates(self, service: str) -> Iterable[Candidate]:
        engines = self._view.current.engines
        for target in list(self._targets.values()):
            engine = engines.get(target.instance)
            if engine is None or engine.model.service != service:
                continue
            candidate = target.to_candidate(engine.model.queue)
            if candidate is not None:
                yield candidate

    # Service discovery.

    def _run(self) -> None:
        while not self._stop.is_set():
            self._refresh()
            self._stop.wait(_REFRESH_INTERVAL * self._rng.uniform(0.8, 1.2) / SECOND)

    def _refresh(self) -> None:
        """Connect to listed targets; remove those that are neither listed nor connected."""
        listed = self._platform.instances()
        self.instance_list_available = not isinstance(listed, Unavailable)
        if isinstance(listed, Unavailable):
            return
        targets = {i.name: i for i in listed if i.role == "target"}
        for name, instance in targets.items():
            self._connect(name, instance)
        for name, target in list(self._targets.items()):
            if name not in targets and not target.connected:
                _log.info("target removed", target=name)
                target.stop()
                del self._targets[name]

    def _connect(self, name: str, instance: Instance) -> None:
        target = self._targets.get(name)
        if target is not None and target.address == instance.address:
            return
        if instance.state is InstanceState.LEAVING:
            return
        if target is not None:
            target.stop()
        target = TargetClient(
            name,
            instance.address,
            self._link_key,
            self._instance,
            self._incarnation,
            self._clock,
            self._rng,
            self._sync_config,
            self._on_config_offer,
            self._on_config_wanted,
        )
        self._targets[name] = target
        target.start()

    # Distribution of the configuration.

    def _sync_config(self, target: TargetClient) -> None:
        """Offer the configuration to a target that is behind; request it from one that is ahead."""
        report, generation = target.report, self._view.current.generation
        if report is None:
            return
        if report.generation < generation and target.offered_generation < generation:
            self.offer_config(target)
        elif report.generation > generation:
            target.send(ConfigRequest(generation))

    def offer_config(self, target: TargetClient) -> None:
        """Send the configuration in force to ``target``."""
        offer = self._make_offer()
        if offer is not None:
            target.offered_generation = offer.generation
            target.send(offer)

    def offer_config_to_all(self) -> None:
        """Send the configuration in force to every target."""
        for target in list(self._targets.values()):
            self.offer_config(target)

    def _make_offer(self) -> ConfigOffer | None:
        snapshot = self._view.snapshot
        if snapshot is None:
            return None
        generation = self._view.current.generation
        return ConfigOffer(generation, snapshot.root, dict(snapshot.contents))

    def _on_config_offer(self, offer: ConfigOffer) -> None:
        if offer.generation > self._view.current.generation:
            self._adopt.defer(Snapshot(offer.root, offer.contents))

    def _on_config_wanted(self, session: Session, generation: int) -> None:
        offer = self._make_offer()
        if offer is not None and offer.generation > generation:
            session.send(offer)
