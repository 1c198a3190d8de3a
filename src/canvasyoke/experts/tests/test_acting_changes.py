"""An owner that resumes and a standby that acts may interleave at any order: one map a step."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Mapping, Set

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from canvasyoke.experts import Armed, MapOrder, MapOrderKind, OrderOutcome, RankReport
from canvasyoke.experts._acting_group import _with_effect
from canvasyoke.experts._change import MapChanger
from canvasyoke.experts._change_types import HOLD_RANK, OWNER_RANK, ChangeResult
from canvasyoke.experts._fences import FenceSequence
from canvasyoke.experts._group import NewMap, OrderResult
from canvasyoke.experts._hold_control import HoldControl
from canvasyoke.experts._hold_ledger import HoldLedger
from canvasyoke.experts._rollback import RollbackControl
from canvasyoke.experts.tests.group_model import (
    GroupModel,
    MapMismatchError,
    ModelRankGroup,
    OwnerDiedError,
    Rank,
)

#: Milliseconds by which reports of the owner's rank lag in the model, and that the standby allows.
LAG, ALLOWED_LAG = 300, 500


class _StandbysGroup(ModelRankGroup):
    """The group as the standby reaches it: the owner's rank by calls to its engine."""

    def __init__(self, model: GroupModel, lagging: frozenset[int] = frozenset()) -> None:
        super().__init__(model, own_rank=HOLD_RANK)
        self._lagging = lagging | {OWNER_RANK}

    @property
    def owner_report_lag(self) -> int:
        return ALLOWED_LAG

    def _report(self, rank: Rank) -> RankReport:
        return self._report_of(rank, LAG if rank.number in self._lagging else 0)

    def send_orders(
        self, orders: Mapping[int, MapOrder], timeout: int
    ) -> Mapping[int, OrderResult]:
        results = dict(super().send_orders(orders, timeout))
        if OWNER_RANK in results:
            results[OWNER_RANK] = _with_effect(orders[OWNER_RANK], results[OWNER_RANK])
        return results


class _Process:
    """Runs a changer in a thread that goes on only when it is given a turn."""

    def __init__(self, body: Callable[[], None]) -> None:
        self._turn, self._back = threading.Semaphore(0), threading.Semaphore(0)
        self._is_killed = False
        self._body = body
        self.fault: BaseException | None = None
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        try:
            self.wait_for_turn()
            self._body()
        except OwnerDiedError:
            pass
        except MapMismatchError as exc:
            self.fault = exc
        finally:
            self._is_killed = True
            self._back.release()

    def wait_for_turn(self) -> None:
        self._turn.acquire()
        if self._is_killed:
            raise OwnerDiedError

    def end_turn(self) -> None:
        self._back.release()
        self.wait_for_turn()

    @property
    def is_alive(self) -> bool:
        return not self._is_killed

    def run(self, turns: int) -> None:
        for _ in range(turns):
            if not self.is_alive:
                break
            self._turn.release()
            self._back.acquire()
        if self.fault is not None:
            raise self.fault

    def kill(self) -> None:
        if self.is_alive:
            self._is_killed = True
            self._turn.release()
            self._back.acquire()


class _Model(GroupModel):
    """A group whose time passes in the turns of the processes."""

    current: _Process | None = None

    def advance(self) -> None:
        super().advance()
        if self.current is not None:
            process = self.current
            process.end_turn()


class ActingChanges(RuleBasedStateMachine):
    """Silence, resumption, lost and late orders, deaths and re-formed groups."""

    requires_fencing = True

    def __init__(self) -> None:
        super().__init__()
        self.model = _Model(
            3,
            random.Random(0),
            unanswered_rate=0.1,
            delay_rate=0.15,
            loss_rate=0.1,
            requires_fencing=self.requires_fencing,
        )
        self.model.arrival_rate = 0.1
        self.number = 0
        self.standby_holds = HoldLedger()
        self.owner = _Process(self.own)
        self.standby = _Process(lambda: None)
        self.turn(self.standby, 1)

    def turn(self, process: _Process, turns: int) -> None:
        self.model.current = process
        try:
            process.run(turns)
        finally:
            self.model.current = None

    def changer(self, group: ModelRankGroup, holds: HoldLedger) -> tuple[MapChanger, FenceSequence]:
        self.number += 1
        fences = FenceSequence(self.number * 100_000)
        clock = self.model.clock
        changer = MapChanger(group, self.model.epoch, fences, clock, group.pause, holds)
        return changer, fences

    def own(self) -> None:
        """The owner's process: takes ownership anew whenever it is replaced."""
        holds = HoldLedger()
        while True:
            changer, fences = self.changer(ModelRankGroup(self.model), holds)
            if self.recover(changer):
                while changer.change(self.new_map(fences)) not in _LOST:
                    self.recover(changer)

    def act(self) -> None:
        """The standby: acts until it is replaced."""
        changer, fences = self.changer(_StandbysGroup(self.model), self.standby_holds)
        if self.recover(changer):
            while changer.change(self.new_map(fences)) not in _LOST:
                pass

    def recover(self, changer: MapChanger) -> bool:
        result = changer.recover()
        while result is ChangeResult.NOT_HELD:
            self.model.advance()
            result = changer.recover()
        return result not in _LOST

    def new_map(self, fences: FenceSequence) -> NewMap:
        return NewMap(fences.next(), ((),), copy_time=0)

    @rule(seed=st.integers(0, 1 << 30), turns=st.integers(1, 40))
    def owner_runs(self, seed: int, turns: int) -> None:
        self.model.rng = random.Random(seed)
        self.turn(self.owner, turns)

    @rule(seed=st.integers(0, 1 << 30), turns=st.integers(1, 60))
    def standby_acts(self, seed: int, turns: int) -> None:
        self.model.rng = random.Random(seed)
        if not self.standby.is_alive:
            self.standby = _Process(self.act)
        self.turn(self.standby, turns)

    @rule(seed=st.integers(0, 1 << 30), turns=st.integers(5, 100))
    def both_run(self, seed: int, turns: int) -> None:
        order = random.Random(seed)
        self.model.rng = random.Random(seed)
        for _ in range(turns):
            self.turn(order.choice([self.owner, self.standby]), order.randint(1, 4))

    @rule()
    def owner_dies(self) -> None:
        self.owner.kill()
        self.owner = _Process(self.own)

    @rule()
    def standby_dies(self) -> None:
        self.standby.kill()
        self.standby_holds = HoldLedger()

    @rule(step_rate=st.sampled_from([0.05, 0.3, 0.9]))
    def load_changes(self, step_rate: float) -> None:
        self.model.step_rate = step_rate

    @rule(is_faulty=st.booleans())
    def network_changes(self, is_faulty: bool) -> None:
        self.model.loss_rate = self.model.unanswered_rate = 0.1 if is_faulty else 0.0
        self.model.delay_rate = 0.15 if is_faulty else 0.0

    @rule()
    def group_is_formed_anew(self) -> None:
        self.model.reform()

    def teardown(self) -> None:
        """Whatever was left behind, the owner's next recovery lets the group go on."""
        self.owner.kill()
        self.standby.kill()
        self.model.loss_rate = self.model.unanswered_rate = self.model.delay_rate = 0.0
        changer, _ = self.changer(ModelRankGroup(self.model), HoldLedger())
        self.recover(changer)
        assert not any(rank.held_step for rank in self.model.ranks)


_LOST = (ChangeResult.REFORMED, ChangeResult.REPLACED)

_SETTINGS = settings(
    max_examples=60,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class ActingChangesWithoutFencing(ActingChanges):
    """The same with engines that do not check fences."""

    requires_fencing = False


TestActingChanges = ActingChanges.TestCase
TestActingChanges.settings = _SETTINGS
TestActingChangesWithoutFencing = ActingChangesWithoutFencing.TestCase
TestActingChangesWithoutFencing.settings = settings(_SETTINGS, max_examples=120)


def _only_disarm(
    rollback: RollbackControl,
    ranks: Set[int],
    armed: Mapping[int, Armed],
    _found: Mapping[int, int],
) -> bool:
    """Roll back by disarming alone."""
    pending = dict(armed)
    while pending:
        fence = rollback._fences.next()
        results = rollback._group.send_orders(
            {
                rank: MapOrder(MapOrderKind.DISARM, fence, rollback._epoch, state.version)
                for rank, state in pending.items()
            },
            rollback._order_timeout,
        )
        rollback._check_results(results)
        done = [r for r, each in results.items() if each.outcome is OrderOutcome.DONE]
        pending = {r: state for r, state in pending.items() if r not in done}
    return True


def _rely_on_found(rollback: HoldControl, step: int, found: Mapping[int, int]) -> bool:
    return rollback._own_hold is not None or any(held <= step for held in found.values())


#: Mechanisms, and replacements that take them out.
MECHANISMS: list[tuple[type, str, Callable[..., object]]] = [
    (RollbackControl, "_roll_back", _only_disarm),
    (HoldControl, "_ensure_held", _rely_on_found),
]


@pytest.mark.parametrize(
    ("owner", "name", "replacement"), MECHANISMS, ids=[m[1] for m in MECHANISMS]
)
def test_steps_begin_with_two_maps_without_the_mechanism(
    monkeypatch: pytest.MonkeyPatch, owner: type, name: str, replacement: Callable[..., object]
) -> None:
    """Shows that the state machine sees what each mechanism prevents."""
    monkeypatch.setattr(owner, name, replacement)
    with pytest.raises(MapMismatchError):
        run_state_machine_as_test(
            ActingChangesWithoutFencing,
            settings=settings(_SETTINGS, max_examples=3_000, phases=[Phase.generate]),
        )


class _DiesBeforeRelease(ModelRankGroup):
    """All ranks are armed when the owner dies."""

    def send_orders(
        self, orders: Mapping[int, MapOrder], timeout: int
    ) -> Mapping[int, OrderResult]:
        if any(order.kind is MapOrderKind.RELEASE for order in orders.values()):
            raise OwnerDiedError
        return super().send_orders(orders, timeout)


@pytest.mark.parametrize("lagging", [frozenset(), frozenset({2})], ids=["linked", "not linked"])
def test_old_reports_do_not_leave_some_ranks_armed(lagging: frozenset[int]) -> None:
    """Guards against a rank's old report making the owner's rank count as not armed."""
    model = GroupModel(4, random.Random(1), step_rate=0.0)
    fences = FenceSequence(100_000)
    owners = _DiesBeforeRelease(model)
    with pytest.raises(OwnerDiedError):
        MapChanger(owners, 1, fences, model.clock, owners.pause).change(
            NewMap(fences.next(), ((),), copy_time=0)
        )
    group = _StandbysGroup(model, lagging)
    changer = MapChanger(group, 1, FenceSequence(200_000), model.clock, group.pause)
    changer.recover()
    assert len({rank.armed is None for rank in model.ranks}) == 1
