import random
from collections.abc import Callable

import pytest

from canvasyoke import ManualClock
from canvasyoke.state import (
    ROOT_KEY,
    Accepted,
    Ambiguous,
    AuditEntry,
    AuditTrail,
    ConfigKeeper,
    ConfigView,
    FileModel,
    Rejected,
    Root,
    Snapshot,
    Submission,
    SubmitResult,
    check_file,
    load_snapshot,
    read_root,
    submit,
)
from fakes.memory_platform import MemoryPlatform


def parse_model(text: str) -> FileModel:
    parsed = check_file(text, "f.yaml")
    assert isinstance(parsed, FileModel)
    return parsed


SERVICES = parse_model("services: {ink: {kind: model}}")
ENGINES = parse_model("engines: {ink-1: {service: ink}}")


def submit_files(
    platform: MemoryPlatform,
    base: int,
    files: dict[str, FileModel],
    id: str = "s",
    removed: tuple[str, ...] = (),
    sleep: Callable[[float], None] | None = None,
) -> SubmitResult:
    clock = ManualClock()

    def advance(seconds: float) -> None:
        clock.advance(round(seconds * 1_000) + 1)

    submission = Submission(id, "amina", base, files, removed)
    return submit(platform, submission, clock, sleep=sleep or advance, rng=random.Random(1))


def test_files_are_activated_together() -> None:
    platform = MemoryPlatform()
    assert submit_files(platform, 0, {"a": SERVICES, "b": ENGINES}) == Accepted(1)
    root = read_root(platform)
    assert isinstance(root, Root)
    assert set(root.files) == {"a", "b"}


def test_references_are_checked_across_all_files() -> None:
    platform = MemoryPlatform()
    refused = submit_files(platform, 0, {"b": ENGINES})
    assert isinstance(refused, Rejected)
    assert refused.faults[0].path == ("engines", "ink-1", "service")
    assert not platform.objects
    assert submit_files(platform, 0, {"a": SERVICES, "b": ENGINES}) == Accepted(1)
    assert isinstance(submit_files(platform, 1, {"c": FileModel()}, "t", removed=("a",)), Rejected)


def test_rejected_submission_lists_conflicting_changes() -> None:
    platform = MemoryPlatform()
    submit_files(platform, 0, {"a": SERVICES}, "first")
    lost = submit_files(platform, 0, {"a": FileModel()}, "second")
    assert isinstance(lost, Rejected)
    assert [(c.generation, c.operator, c.files) for c in lost.changes] == [(1, "amina", ["a"])]


def test_lost_response_is_resolved_by_reading_the_root() -> None:
    platform = MemoryPlatform(lose_answers=5)
    assert submit_files(platform, 0, {"a": SERVICES}) == Accepted(1)
    assert submit_files(platform, 0, {"a": SERVICES}) == Accepted(1), (
        "the same submission, not a second"
    )


def test_applied_submission_is_recognised_after_later_ones() -> None:
    platform = MemoryPlatform()
    submit_files(platform, 0, {"a": SERVICES}, "mine")
    submit_files(platform, 1, {"b": ENGINES}, "other")
    assert submit_files(platform, 0, {"a": SERVICES}, "mine") == Accepted(1)


def test_unavailable_platform_gives_an_ambiguous_result() -> None:
    assert isinstance(submit_files(MemoryPlatform(down=True), 0, {"a": SERVICES}), Ambiguous)


def load_current_snapshot(platform: MemoryPlatform) -> Snapshot:
    loaded = load_snapshot(platform, platform.objects[ROOT_KEY].value, {})
    assert isinstance(loaded, Snapshot)
    return loaded


def test_keeper_ignores_older_generations() -> None:
    platform = MemoryPlatform()
    submit_files(platform, 0, {"a": SERVICES}, "1")
    old = load_current_snapshot(platform)
    submit_files(platform, 1, {"b": ENGINES}, "2")
    new = load_current_snapshot(platform)
    view = ConfigView()
    keeper = ConfigKeeper.start(view, lambda config: None)
    try:
        adopt = keeper.proxy().adopt
        assert [adopt(s).get() for s in (new, old, new)] == [True, False, False]
    finally:
        keeper.stop()
    assert view.current.generation == 2
    assert "ink-1" in view.current.engines


def test_damaged_snapshot_is_not_adopted() -> None:
    platform = MemoryPlatform()
    submit_files(platform, 0, {"a": SERVICES})
    good = load_current_snapshot(platform)
    damaged = Snapshot(good.root, dict.fromkeys(good.contents, b"{}"))
    with pytest.raises(ValueError, match="damaged"):
        damaged.parse()


def test_audit_trail_is_trimmed_and_filtered() -> None:
    trail = AuditTrail(MemoryPlatform(), limit=50)
    for number in range(120):
        entry = AuditEntry(
            wall=number,
            id=str(number),
            who="amina",
            action="submission",
            subject="ink" if number % 2 else "",
            outcome="accepted",
        )
        assert trail.append(entry)
    kept = trail.read()
    assert isinstance(kept, list)
    assert len(kept) <= 150
    assert kept[-1].wall == 119
    filtered = trail.read(since=110, subject="ink")
    assert isinstance(filtered, list)
    assert [e.wall for e in filtered] == [111, 113, 115, 117, 119]
