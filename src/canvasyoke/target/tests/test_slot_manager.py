"""Tests that no key runs twice when slots move between holders, under faults."""

import random
from collections.abc import Iterable, Sequence

import pytest

from canvasyoke import ManualClock
from canvasyoke.coordination import (
    HandoverEntry,
    HolderState,
    IdempotencyCache,
    KeyedRequest,
    check_key,
    slot_of,
)
from canvasyoke.protocol import Reason, new_key
from canvasyoke.target._lease_manager import LeaseManager
from canvasyoke.target._slot_manager import (
    NO_SLOTS,
    Holding,
    ReleasedKeys,
    SlotConsumer,
    SlotManager,
)
from fakes.memory_platform import MemoryPlatform

SLOTS = 8
WALL_OFFSET = 1_700_000_000_000


class FakeConsumer(SlotConsumer):
    """Caches keys like the real scheduler, without running requests."""

    def __init__(self) -> None:
        self.cache = IdempotencyCache()
        self.holding = NO_SLOTS

    def apply_holding(self, holding: Holding, inherited_keys: Sequence[HandoverEntry]) -> None:
        self.cache.import_entries(inherited_keys)
        self.holding = holding

    def release_slots(self, holding: Holding, slots: Iterable[int]) -> ReleasedKeys:
        keys = {s: self.cache.export_entries(s, self.holding.count) for s in slots}
        self.holding = holding
        return ReleasedKeys(keys, self.cache.dropped_before)


class Target:
    """A target process without sockets."""

    def __init__(
        self, platform: MemoryPlatform, clock: ManualClock, name: str, run: str, address: str = ""
    ) -> None:
        self.consumer = FakeConsumer()
        self.address = address or name
        self.lease = LeaseManager(platform, clock, "shelf", name, run, self.address)
        self._clock = clock
        self.manager = SlotManager(
            platform,
            clock,
            "shelf",
            name,
            lambda: SLOTS,
            self.consumer,
            self.lease,
        )

    def step(self) -> None:
        self.manager.step(SLOTS)

    def run(self, key: str, made: int) -> str:
        """Run a key; return ``ran``, ``joined`` or the reason of the refusal."""
        keyed_request = KeyedRequest(key, "org", made, b"d")
        holding = self.consumer.holding
        holder = HolderState(
            holding.slots, holding.count, self.lease.valid, self._clock.wall(), 600_000
        )
        decision = check_key(keyed_request, holder, self.consumer.cache)
        if decision.refusal is not None:
            return decision.refusal.reason
        if decision.record is None:
            self.consumer.cache.begin(keyed_request.name, made, b"d", "work")
            self.consumer.cache.finish(keyed_request.name, 1)
            return "ran"
        return "joined"


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(start=100_000, wall_offset=WALL_OFFSET)


@pytest.fixture
def platform() -> MemoryPlatform:
    return MemoryPlatform()


def run_steps(clock: ManualClock, targets: Sequence[Target], seconds: int) -> None:
    for _ in range(seconds):
        for target in targets:
            target.step()
        clock.advance(1_000)


def held_count(target: Target) -> int:
    return len(target.consumer.holding.slots) if target.lease.valid else 0


def key_in(slots: Iterable[int], wall: int, seed: int = 0) -> str:
    """Return a key made at ``wall`` that falls into one of ``slots``."""
    rng = random.Random(seed)
    wanted_slots = set(slots)
    while True:
        key = new_key(wall, rng)
        if slot_of(key, SLOTS) in wanted_slots:
            return key


def test_slots_are_distributed_evenly(clock: ManualClock, platform: MemoryPlatform) -> None:
    targets = [Target(platform, clock, f"t-{i}", "run") for i in range(3)]
    run_steps(clock, targets[:1], 2)
    assert held_count(targets[0]) == SLOTS
    run_steps(clock, targets, 12)
    assert sorted(held_count(t) for t in targets) == [2, 3, 3]


def test_planned_stop_hands_over_keys(clock: ManualClock, platform: MemoryPlatform) -> None:
    old, new = Target(platform, clock, "t-1", "run"), Target(platform, clock, "t-2", "run")
    run_steps(clock, [old], 2)
    made = clock.wall()
    key = key_in(range(SLOTS), made)
    assert old.run(key, made) == "ran"
    old.manager.release()
    run_steps(clock, [new], 2)
    assert held_count(new) == SLOTS
    assert new.run(key, made) == Reason.ANSWER_NOT_KEPT
    assert new.run(key_in(range(SLOTS), made, seed=1), made) == "ran", "created before the handover"
    assert not [k for k in platform.objects if k.startswith("handover/")]


def test_keys_of_a_killed_holder_are_refused(clock: ManualClock, platform: MemoryPlatform) -> None:
    old, new = Target(platform, clock, "t-1", "run"), Target(platform, clock, "t-2", "run")
    run_steps(clock, [old], 2)
    made = clock.wall()
    key = key_in(range(SLOTS), made)
    assert old.run(key, made) == "ran"
    run_steps(clock, [new], 10)
    assert held_count(new) == 0, "the lease has not expired yet"
    run_steps(clock, [new], 10)
    assert held_count(new) == SLOTS
    assert new.run(key, made) == Reason.KEY_BEFORE_HOME
    clock.advance(3_000)
    later = clock.wall()
    new.step()
    assert new.run(key_in(range(SLOTS), later), later) == "ran"


def test_paused_holder_loses_its_slots(clock: ManualClock, platform: MemoryPlatform) -> None:
    paused, new = Target(platform, clock, "t-1", "run"), Target(platform, clock, "t-2", "run")
    run_steps(clock, [paused], 2)
    run_steps(clock, [new], 25)
    assert held_count(new) == SLOTS
    made = clock.wall()
    key = key_in(range(SLOTS), made)
    assert paused.run(key, made) == Reason.NOT_HOME, "expired lease, before its next step"
    paused.step()
    assert held_count(paused) == 0
    run_steps(clock, [paused, new], 8)
    assert held_count(paused) + held_count(new) == SLOTS
    assert not set(paused.consumer.holding.slots) & set(new.consumer.holding.slots)


def test_holder_resumes_while_its_slots_are_being_taken(
    clock: ManualClock, platform: MemoryPlatform
) -> None:
    """The holder regains its lease just before the table write that takes its slots."""
    paused, new = Target(platform, clock, "t-1", "run"), Target(platform, clock, "t-2", "run")
    run_steps(clock, [paused, new], 12)
    assert held_count(paused) == held_count(new) == SLOTS // 2
    run_steps(clock, [new], 15)

    def resume() -> None:
        paused.step()  # detects that its lease was revoked
        clock.advance(3_000)
        paused.step()  # renews, and reads a table that still lists it as holder

    platform.before_write["homes/shelf"] = resume
    run_steps(clock, [new], 4)
    clock.advance(3_000)
    made = clock.wall()
    for slot in range(SLOTS):
        key = key_in([slot], made)
        assert [new.run(key, made), paused.run(key, made)].count("ran") == 1


def test_restart_at_the_same_address_takes_over_immediately(
    clock: ManualClock, platform: MemoryPlatform
) -> None:
    old = Target(platform, clock, "t-1", "run-1", "10.0.0.1:1")
    run_steps(clock, [old], 2)
    made = clock.wall()
    restarted = Target(platform, clock, "t-1", "run-2", "10.0.0.1:1")
    restarted.step()
    assert held_count(restarted) == SLOTS
    assert restarted.run(key_in(range(SLOTS), made), made) == Reason.KEY_BEFORE_HOME


def test_replacement_at_another_address_waits_for_lease_expiry(
    clock: ManualClock, platform: MemoryPlatform
) -> None:
    old = Target(platform, clock, "t-1", "run-1", "10.0.0.1:1")
    run_steps(clock, [old], 2)
    replacement = Target(platform, clock, "t-1", "run-2", "10.0.0.2:1")
    run_steps(clock, [replacement], 10)
    assert held_count(old) == SLOTS or not old.lease.valid
    assert held_count(replacement) == 0
    run_steps(clock, [replacement], 12)
    assert held_count(replacement) == SLOTS
    old.step()
    assert held_count(old) == 0


def test_lease_expires_during_a_platform_outage(
    clock: ManualClock, platform: MemoryPlatform
) -> None:
    target = Target(platform, clock, "t-1", "run")
    run_steps(clock, [target], 2)
    platform.down = True
    run_steps(clock, [target], 10)
    assert held_count(target) == SLOTS, "the lease has not expired yet"
    run_steps(clock, [target], 10)
    assert held_count(target) == 0
    platform.down = False
    target.step()
    made = clock.wall()
    assert held_count(target) == SLOTS
    assert target.run(key_in(range(SLOTS), made), made) == "ran", "no other target held the slots"


@pytest.mark.parametrize("seed", range(30))
def test_no_key_runs_twice_under_random_faults(seed: int) -> None:
    """Random kills, pauses, planned stops, lost answers and outages; seeded."""
    rng = random.Random(seed)
    clock = ManualClock(start=100_000, wall_offset=WALL_OFFSET)
    platform = MemoryPlatform()
    live = [Target(platform, clock, f"t-{i}", f"run-{i}") for i in range(3)]
    paused: list[Target] = []
    runs: dict[str, int] = {}
    keys: list[tuple[str, int]] = []
    for step in range(150):
        clock.advance(rng.choice([200, 1_000, 1_000, 4_000]))
        event = rng.random()
        index = rng.randrange(3)
        if event < 0.06:
            # Killed: its replacement can bind the same address.
            live[index] = Target(
                platform, clock, f"t-{index}", f"later-{step}", live[index].address
            )
        elif event < 0.10:
            live[index].manager.release()
            live[index] = Target(
                platform, clock, f"t-{index}", f"later-{step}", live[index].address
            )
        elif event < 0.14:
            paused.append(live[index])
            address = f"other-{step}"
            live[index] = Target(platform, clock, f"t-{index}", f"later-{step}", address)
        elif event < 0.18:
            platform.lose_answers = rng.randrange(1, 6)
        platform.down = event > 0.93
        for target in rng.sample(live, 3):
            if rng.random() < 0.8:
                target.step()
        made = clock.wall() + rng.randrange(-500, 500)
        keys.append((new_key(made, rng), made))
        for key, key_made in [keys[-1], *rng.choices(keys[-20:], k=4)]:
            for target in [*live, *paused]:
                if target.run(key, key_made) == "ran":
                    runs[key] = runs.get(key, 0) + 1
    assert max(runs.values()) == 1
    assert len(runs) > 20


def test_slots_of_one_handover_object_can_go_to_several_holders(
    clock: ManualClock, platform: MemoryPlatform
) -> None:
    """The object is deleted when its last slot has been taken."""
    old = Target(platform, clock, "t-1", "run")
    run_steps(clock, [old], 2)
    made = clock.wall()
    keys = [key_in([slot], made) for slot in range(SLOTS)]
    assert {old.run(key, made) for key in keys} == {"ran"}
    new = [Target(platform, clock, f"t-{i}", "run") for i in (2, 3)]
    run_steps(clock, new, 1)  # both hold leases but no slots
    old.manager.release()
    run_steps(clock, new, 5)
    assert sorted(held_count(each) for each in new) == [SLOTS // 2, SLOTS // 2]
    for key in keys:
        results = {each.run(key, made) for each in new}
        assert results == {Reason.NOT_HOME, Reason.ANSWER_NOT_KEPT}
    assert not [key for key in platform.objects if key.startswith("handover/")]


def test_polls_faster_while_slots_are_expected(
    clock: ManualClock, platform: MemoryPlatform
) -> None:
    """Requests for a released slot wait until its next holder reads the table."""
    old, new = Target(platform, clock, "t-1", "run"), Target(platform, clock, "t-2", "run")
    run_steps(clock, [old], 2)
    new.step()
    assert (held_count(new), new.manager.poll_delay) == (0, 200)
    run_steps(clock, [old, new], 6)
    assert (held_count(old), old.manager.poll_delay) == (SLOTS // 2, 1_000)
    assert (held_count(new), new.manager.poll_delay) == (SLOTS // 2, 1_000)


def test_polls_normally_with_uneven_fair_shares(
    clock: ManualClock, platform: MemoryPlatform
) -> None:
    targets = [Target(platform, clock, f"t-{i}", "run") for i in range(3)]
    run_steps(clock, targets, 12)
    assert {each.manager.poll_delay for each in targets} == {1_000}
