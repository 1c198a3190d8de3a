"""Saves succeed while a joining target takes over key slots.

Regression test: with a slow store, the handover left keys without a holder for longer than
entries wait, and saves were refused with ``not_home``.
"""

import threading
from concurrent.futures import ThreadPoolExecutor

from fakes.launcher import Fleet, wait_until
from tests.caller import Caller
from tests.conftest import make_spec, start

_CALLERS = 8
_HOLDERS = ("shelf-api-1", "shelf-api-2")


def slots_are_balanced(fleet: Fleet) -> bool:
    """Return whether all entries see both targets hold half of the slots."""
    for entry in fleet.ports.entries:
        targets = fleet.status(entry).get("targets", [])
        held = [t["key_slots"] for t in targets if t["instance"] in _HOLDERS]
        if held != [8, 8]:
            return False
    return True


def test_saves_are_answered_while_a_target_that_joins_takes_slots_over() -> None:
    outcomes: list[str] = []
    stop = threading.Event()
    with start(make_spec()) as fleet, ThreadPoolExecutor(_CALLERS) as pool:
        caller = Caller(fleet)
        for domain in fleet.spec.domains:
            fleet.set_faults(domain, slow_ms=200)

        def save() -> None:
            while not stop.is_set():
                outcomes.append(caller.save(caller.new_key()).outcome)
                stop.wait(0.05)

        for _ in range(_CALLERS):
            pool.submit(save)
        try:
            wait_until(lambda: slots_are_balanced(fleet), "both targets hold slots", 30)
        finally:
            stop.set()
    assert set(outcomes) == {"answered"}
