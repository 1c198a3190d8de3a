import pytest

from canvasyoke.coordination import (
    HomeView,
    KeyedRequest,
    KeyMemory,
    Slot,
    check_key,
    slot_of,
)
from canvasyoke.protocol import Outcome, Reason

NOW = 1_000_000
KEY = "01890a5d-ac96-774b-bcce-b302099a8057"
SLOT = slot_of(KEY, 4)


def view(since: int = 0, lease: bool = True, held: bool = True) -> HomeView:
    slots = {SLOT: Slot("shelf-1", "run", since)} if held else {}
    return HomeView(held=slots, slots=4, lease_valid=lease, wall=NOW, keep=60_000)


def request(made: int = NOW, digest: bytes = b"d") -> KeyedRequest:
    return KeyedRequest(KEY, "kibanda", made, digest)


@pytest.mark.parametrize(
    ("home", "req", "outcome", "reason"),
    [
        (view(held=False), request(), Outcome.NOT_RUN, Reason.NOT_HOME),
        (view(lease=False), request(), Outcome.NOT_RUN, Reason.NOT_HOME),
        (view(since=NOW + 1), request(), Outcome.UNKNOWN, Reason.KEY_BEFORE_HOME),
        (view(), request(NOW - 60_001), Outcome.UNKNOWN, Reason.KEY_EXPIRED),
        (view(), request(NOW + 1_001), Outcome.NOT_RUN, Reason.KEY_IN_FUTURE),
    ],
)
def test_refusals(home: HomeView, req: KeyedRequest, outcome: Outcome, reason: Reason) -> None:
    refusal = check_key(req, home, KeyMemory()).refusal
    assert refusal is not None
    assert (refusal.outcome, refusal.reason) == (outcome, reason)


def test_key_runs_once_then_joins() -> None:
    memory = KeyMemory()
    assert check_key(request(), view(), memory).refusal is None
    memory.begin(request().name, NOW, b"d", "work")
    record = check_key(request(), view(), memory).record
    assert record is not None
    assert record.work == "work"
    memory.finish(request().name, 10)
    assert check_key(request(), view(since=NOW + 1), memory).record is record


def test_key_for_another_request_is_refused() -> None:
    memory = KeyMemory()
    memory.begin(request().name, NOW, b"d", "work")
    refusal = check_key(request(digest=b"other"), view(), memory).refusal
    assert refusal is not None
    assert refusal.reason is Reason.KEY_REUSED


def test_dropped_keys_are_refused_and_answers_are_bounded() -> None:
    memory = KeyMemory(limit=2, answer_limit=100)
    for number in range(4):
        memory.begin(f"k{number}", NOW + number, b"d", "work")
        memory.finish(f"k{number}", 60)
    memory.trim(horizon=0)
    assert len(memory) == 2
    assert memory.dropped_before == NOW + 2
    refusal = check_key(request(NOW + 1), view(), memory).refusal
    assert refusal is not None
    assert refusal.reason is Reason.KEY_EXPIRED
    kept = [memory.find(f"k{n}") for n in (2, 3)]
    assert sum(record.size for record in kept if record) <= 100


def test_forgotten_key_may_run_later() -> None:
    memory = KeyMemory()
    memory.begin(request().name, NOW, b"d", "work")
    memory.forget(request().name)
    assert check_key(request(), view(), memory).record is None
