import pytest

from canvasyoke import ManualClock
from canvasyoke.coordination import FairQueue, QueuedRequest
from canvasyoke.protocol import Outcome, Reason


def make_request(
    clock: ManualClock,
    item: str,
    organisation: str = "a",
    priority: int = 3,
    share: int = 1,
    ceiling: int = 0,
    wait: int = 60_000,
) -> QueuedRequest[str]:
    now = clock.now()
    return QueuedRequest(item, organisation, share, ceiling, priority, now, now + wait)


def drain(queue: FairQueue[str], running: list[QueuedRequest[str]], count: int) -> list[str]:
    """Finish one request after another; return the items in the order they start."""
    order: list[str] = []
    while running and len(order) < count:
        started = queue.finish(running.pop(0)).started
        order += [w.item for w in started]
        running += started
    return order


def test_requests_start_then_wait_then_are_shed() -> None:
    clock = ManualClock()
    queue: FairQueue[str] = FairQueue(clock, slots=1, limit=1)
    assert queue.offer(make_request(clock, "1")).started
    assert not queue.offer(make_request(clock, "2")).refused
    refused = queue.offer(make_request(clock, "3")).refused
    assert [(w.item, r.outcome, r.reason) for w, r in refused] == [
        ("3", Outcome.NOT_RUN, Reason.OVERLOADED)
    ]
    assert refused[0][1].retry_after > 0


def test_shares_are_enforced_under_a_flood() -> None:
    clock = ManualClock()
    queue: FairQueue[str] = FairQueue(clock, slots=1, limit=1_000)
    running = queue.offer(make_request(clock, "flood", "flood")).started
    for _ in range(100):
        queue.offer(make_request(clock, "flood", "flood"))
    clock.advance(5_000)
    for _ in range(10):
        queue.offer(make_request(clock, "small", "small", share=2))
    order = drain(queue, running, 15)
    assert order.count("small") == 10, (
        "a double share gets two thirds of the slots regardless of the backlog's age"
    )


def test_full_queue_sheds_from_the_organisation_furthest_over_its_share() -> None:
    clock = ManualClock()
    queue: FairQueue[str] = FairQueue(clock, slots=1, limit=4)
    for number in range(5):
        queue.offer(make_request(clock, f"flood-{number}", "flood"))
    refused = queue.offer(make_request(clock, "small", "small")).refused
    assert [w.item for w, _ in refused] == ["flood-4"]


def test_priority_order_with_aging() -> None:
    clock = ManualClock()
    queue: FairQueue[str] = FairQueue(clock, slots=1, limit=100)
    running = queue.offer(make_request(clock, "first")).started
    queue.offer(make_request(clock, "late", priority=7))
    queue.offer(make_request(clock, "urgent", priority=0))
    assert drain(queue, running, 1) == ["urgent"]
    clock.advance(4_000)
    queue.offer(make_request(clock, "urgent again", priority=0))
    assert drain(queue, running, 1) == ["late"]


def test_ceiling_is_enforced() -> None:
    clock = ManualClock()
    queue: FairQueue[str] = FairQueue(clock, slots=4, limit=4)
    queue.offer(make_request(clock, "1", ceiling=1))
    ((_, refusal),) = queue.offer(make_request(clock, "2", ceiling=1)).refused
    assert refusal.reason is Reason.OVER_LIMIT


@pytest.mark.parametrize("wait", [50, 5_000])
def test_requests_that_would_miss_their_deadline_are_refused(wait: int) -> None:
    clock = ManualClock()
    queue: FairQueue[str] = FairQueue(clock, slots=1, limit=100)
    running = queue.offer(make_request(clock, "1")).started
    clock.advance(100)
    queue.finish(running[0])
    queue.offer(make_request(clock, "2"))
    refused = queue.offer(make_request(clock, "3", wait=wait)).refused
    assert bool(refused) == (wait < 100)


def test_expired_requests_are_refused_as_not_run() -> None:
    clock = ManualClock()
    queue: FairQueue[str] = FairQueue(clock, slots=1, limit=100)
    queue.offer(make_request(clock, "1"))
    queue.offer(make_request(clock, "2", wait=10))
    clock.advance(10)
    ((expired, refusal),) = queue.expire().refused
    assert (expired.item, refusal.outcome, refusal.reason) == (
        "2",
        Outcome.NOT_RUN,
        Reason.DEADLINE,
    )
    assert queue.waiting == 0
