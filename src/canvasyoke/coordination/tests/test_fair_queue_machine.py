"""Stateful test: every request has exactly one outcome and limits are respected."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from canvasyoke import ManualClock
from canvasyoke.coordination import FairQueue, QueuedRequest, QueueUpdate
from canvasyoke.protocol import Outcome


class QueueMachine(RuleBasedStateMachine):
    """Applies queue operations in arbitrary order and tracks the expected state."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.slots, self.limit = 3, 5
        self.queue: FairQueue[int] = FairQueue(self.clock, self.slots, self.limit)
        self.waiting: dict[int, QueuedRequest[int]] = {}
        self.running: dict[int, QueuedRequest[int]] = {}
        self.ended: set[int] = set()
        self.count = 0

    def apply_update(self, update: QueueUpdate[int]) -> None:
        for waiting in update.started:
            assert waiting.item in self.waiting
            self.running[waiting.item] = self.waiting.pop(waiting.item)
        for waiting, refusal in update.refused:
            assert refusal.outcome is Outcome.NOT_RUN
            assert waiting.item not in self.running
            del self.waiting[waiting.item]
            self.ended.add(waiting.item)

    @rule(
        organisation=st.sampled_from("abc"),
        priority=st.integers(0, 7),
        ceiling=st.sampled_from([0, 2]),
        wait=st.integers(0, 3_000),
    )
    def offer(self, organisation: str, priority: int, ceiling: int, wait: int) -> None:
        self.count += 1
        now = self.clock.now()
        share = 1 + "abc".index(organisation)
        waiting = QueuedRequest(self.count, organisation, share, ceiling, priority, now, now + wait)
        self.waiting[self.count] = waiting
        self.apply_update(self.queue.offer(waiting))

    @rule(data=st.data(), is_used=st.booleans())
    def finish_or_release(self, data: st.DataObject, is_used: bool) -> None:
        if not self.running:
            return
        item = data.draw(st.sampled_from(sorted(self.running)))
        waiting = self.running.pop(item)
        self.ended.add(item)
        self.apply_update(
            self.queue.finish(waiting) if is_used else self.queue.release_unused(waiting)
        )

    @rule(data=st.data())
    def try_remove(self, data: st.DataObject) -> None:
        pending = sorted({*self.waiting, *self.running})
        if not pending:
            return
        item = data.draw(st.sampled_from(pending))
        waiting = self.waiting.get(item) or self.running[item]
        assert self.queue.remove(waiting) == (item in self.waiting)
        if self.waiting.pop(item, None) is not None:
            self.ended.add(item)

    @rule(duration=st.integers(0, 2_000))
    def pass_time(self, duration: int) -> None:
        self.clock.advance(duration)
        self.apply_update(self.queue.expire())

    @rule(slots=st.integers(1, 5), limit=st.integers(0, 6))
    def resize(self, slots: int, limit: int) -> None:
        self.slots, self.limit = max(self.slots, slots), max(self.limit, limit)
        self.apply_update(self.queue.resize(self.slots, self.limit))

    @invariant()
    def limits_are_respected(self) -> None:
        assert self.queue.running == len(self.running) <= self.slots
        assert self.queue.waiting == len(self.waiting) <= self.limit

    @invariant()
    def every_request_is_accounted_for(self) -> None:
        assert len(self.waiting) + len(self.running) + len(self.ended) == self.count


QueueMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestQueue = QueueMachine.TestCase
