"""Which state of a backend wins after the store was restored from an older copy."""

from __future__ import annotations

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.direct._known_backends import BackendChange, KnownBackends
from canvasyoke.direct._store_restore import StoreRestore
from canvasyoke.state import Endpoint, EndpointState, store_position

READY, LEAVING = EndpointState.READY, EndpointState.LEAVING
#: Milliseconds after a restore: past both grace periods, and within both.
SETTLED, RESTORED = 5_000, 100


def at(era: int, position: int) -> int:
    return store_position(era, position)


def backend(position: int, state: EndpointState = READY, started: int = 0) -> Endpoint:
    return Endpoint("b", "ink", "10.0.0.1:1", "nbo-a", 6, state, position, started)


class RestoredList:
    """One entry's list of backends after a restore from position 122 to 6."""

    def __init__(self, before: Endpoint | None, later: int = RESTORED) -> None:
        self.clock = ManualClock(start=100_000)
        self.known = KnownBackends(StoreRestore(self.clock))
        self.known.merge([backend(at(0, 5))], at(0, 5))
        if before is None:
            self.known.remove("b", at(0, 122))
        else:
            self.known.put(before)
        self.known.advance_to(at(0, 122))
        self.known.advance_to(at(1, 6))
        self.clock.advance(later)

    def state(self) -> EndpointState | None:
        found = self.known._endpoints.get("b")
        return found.state if found is not None else None


#: Known state, time since the restore, the store's state, and the state that wins.
CASES: list[tuple[str, Endpoint | None, int, Endpoint, EndpointState | None]] = [
    ("it leaves", backend(at(0, 122), LEAVING), RESTORED, backend(at(1, 6)), LEAVING),
    ("it has ended", None, RESTORED, backend(at(1, 6)), None),
    ("it leaves, long ago", backend(at(0, 122), LEAVING), SETTLED, backend(at(1, 6)), READY),
    ("it has ended, long ago", None, SETTLED, backend(at(1, 6)), READY),
    (
        "another run of it",
        backend(at(0, 122), LEAVING, started=1),
        RESTORED,
        backend(at(1, 7), started=2),
        READY,
    ),
    ("it is ready", backend(at(0, 122)), RESTORED, backend(at(1, 7), LEAVING), LEAVING),
]


@pytest.mark.parametrize(("case", "before", "later", "update", "winner"), CASES)
def test_the_store_s_state_after_a_restore(
    case: str,
    before: Endpoint | None,
    later: int,
    update: Endpoint,
    winner: EndpointState | None,
) -> None:
    restored = RestoredList(before, later)
    restored.known.put(update)
    assert restored.state() is winner


@pytest.mark.parametrize("gone", [False, True], ids=["it leaves", "it has ended"])
def test_a_late_end_from_before_the_restore_wins(gone: bool) -> None:
    """The end was written before the restore and is missing in the copy."""
    restored = RestoredList(backend(at(0, 5)))
    restored.known.put(backend(at(1, 6)))
    late = BackendChange(backend(at(0, 121), LEAVING), gone, at(0, 121))
    assert restored.known.apply_peer_change(late)
    assert restored.state() is (None if gone else LEAVING)


def test_a_late_end_of_another_run_is_ignored() -> None:
    restored = RestoredList(backend(at(0, 122), started=2))
    restored.known.put(backend(at(1, 6), started=2))
    late = BackendChange(backend(at(0, 121), LEAVING, started=1), False, at(0, 121))
    assert not restored.known.apply_peer_change(late)
    assert restored.state() is READY


@pytest.mark.parametrize("before", [backend(at(0, 122), LEAVING), None], ids=["leaves", "ended"])
def test_an_entry_that_relies_on_the_copy_is_corrected(before: Endpoint | None) -> None:
    restored = RestoredList(before)
    news = BackendChange(backend(at(1, 6)), False, at(1, 6))
    assert not restored.known.apply_peer_change(news)
    answer = restored.known.refute(news)
    assert answer is not None
    assert answer.gone is (before is None)
    assert answer.gone or answer.endpoint.state is LEAVING
    # The other entry has read the backend from the copy, at the same position.
    other = KnownBackends(StoreRestore(restored.clock))
    other.merge([backend(at(1, 6))], at(1, 6))
    assert other.apply_peer_change(answer)
    assert other.refute(answer) is None, "a correction is not answered"


def test_backends_from_before_the_restore_are_not_refuted() -> None:
    """The copy may lack it, and an entry started since the restore knows only the copy."""
    newcomer = KnownBackends(StoreRestore(ManualClock(start=100_000)))
    newcomer.merge([], at(1, 6))
    news = BackendChange(backend(at(0, 121)), False, at(0, 121))
    assert not newcomer.apply_peer_change(news)
    assert newcomer.refute(news) is None


@pytest.mark.parametrize("later", [RESTORED, SETTLED], ids=["before", "long after"])
def test_an_end_heard_from_a_peer_outweighs_the_copy_until_it_has_settled(later: int) -> None:
    """Another entry that has read the copy first tells an end at the position of the copy."""
    restored = RestoredList(None, later=RESTORED)
    end = BackendChange(backend(at(1, 6)), True, at(1, 6), was_lost=True)
    assert restored.known.apply_peer_change(end)
    restored.clock.advance(later)
    restored.known.merge_from_store([backend(at(1, 6))], at(1, 6))
    assert restored.state() is (None if later == RESTORED else READY)


def test_an_end_after_the_restore_does_not_outweigh_a_later_entry() -> None:
    restored = RestoredList(backend(at(1, 6)))
    end = BackendChange(backend(at(1, 8)), True, at(1, 8))
    assert restored.known.apply_peer_change(end)
    restored.known.put(backend(at(1, 9)))
    assert restored.state() is READY
