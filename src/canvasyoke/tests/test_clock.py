import pytest

from canvasyoke import ManualClock, Registry, SystemClock, UnknownNameError


def test_manual_clock_rejects_negative_duration() -> None:
    clock = ManualClock(start=10, wall_offset=1_000)
    clock.advance(5)
    assert (clock.now(), clock.wall()) == (15, 1_015)
    with pytest.raises(ValueError, match="negative duration"):
        clock.advance(-1)


def test_system_clock_is_monotonic() -> None:
    clock = SystemClock()
    assert clock.now() <= clock.now()


def test_registry_rejects_duplicate_and_unknown_names() -> None:
    registry: Registry[int] = Registry("number")
    registry.register("one")(1)
    with pytest.raises(ValueError, match="already registered"):
        registry.register("one")(2)
    with pytest.raises(UnknownNameError, match="known: one"):
        registry.get("two")
