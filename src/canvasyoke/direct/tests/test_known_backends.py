"""Whose word counts while the store is just back from an older copy."""

from __future__ import annotations

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.direct._known_backends import BackendChange, KnownBackends
from canvasyoke.direct._store_restore import StoreRestore
from canvasyoke.state import Endpoint, EndpointState, store_position

READY, LEAVING = EndpointState.READY, EndpointState.LEAVING
#: Milliseconds after a return: both have to be over, and neither.
SETTLED, RETURNED = 5_000, 100


def at(era: int, position: int) -> int:
    return store_position(era, position)


def backend(position: int, state: EndpointState = READY, started: int = 0) -> Endpoint:
    return Endpoint("b", "ink", "10.0.0.1:1", "nbo-a", 6, state, position, started)


class Known:
    """One entry's list, through a return from position 122 to 6."""

    def __init__(self, before: Endpoint | None, later: int = RETURNED) -> None:
        self.clock = ManualClock(start=100_000)
        self.known = KnownBackends(StoreRestore(self.clock))
        self.known.merge([backend(at(0, 5))], at(0, 5))
        if before is None:
            self.known.remove("b", at(0, 122))
        else:
            self.known.put(before)
        self.known.knows_up_to(at(0, 122))
        self.known.knows_up_to(at(1, 6))
        self.clock.advance(later)

    def state(self) -> EndpointState | None:
        found = self.known._endpoints.get("b")
        return found.state if found is not None else None


#: What was known, how long after the return, the store's word, and what counts.
WORDS: list[tuple[str, Endpoint | None, int, Endpoint, EndpointState | None]] = [
    ("it leaves", backend(at(0, 122), LEAVING), RETURNED, backend(at(1, 6)), LEAVING),
    ("it has ended", None, RETURNED, backend(at(1, 6)), None),
    ("it leaves, long ago", backend(at(0, 122), LEAVING), SETTLED, backend(at(1, 6)), READY),
    ("it has ended, long ago", None, SETTLED, backend(at(1, 6)), READY),
    (
        "another run of it",
        backend(at(0, 122), LEAVING, started=1),
        RETURNED,
        backend(at(1, 7), started=2),
        READY,
    ),
    ("it is ready", backend(at(0, 122)), RETURNED, backend(at(1, 7), LEAVING), LEAVING),
]


@pytest.mark.parametrize(("case", "before", "later", "word", "counts"), WORDS)
def test_the_store_s_word_after_a_return(
    case: str,
    before: Endpoint | None,
    later: int,
    word: Endpoint,
    counts: EndpointState | None,
) -> None:
    known = Known(before, later)
    known.known.put(word)
    assert known.state() is counts


@pytest.mark.parametrize("gone", [False, True], ids=["it leaves", "it has ended"])
def test_late_word_of_the_era_before_that_it_ends_counts(gone: bool) -> None:
    """It came to be before the store's return, and the copy does not know it."""
    known = Known(backend(at(0, 5)))
    known.known.put(backend(at(1, 6)))
    late = BackendChange(backend(at(0, 121), LEAVING), gone, at(0, 121))
    assert known.known.hear(late)
    assert known.state() is (None if gone else LEAVING)


def test_late_word_of_another_run_does_not_count() -> None:
    known = Known(backend(at(0, 122), started=2))
    known.known.put(backend(at(1, 6), started=2))
    late = BackendChange(backend(at(0, 121), LEAVING, started=1), False, at(0, 121))
    assert not known.known.hear(late)
    assert known.state() is READY


@pytest.mark.parametrize("before", [backend(at(0, 122), LEAVING), None], ids=["leaves", "ended"])
def test_who_goes_by_the_copy_is_put_right(before: Endpoint | None) -> None:
    known = Known(before)
    news = BackendChange(backend(at(1, 6)), False, at(1, 6))
    assert not known.known.hear(news)
    answer = known.known.refute(news)
    assert answer is not None
    assert answer.gone is (before is None)
    assert answer.gone or answer.endpoint.state is LEAVING
    # The other one has it from the copy, at the same position.
    other = KnownBackends(StoreRestore(known.clock))
    other.merge([backend(at(1, 6))], at(1, 6))
    assert other.hear(answer)
    assert other.refute(answer) is None, "no word back"


def test_nobody_denies_a_backend_of_before_the_return() -> None:
    """The copy may lack it; an entry that started since knows no more than the copy."""
    newcomer = KnownBackends(StoreRestore(ManualClock(start=100_000)))
    newcomer.merge([], at(1, 6))
    news = BackendChange(backend(at(0, 121)), False, at(0, 121))
    assert not newcomer.hear(news)
    assert newcomer.refute(news) is None
