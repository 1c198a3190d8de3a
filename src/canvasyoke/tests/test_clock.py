import pytest

from canvasyoke import ManualClock, Registry, SystemClock, UnknownNameError


def test_manual_clock_moves_only_forward() -> None:
    clock = ManualClock(start=10, wall_offset=1_000)
    clock.advance(5)
    assert (clock.now(), clock.wall()) == (15, 1_015)
    with pytest.raises(ValueError, match="forward"):
        clock.advance(-1)


def test_system_clock_does_not_go_back() -> None:
    clock = SystemClock()
    assert clock.now() <= clock.now()


def test_registry_refuses_twice_and_names_what_it_knows() -> None:
    registry: Registry[int] = Registry("number")
    registry.register("one")(1)
    with pytest.raises(ValueError, match="twice"):
        registry.register("one")(2)
    with pytest.raises(UnknownNameError, match="known: one"):
        registry.get("two")
