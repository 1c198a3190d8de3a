"""Planned stops interrupt no request and stop new work immediately."""

import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial

from fakes.engine import make_tokens
from fakes.launcher import Fleet, wait_until
from tests.caller import Caller, all_runs
from tests.conftest import make_spec, start


def test_rolling_restart_of_all_targets_interrupts_no_request(fleet: Fleet) -> None:
    """Entries learn of each restart from the targets, not from the instance list."""
    caller = Caller(fleet)
    stop = threading.Event()
    outcomes: list[str] = []

    def save() -> None:
        while not stop.is_set():
            outcomes.append(caller.save(caller.new_key()).outcome)

    def generate() -> None:
        while not stop.is_set():
            lines = caller.generate("roll", 30).body.splitlines()
            tokens = [json.loads(line).get("token") for line in lines[:-1]]
            outcomes.append("answered" if tokens == make_tokens("roll", 0, 30) else "cut")

    with ThreadPoolExecutor(6) as pool:
        for work in (save, save, save, generate, generate, generate):
            pool.submit(work)
        for target in fleet.spec.targets:
            fleet.terminate(target.name)
            assert fleet.wait(target.name) == 0
            fleet.start_target(target.name)
            wait_until(partial(is_available, fleet, target.name), f"{target.name} is back")
        stop.set()
    assert set(outcomes) == {"answered"}
    assert len(outcomes) > 50


def is_available(fleet: Fleet, target: str) -> bool:
    """Return whether all entries are connected to a target that is not leaving."""
    for entry in fleet.ports.entries:
        found = [t for t in fleet.status(entry)["targets"] if t["instance"] == target]
        if not found or not found[0]["connected"] or found[0]["leaving"]:
            return False
    return True


def test_leaving_target_finishes_and_gets_nothing_new(fleet: Fleet) -> None:
    caller = Caller(fleet)
    with ThreadPoolExecutor(4) as pool:
        running = [pool.submit(caller.generate, f"long {i}", 500) for i in range(4)]
        time.sleep(0.3)  # generations are running on both engines
        fleet.terminate("inkmodel-1")
        wait_until(lambda: is_leaving(fleet, "inkmodel-1"), "the entries know")
        assert not any(f.done() for f in running)  # the target still runs
        assert caller.generate("new", 4).status == 200
        assert [len(f.result().body.splitlines()) for f in running] == [501] * 4
    assert fleet.wait("inkmodel-1") == 0
    fleet.start_target("inkmodel-1")
    wait_until(lambda: is_available(fleet, "inkmodel-1"), "it is back")


def is_leaving(fleet: Fleet, target: str) -> bool:
    """Return whether all entries are connected to a target and see it leaving."""
    found = [
        each
        for entry in fleet.ports.entries
        for each in fleet.status(entry)["targets"]
        if each["instance"] == target
    ]
    return all(each["connected"] and each["leaving"] for each in found)


def test_leaving_target_finishes_saves_that_only_it_may_run() -> None:
    """No other target can complete a running save, so the target has to wait for it."""
    with start(make_spec(plain_ms=1_500)) as fleet, ThreadPoolExecutor(8) as pool:
        caller = Caller(fleet)
        keys = [caller.new_key() for _ in range(8)]
        saves = [pool.submit(caller.save, key) for key in keys]
        wait_until(lambda: len(all_runs(fleet)) == 8, "all of them run", 3)
        for target in ("shelf-api-1", "shelf-api-2"):
            fleet.terminate(target)
        assert [f.result().outcome for f in saves] == ["answered"] * 8
        assert [fleet.wait(t) for t in ("shelf-api-1", "shelf-api-2")] == [0, 0]
        assert all_runs(fleet) == dict.fromkeys(keys, 1)


def test_leaving_entry_completes_open_requests(fleet: Fleet) -> None:
    caller = Caller(fleet)
    entry = next(iter(fleet.ports.entries))
    with ThreadPoolExecutor(1) as pool:
        held = pool.submit(caller.generate, "held", 300, entry)
        wait_until(lambda: fleet.status(entry)["entry"]["in_flight"] == 1, "it holds it")
        fleet.terminate(entry)
        wait_until(lambda: caller.call("GET", "/readyz", entry=entry).status == 503, "not ready")
        assert len(held.result().body.splitlines()) == 301
    assert fleet.wait(entry) == 0
    fleet.start_entry(entry)
    wait_until(lambda: bool(fleet.status(entry)), "it is back")
