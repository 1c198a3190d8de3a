"""Slots change hands without a key running twice, whatever fails in between."""

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
from canvasyoke.target._homes import NOTHING, Holding, HomeKeeper, SlotUser, Surrendered
from canvasyoke.target._lease_keeper import LeaseKeeper
from fakes.memory_platform import MemoryPlatform

SLOTS = 8
WALL = 1_700_000_000_000


class Desk(SlotUser):
    """Remembers and runs keys as the real desk does, in the test's own time."""

    def __init__(self) -> None:
        self.memory = IdempotencyCache()
        self.holding = NOTHING

    def hold(self, holding: Holding, inherited: Sequence[HandoverEntry]) -> None:
        self.memory.import_entries(inherited)
        self.holding = holding

    def surrender(self, holding: Holding, slots: Iterable[int]) -> Surrendered:
        keys = {s: self.memory.export_entries(s, self.holding.count) for s in slots}
        self.holding = holding
        return Surrendered(keys, self.memory.dropped_before)


class Target:
    """One target process without sockets."""

    def __init__(
        self, platform: MemoryPlatform, clock: ManualClock, name: str, run: str, address: str = ""
    ) -> None:
        self.desk = Desk()
        self.address = address or name
        self.lease = LeaseKeeper(platform, clock, "shelf", name, run, self.address)
        self._clock = clock
        self.keeper = HomeKeeper(
            platform,
            clock,
            "shelf",
            name,
            lambda: SLOTS,
            self.desk,
            self.lease,
        )

    def step(self) -> None:
        self.keeper.step(SLOTS)

    def run(self, key: str, made: int) -> str:
        """Run a key; return ``ran`` or the reason of the refusal."""
        req = KeyedRequest(key, "org", made, b"d")
        holding = self.desk.holding
        view = HolderState(
            holding.slots, holding.count, self.lease.valid, self._clock.wall(), 600_000
        )
        verdict = check_key(req, view, self.desk.memory)
        if verdict.refusal is not None:
            return verdict.refusal.reason
        if verdict.record is None:
            self.desk.memory.begin(req.name, made, b"d", "work")
            self.desk.memory.finish(req.name, 1)
            return "ran"
        return "joined"


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(start=100_000, wall_offset=WALL)


@pytest.fixture
def platform() -> MemoryPlatform:
    return MemoryPlatform()


def settle(clock: ManualClock, targets: Sequence[Target], seconds: int) -> None:
    for _ in range(seconds):
        for target in targets:
            target.step()
        clock.advance(1_000)


def held(target: Target) -> int:
    return len(target.desk.holding.slots) if target.lease.valid else 0


def key_in(slots: Iterable[int], wall: int, seed: int = 0) -> str:
    """Return a key made at ``wall`` that falls into one of ``slots``."""
    rng = random.Random(seed)
    wanted = set(slots)
    while True:
        key = new_key(wall, rng)
        if slot_of(key, SLOTS) in wanted:
            return key


def test_slots_are_shared_out_evenly(clock: ManualClock, platform: MemoryPlatform) -> None:
    targets = [Target(platform, clock, f"t-{i}", "run") for i in range(3)]
    settle(clock, targets[:1], 2)
    assert held(targets[0]) == SLOTS
    settle(clock, targets, 12)
    assert sorted(held(t) for t in targets) == [2, 3, 3]


def test_planned_stop_hands_keys_over(clock: ManualClock, platform: MemoryPlatform) -> None:
    old, new = Target(platform, clock, "t-1", "run"), Target(platform, clock, "t-2", "run")
    settle(clock, [old], 2)
    made = clock.wall()
    key = key_in(range(SLOTS), made)
    assert old.run(key, made) == "ran"
    old.keeper.release()
    settle(clock, [new], 2)
    assert held(new) == SLOTS
    assert new.run(key, made) == Reason.ANSWER_NOT_KEPT
    assert new.run(key_in(range(SLOTS), made, seed=1), made) == "ran", "made before the move"
    assert not [k for k in platform.objects if k.startswith("handover/")]


def test_killed_holder_s_keys_are_refused(clock: ManualClock, platform: MemoryPlatform) -> None:
    old, new = Target(platform, clock, "t-1", "run"), Target(platform, clock, "t-2", "run")
    settle(clock, [old], 2)
    made = clock.wall()
    key = key_in(range(SLOTS), made)
    assert old.run(key, made) == "ran"
    settle(clock, [new], 10)
    assert held(new) == 0, "the lease has not lapsed"
    settle(clock, [new], 10)
    assert held(new) == SLOTS
    assert new.run(key, made) == Reason.KEY_BEFORE_HOME
    clock.advance(3_000)
    later = clock.wall()
    new.step()
    assert new.run(key_in(range(SLOTS), later), later) == "ran"


def test_paused_holder_wakes_without_its_slots(
    clock: ManualClock, platform: MemoryPlatform
) -> None:
    paused, new = Target(platform, clock, "t-1", "run"), Target(platform, clock, "t-2", "run")
    settle(clock, [paused], 2)
    settle(clock, [new], 25)
    assert held(new) == SLOTS
    made = clock.wall()
    key = key_in(range(SLOTS), made)
    assert paused.run(key, made) == Reason.NOT_HOME, "before it has looked at anything"
    paused.step()
    assert held(paused) == 0
    settle(clock, [paused, new], 8)
    assert held(paused) + held(new) == SLOTS
    assert not set(paused.desk.holding.slots) & set(new.desk.holding.slots)


def test_holder_that_wakes_while_its_slots_are_being_taken(
    clock: ManualClock, platform: MemoryPlatform
) -> None:
    """It wins its lease back before the table is written, then hears nothing more."""
    paused, new = Target(platform, clock, "t-1", "run"), Target(platform, clock, "t-2", "run")
    settle(clock, [paused, new], 12)
    assert held(paused) == held(new) == SLOTS // 2
    settle(clock, [new], 15)

    def wake() -> None:
        paused.step()  # finds its lease broken
        clock.advance(3_000)
        paused.step()  # has one again, and reads a table that still names it

    platform.before_write["homes/shelf"] = wake
    settle(clock, [new], 4)
    clock.advance(3_000)
    made = clock.wall()
    for slot in range(SLOTS):
        key = key_in([slot], made)
        assert [new.run(key, made), paused.run(key, made)].count("ran") == 1


def test_restart_at_the_same_address_takes_over_at_once(
    clock: ManualClock, platform: MemoryPlatform
) -> None:
    old = Target(platform, clock, "t-1", "run-1", "10.0.0.1:1")
    settle(clock, [old], 2)
    made = clock.wall()
    again = Target(platform, clock, "t-1", "run-2", "10.0.0.1:1")
    again.step()
    assert held(again) == SLOTS
    assert again.run(key_in(range(SLOTS), made), made) == Reason.KEY_BEFORE_HOME


def test_replacement_at_another_address_waits_for_the_lease(
    clock: ManualClock, platform: MemoryPlatform
) -> None:
    old = Target(platform, clock, "t-1", "run-1", "10.0.0.1:1")
    settle(clock, [old], 2)
    replaced = Target(platform, clock, "t-1", "run-2", "10.0.0.2:1")
    settle(clock, [replaced], 10)
    assert held(old) == SLOTS or not old.lease.valid
    assert held(replaced) == 0
    settle(clock, [replaced], 12)
    assert held(replaced) == SLOTS
    old.step()
    assert held(old) == 0


def test_lease_runs_down_while_the_platform_is_out(
    clock: ManualClock, platform: MemoryPlatform
) -> None:
    target = Target(platform, clock, "t-1", "run")
    settle(clock, [target], 2)
    platform.down = True
    settle(clock, [target], 10)
    assert held(target) == SLOTS, "nobody can have taken them yet"
    settle(clock, [target], 10)
    assert held(target) == 0
    platform.down = False
    target.step()
    made = clock.wall()
    assert held(target) == SLOTS
    assert target.run(key_in(range(SLOTS), made), made) == "ran", "nobody was in between"


@pytest.mark.parametrize("seed", range(30))
def test_no_key_runs_twice_through_any_mix_of_faults(seed: int) -> None:
    """Kills, pauses, planned stops, lost answers and outages, in seeded disorder."""
    rng = random.Random(seed)
    clock = ManualClock(start=100_000, wall_offset=WALL)
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
            # Killed; only a process that is dead leaves its address to another.
            live[index] = Target(
                platform, clock, f"t-{index}", f"later-{step}", live[index].address
            )
        elif event < 0.10:
            live[index].keeper.release()
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


def test_holders_that_share_what_was_given_back_remember_its_keys(
    clock: ManualClock, platform: MemoryPlatform
) -> None:
    """One object tells of several slots; it goes with the last of them."""
    old = Target(platform, clock, "t-1", "run")
    settle(clock, [old], 2)
    made = clock.wall()
    keys = [key_in([slot], made) for slot in range(SLOTS)]
    assert {old.run(key, made) for key in keys} == {"ran"}
    new = [Target(platform, clock, f"t-{i}", "run") for i in (2, 3)]
    settle(clock, new, 1)  # both have leases, and neither has a slot
    old.keeper.release()
    settle(clock, new, 5)
    assert sorted(held(each) for each in new) == [SLOTS // 2, SLOTS // 2]
    for key in keys:
        verdicts = {each.run(key, made) for each in new}
        assert verdicts == {Reason.NOT_HOME, Reason.ANSWER_NOT_KEPT}
    assert not [key for key in platform.objects if key.startswith("handover/")]


def test_a_holder_to_be_looks_again_soon(clock: ManualClock, platform: MemoryPlatform) -> None:
    """A slot that is given back waits for the next reading; a second is long for a caller."""
    old, new = Target(platform, clock, "t-1", "run"), Target(platform, clock, "t-2", "run")
    settle(clock, [old], 2)
    new.step()
    assert (held(new), new.keeper.pause) == (0, 200)
    settle(clock, [old, new], 6)
    assert (held(old), old.keeper.pause) == (SLOTS // 2, 1_000)
    assert (held(new), new.keeper.pause) == (SLOTS // 2, 1_000)


def test_uneven_shares_are_not_waited_for(clock: ManualClock, platform: MemoryPlatform) -> None:
    targets = [Target(platform, clock, f"t-{i}", "run") for i in range(3)]
    settle(clock, targets, 12)
    assert {each.keeper.pause for each in targets} == {1_000}
