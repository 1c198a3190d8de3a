"""Tests of the sums of loads of the other entries."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from canvasyoke._clock import SECOND
from canvasyoke.direct._peer_loads import PeerLoad, PeerLoads

BACKENDS = ("a", "b", "c")
LOADS = st.dictionaries(st.sampled_from(BACKENDS), st.integers(0, 9))


class PeerLoadsMachine(RuleBasedStateMachine):
    """Compares the incremental sums with recomputed ones."""

    def __init__(self) -> None:
        super().__init__()
        self.loads = PeerLoads()
        self.received: dict[str, tuple[int, dict[str, int]]] = {}
        self.now = 0
        #: Monotonic send time of the updates.
        self.sent_at = 0

    @rule(peer=st.sampled_from("xyz"), in_flight=LOADS)
    def update_load(self, peer: str, in_flight: dict[str, int]) -> None:
        self.sent_at += 1
        assert self.loads.update(peer, PeerLoad(self.sent_at, in_flight), self.now)
        self.received[peer] = (self.now, in_flight)

    @precondition(lambda self: self.received)
    @rule(in_flight=LOADS, data=st.data())
    def receive_outdated_load(self, in_flight: dict[str, int], data: st.DataObject) -> None:
        """An older update that arrives over another path is ignored."""
        peer = data.draw(st.sampled_from(sorted(self.received)))
        if self.now - self.received[peer][0] < 3 * SECOND:
            assert not self.loads.update(peer, PeerLoad(0, in_flight), self.now)

    @rule(peer=st.sampled_from("xyz"))
    def remove_entry(self, peer: str) -> None:
        self.loads.remove(peer)
        self.received.pop(peer, None)

    @rule(passed=st.integers(0, 4 * SECOND))
    def wait(self, passed: int) -> None:
        self.now += passed
        self.loads.forget_stale(self.now)

    @invariant()
    def sums_add_up(self) -> None:
        fresh = [load for at, load in self.received.values() if self.now - at <= 3 * SECOND]
        for backend in BACKENDS:
            assert self.loads.requests_at(backend) == sum(load.get(backend, 0) for load in fresh)
        assert self.loads._sums.keys() <= {backend for load in fresh for backend in load}
        assert self.loads.entries == len(fresh)

    @rule()
    def relay_loads(self) -> None:
        fresh = {p: load for p, (at, load) in self.received.items() if self.now - at <= 3 * SECOND}
        for peer, load in self.loads.take_unrelayed().items():
            assert fresh[peer] == load.in_flight
        assert not self.loads.take_unrelayed()


TestPeerLoads = PeerLoadsMachine.TestCase
