"""Configuration submissions with concurrent operators and platform faults."""

import json
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from fakes.launcher import Fleet, wait_until
from tests.caller import Caller
from tests.conftest import CONFIGURATION, make_spec, start


@pytest.fixture(scope="module")
def running() -> Iterator[Fleet]:
    """Fleet whose configuration the tests of this module change."""
    with start(make_spec()) as fleet:
        yield fleet


def generation(fleet: Fleet) -> int:
    return int(fleet.status(next(iter(fleet.ports.entries)))["entry"]["generation"])


def apply(fleet: Fleet, base: int, *files: Path, operator: str = "amina") -> tuple[int, str]:
    return fleet.command(
        "apply",
        *map(str, files),
        "--platform",
        fleet.ports.platform,
        "--generation",
        str(base),
        "--operator",
        operator,
    )


def extra(fleet: Fleet, name: str, text: str) -> Path:
    path = fleet.folder / name
    path.write_text(text)
    return path


def test_one_of_several_racing_operators_wins(running: Fleet) -> None:
    base = generation(running)
    files = [
        extra(running, f"race-{i}.yaml", f"services: {{s{i}: {{kind: plain}}}}") for i in range(3)
    ]
    with ThreadPoolExecutor(3) as pool:
        results = list(pool.map(lambda f: apply(running, base, f, operator=f.stem), files))
    assert sorted(code for code, _ in results) == [0, 1, 1]
    losers = [output for code, output in results if code]
    assert all(f"generation {base + 1} by race-" in output for output in losers)
    wait_until(lambda: running.in_force_everywhere(base + 1), "in force everywhere", 18)


def test_invalid_file_changes_nothing(running: Fleet) -> None:
    base = generation(running)
    bad = extra(running, "bad.yaml", "engines:\n  e-1: {service: nowhere, slots: 0}\n")
    code, output = apply(running, base, bad)
    assert code == 1
    assert "bad.yaml:2: engines.e-1.slots" in output
    dangling = extra(running, "bad.yaml", "engines:\n  e-1: {service: nowhere}\n")
    code, output = apply(running, base, dangling)
    assert code == 1
    assert "bad.yaml:2: engines.e-1.service: no service 'nowhere'" in output
    assert generation(running) == base


def test_lost_answers_are_applied_once(running: Fleet) -> None:
    base = generation(running)
    running.platform_call("PUT", "/faults", {"lose_answers": 3})
    code, output = apply(running, base, extra(running, "lost.yaml", "services: {}"))
    assert (code, output.strip()) == (0, f"accepted: generation {base + 1}")
    running.platform_call("PUT", "/faults", {"lose_answers": 0})


def test_new_processes_learn_from_peers_while_the_platform_is_down(running: Fleet) -> None:
    base = generation(running)
    wait_until(lambda: running.in_force_everywhere(base), "in force everywhere", 18)
    entry = next(iter(running.ports.entries))
    for domain in running.spec.domains:
        running.set_faults(domain, down=True)
    running.kill("inkmodel-2")
    running.start_target("inkmodel-2")
    wait_until(lambda: target_generation(running, entry, "inkmodel-2") == base, "it has learned")
    caller = Caller(running)
    assert caller.generate(count=3).status == 200
    findings = running.status(entry)["findings"]
    assert any("the platform does not answer" in finding for finding in findings)
    for domain in running.spec.domains:
        running.set_faults(domain, down=False)


def target_generation(fleet: Fleet, entry: str, target: str) -> int:
    """Return the generation of a connected target; 0 if it is not connected."""
    for each in fleet.status(entry)["targets"]:
        if each["instance"] == target and each["connected"]:
            return int(each["generation"])
    return 0


def test_audit_lists_operators_and_changes(running: Fleet) -> None:
    apply(running, 0, CONFIGURATION, operator="late")
    code, output = running.command(
        "audit", "--platform", running.ports.platform, "--output", "json"
    )
    assert code == 0
    entries = json.loads(output)
    submissions = [e for e in entries if e["action"] == "submission"]
    assert submissions[0]["changed"] == ["fleet.yaml"]
    refused = submissions[-1]
    assert (refused["who"], refused["outcome"]) == ("late", "refused")
    assert "but" in refused["why"]
    assert any(e["action"] == "map" and e["subject"] == "ink" for e in entries)


@pytest.mark.parametrize(
    ("words", "code"),
    [
        (["frobnicate"], 2),
        (["apply"], 2),
        (["status"], 2),
        (["status", "--entry", "127.0.0.1:1"], 1),
        (["status", "--entry", "127.0.0.1:1", "--output", "xml"], 2),
        (["audit", "--platform", "127.0.0.1:1"], 1),
        (["audit", "--platform", "127.0.0.1:1", "--since", "noon"], 2),
        (["version", "extra"], 2),
        (["check", "--strict", "yes", "x"], 2),
        (["entry", "--settings", "/nonexistent.yaml"], 1),
        (["--help"], 0),
        (["apply", "--help"], 0),
        (["version"], 0),
    ],
)
def test_exit_codes(running: Fleet, words: list[str], code: int) -> None:
    assert running.command(*words)[0] == code
