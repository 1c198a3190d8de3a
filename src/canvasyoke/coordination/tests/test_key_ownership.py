import pytest

from canvasyoke.coordination import (
    HolderState,
    IdempotencyCache,
    KeyedRequest,
    Slot,
    check_key,
    slot_of,
)
from canvasyoke.protocol import Outcome, Reason

NOW = 1_000_000
KEY = "01890a5d-ac96-774b-bcce-b302099a8057"
SLOT = slot_of(KEY, 4)


def holder_state(since: int = 0, lease_valid: bool = True, is_held: bool = True) -> HolderState:
    slots = {SLOT: Slot("shelf-1", "run", since)} if is_held else {}
    return HolderState(
        held_slots=slots, slot_count=4, lease_valid=lease_valid, wall_time=NOW, retention=60_000
    )


def request(made: int = NOW, digest: bytes = b"d") -> KeyedRequest:
    return KeyedRequest(KEY, "kibanda", made, digest)


@pytest.mark.parametrize(
    ("holder", "req", "outcome", "reason"),
    [
        (holder_state(is_held=False), request(), Outcome.NOT_RUN, Reason.NOT_HOME),
        (holder_state(lease_valid=False), request(), Outcome.NOT_RUN, Reason.NOT_HOME),
        (holder_state(since=NOW + 1), request(), Outcome.UNKNOWN, Reason.KEY_BEFORE_HOME),
        (holder_state(), request(NOW - 60_001), Outcome.UNKNOWN, Reason.KEY_EXPIRED),
        (holder_state(), request(NOW + 1_001), Outcome.NOT_RUN, Reason.KEY_IN_FUTURE),
    ],
)
def test_ineligible_keys_are_refused(
    holder: HolderState, req: KeyedRequest, outcome: Outcome, reason: Reason
) -> None:
    refusal = check_key(req, holder, IdempotencyCache()).refusal
    assert refusal is not None
    assert (refusal.outcome, refusal.reason) == (outcome, reason)


def test_repeated_key_returns_the_existing_work() -> None:
    cache = IdempotencyCache()
    assert check_key(request(), holder_state(), cache).refusal is None
    cache.begin(request().name, NOW, b"d", "work")
    record = check_key(request(), holder_state(), cache).record
    assert record is not None
    assert record.work == "work"
    cache.finish(request().name, 10)
    assert check_key(request(), holder_state(since=NOW + 1), cache).record is record


def test_reused_key_with_another_request_is_refused() -> None:
    cache = IdempotencyCache()
    cache.begin(request().name, NOW, b"d", "work")
    refusal = check_key(request(digest=b"other"), holder_state(), cache).refusal
    assert refusal is not None
    assert refusal.reason is Reason.KEY_REUSED


def test_evicted_keys_are_refused_and_answers_are_bounded() -> None:
    cache = IdempotencyCache(limit=2, answer_limit=100)
    for number in range(4):
        cache.begin(f"k{number}", NOW + number, b"d", "work")
        cache.finish(f"k{number}", 60)
    cache.evict(horizon=0)
    assert len(cache) == 2
    assert cache.dropped_before == NOW + 2
    refusal = check_key(request(NOW + 1), holder_state(), cache).refusal
    assert refusal is not None
    assert refusal.reason is Reason.KEY_EXPIRED
    kept = [cache.find(f"k{n}") for n in (2, 3)]
    assert sum(record.size for record in kept if record) <= 100


def test_discarded_key_may_run_later() -> None:
    cache = IdempotencyCache()
    cache.begin(request().name, NOW, b"d", "work")
    cache.discard(request().name)
    assert check_key(request(), holder_state(), cache).record is None
