"""Non-repeatable requests run at most once under failures."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

from fakes.launcher import Fleet, wait_until
from tests.caller import Answer, Caller, all_runs


def holder_of(fleet: Fleet, key: str) -> str:
    """Return the plain service that executed ``key``."""
    wait_until(lambda: key in all_runs(fleet), "the key runs", 5)
    for name in ("shelf-api-1", "shelf-api-2"):
        if key in fleet.ledger(name).read_text() if fleet.ledger(name).exists() else False:
            return name
    raise AssertionError(key)


def test_retry_through_another_entry_joins_the_run(slow_fleet: Fleet) -> None:
    caller = Caller(slow_fleet)
    key = caller.new_key()
    with ThreadPoolExecutor(4) as pool:
        entries = list(slow_fleet.ports.entries) * 2
        answers = list(pool.map(lambda entry: caller.save(key, entry=entry), entries))
    assert {a.status for a in answers} == {200}
    assert len({a.body for a in answers}) == 1
    assert all_runs(slow_fleet) == {key: 1}


def test_key_reused_with_another_body_is_refused(slow_fleet: Fleet) -> None:
    caller = Caller(slow_fleet)
    key = caller.new_key()
    assert caller.save(key, "page 1").json["echo"] == "page 1"
    other = caller.save(key, "page 2")
    assert (other.status, other.json["reason"]) == (422, "key_reused")
    assert all_runs(slow_fleet) == {key: 1}


def test_killed_target_leaves_the_outcome_unknown_and_never_reruns(slow_fleet: Fleet) -> None:
    caller = Caller(slow_fleet)
    key = caller.new_key()
    first: list[Answer] = []
    thread = threading.Thread(target=lambda: first.append(caller.save(key)))
    thread.start()
    holder = holder_of(slow_fleet, key)
    slow_fleet.kill(holder)
    slow_fleet.start_target(holder)
    thread.join()
    assert first[0].outcome == "unknown"
    for entry in slow_fleet.ports.entries:
        assert caller.save(key, entry=entry).outcome == "unknown"
    assert all_runs(slow_fleet) == {key: 1}
    fresh = caller.new_key()
    wait_until(lambda: caller.save(caller.new_key()).status == 200, "saves go on", 20)
    assert caller.save(fresh).outcome in ("answered", "unknown")


def test_reset_after_sending_a_request_is_resumed(slow_fleet: Fleet) -> None:
    """The link is reset after the request was sent; the answer arrives over a new link."""
    caller = Caller(slow_fleet)
    for _ in range(6):
        key = caller.new_key()
        slow_fleet.set_link_faults("", reset_after=150)
        answer = caller.save(key)
        runs = all_runs(slow_fleet).get(key, 0)
        assert runs <= 1
        if answer.outcome == "not_run":
            assert runs == 0
        if answer.outcome == "answered":
            assert runs == 1
    slow_fleet.set_link_faults("", reset_after=-1)
    wait_until(lambda: caller.save(caller.new_key()).status == 200, "links are back", 10)


def test_late_copies_of_frames_run_nothing(slow_fleet: Fleet) -> None:
    caller = Caller(slow_fleet)
    keys = [caller.new_key() for _ in range(3)]
    for key in keys:
        assert caller.save(key).status == 200
    slow_fleet.set_link_faults("", cut=True)
    slow_fleet.set_link_faults("", cut=False)
    for domain in slow_fleet.spec.domains:
        for target in ("shelf-api-1", "shelf-api-2"):
            route = slow_fleet.route(domain, target)
            slow_fleet.replay(route)
    time.sleep(0.5)  # long enough for an accepted replay to run
    assert all_runs(slow_fleet) == dict.fromkeys(keys, 1)


def test_lost_link_before_arrival_has_a_definite_outcome(slow_fleet: Fleet) -> None:
    """A request lost in a silent link either ran once or is reported as not run."""
    caller = Caller(slow_fleet)
    slow_fleet.set_link_faults("", silent=True)
    key = caller.new_key()
    answer: list[Answer] = []
    thread = threading.Thread(target=lambda: answer.append(caller.save(key, wait=12)))
    thread.start()
    time.sleep(0.3)  # the proxy has received the request
    slow_fleet.set_link_faults("", cut=True)
    slow_fleet.set_link_faults("", cut=False, silent=False)
    thread.join()
    runs = all_runs(slow_fleet).get(key, 0)
    assert (answer[0].outcome, runs) in [("answered", 1), ("not_run", 0)]
