"""A target that joins takes key slots over; saves wait for it no longer than entries do.

What callers saw: saves refused as `not_run` with `not_home`, or late by seconds, though all
targets and entries were well. It happens when a target joins, some three seconds after it is
linked. The target that has held all slots gives half of them back, and from then on nobody
runs their keys until the other has taken them. In that time one object a slot was written,
one read and one removed, call after call, and the next holder looked once a second. With
saves every 50 ms for 10 s, two runs each:

    store's answer   keys without a holder   longest wait   refused
        at once           0.1 to 1.0 s           1.1 s      0 of 400
        50 ms             2.1 s                  2.1 s      0 of 400
        100 ms            3.4 to 3.6 s           3.1 s     10 of 400
        200 ms            6.4 s                  3.1 s     69 of 400

An entry waits three seconds for a holder. The lines that showed it, and a request between them:

    homes: slots given back service=shelf-api slots=8 epoch=2
    dispatch: waited for a target service=shelf-api waited=857 missing=not_home
    homes: slots changed service=shelf-api held=8 epoch=3
"""

import threading
from concurrent.futures import ThreadPoolExecutor

from fakes.launcher import Fleet, wait_until
from tests.caller import Caller
from tests.conftest import make_spec, start

_CALLERS = 8
_HOLDERS = ("shelf-api-1", "shelf-api-2")


def slots_are_shared(fleet: Fleet) -> bool:
    """Tell whether each entry knows that both targets hold their half."""
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
            wait_until(lambda: slots_are_shared(fleet), "both targets hold slots", 30)
        finally:
            stop.set()
    assert set(outcomes) == {"answered"}
