"""The targets an entry is linked to: found in the instance list, kept while live."""

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
from canvasyoke.entry._peer import Peer
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
_LOOK_EVERY: Final = 1 * SECOND


class Peers:
    """All targets this entry knows, and the choice among them."""

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
        self._peers: dict[str, Peer] = {}
        self._listed: dict[str, Instance] = {}
        #: Whether the instance list was read at the last look.
        self.list_fresh = False
        self._stop = threading.Event()
        self._task = threading.Thread(target=self._run, name="peers", daemon=True)

    def start(self) -> None:
        """Start the task that follows the instance list."""
        self._task.start()

    def stop(self) -> None:
        """End all links."""
        self._stop.set()
        for peer in self.all():
            peer.stop()

    def all(self) -> list[Peer]:
        """Return the targets known, in order of name."""
        return [peer for _, peer in sorted(self._peers.items())]

    @property
    def any_connected(self) -> bool:
        """Tell whether a link to some target stands."""
        return any(peer.connected for peer in self._peers.values())

    def choose(self, req: RouteRequest) -> Peer | Reason:
        """Return a target for a repeatable request, or why there is none."""
        filtered = self._filter(req)
        if not filtered.candidates:
            return filtered.reason
        chosen = self._ranker.choose(filtered.candidates, req)
        return self._peers.get(chosen.instance, Reason.NO_TARGET)

    def choose_home(self, req: RouteRequest, key: str, slots: int) -> Peer | Reason:
        """Return the target that holds the slot of ``key``, or why there is none.

        Of two that claim the slot, the one with the higher epoch is right; a claim
        that is out of date only leads to a refusal, never to a second run.
        """
        slot = slot_of(key, slots)
        best: Peer | None = None
        best_epoch = -1
        for peer in list(self._peers.values()):
            report = peer.report
            if report is None or not peer.connected or report.service != req.service:
                continue
            if peer.instance in req.tried or not report.healthy:
                continue
            for claim in report.homes:
                if claim.slot == slot and claim.epoch > best_epoch:
                    best, best_epoch = peer, claim.epoch
        return best or Reason.NOT_HOME

    def _filter(self, req: RouteRequest) -> FilterResult:
        return filter_candidates(list(self._candidates(req.service)), req)

    def _candidates(self, service: str) -> Iterable[Candidate]:
        engines = self._view.current.engines
        for peer in list(self._peers.values()):
            engine = engines.get(peer.instance)
            if engine is None or engine.model.service != service:
                continue
            candidate = peer.candidate(engine.model.queue)
            if candidate is not None:
                yield candidate

    # Following the instance list.

    def _run(self) -> None:
        while not self._stop.is_set():
            self._look()
            self._stop.wait(_LOOK_EVERY * self._rng.uniform(0.8, 1.2) / SECOND)

    def _look(self) -> None:
        """Link to what is listed; drop what is neither listed nor answering."""
        listed = self._platform.instances()
        self.list_fresh = not isinstance(listed, Unavailable)
        if isinstance(listed, Unavailable):
            return
        targets = {i.name: i for i in listed if i.role == "target"}
        for name, instance in targets.items():
            self._follow(name, instance)
        for name, peer in list(self._peers.items()):
            if name not in targets and not peer.connected:
                _log.info("target is gone", target=name)
                peer.stop()
                del self._peers[name]

    def _follow(self, name: str, instance: Instance) -> None:
        peer = self._peers.get(name)
        if peer is not None and peer.address == instance.address:
            return
        if instance.state is InstanceState.LEAVING:
            return
        if peer is not None:
            peer.stop()
        peer = Peer(
            name,
            instance.address,
            self._link_key,
            self._instance,
            self._incarnation,
            self._clock,
            self._rng,
            self._exchange_config,
            self._offered,
            self._wanted,
        )
        self._peers[name] = peer
        peer.start()

    # Passing the configuration on.

    def _exchange_config(self, peer: Peer) -> None:
        """Offer a peer that is behind what is in force here, or ask one that is ahead."""
        report, generation = peer.report, self._view.current.generation
        if report is None:
            return
        if report.generation < generation and peer.offered < generation:
            self.offer_config(peer)
        elif report.generation > generation:
            peer.send(ConfigRequest(generation))

    def offer_config(self, peer: Peer) -> None:
        """Send the configuration in force to ``peer``."""
        offer = self._make_offer()
        if offer is not None:
            peer.offered = offer.generation
            peer.send(offer)

    def offer_all(self) -> None:
        """Send the configuration in force to every target."""
        for peer in list(self._peers.values()):
            self.offer_config(peer)

    def _make_offer(self) -> ConfigOffer | None:
        snapshot = self._view.snapshot
        if snapshot is None:
            return None
        generation = self._view.current.generation
        return ConfigOffer(generation, snapshot.root, dict(snapshot.contents))

    def _offered(self, offer: ConfigOffer) -> None:
        if offer.generation > self._view.current.generation:
            self._adopt.defer(Snapshot(offer.root, offer.contents))

    def _wanted(self, session: Session, generation: int) -> None:
        offer = self._make_offer()
        if offer is not None and offer.generation > generation:
            session.send(offer)
