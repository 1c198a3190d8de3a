"""Unaffected entries respect backend notices while other entries are killed or suspended.

Notices and faults are drawn from a seed.
"""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Callable
from functools import partial
from threading import Event, Thread

import pytest

from fakes.engine_ledger import EngineNotice, backoff_violations, requests_after_drain
from fakes.platform_engine import PlatformEngine
from tests.direct import DirectEntry, Reply
from tests.test_backend_notices import NoticeFleet

#: Duration of a run and interval between notice changes, in seconds.
_RUN_SECONDS = 7.0
_CHANGE_INTERVAL = 0.3
_CALL_INTERVAL = 0.005
#: Backoffs to draw from; an empty value makes a backend serve requests.
_BACKOFFS = ("", "1.5", "2.5", "2.5")


class _FaultRun:
    """Runs callers, notice changes and fault injection concurrently."""

    def __init__(self, fleet: NoticeFleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._stopped = Event()
        self.replies: list[Reply] = []
        self.failed_calls = 0

    def execute(self) -> None:
        threads = [Thread(target=self._call, args=(entry,)) for entry in self._fleet.entries]
        threads += [Thread(target=self._change_notices), Thread(target=self._inject_faults)]
        for thread in threads:
            thread.start()
        self._stopped.wait(_RUN_SECONDS)
        self._stopped.set()
        for thread in threads:
            thread.join()

    def _call(self, entry: DirectEntry) -> None:
        while not self._stopped.wait(_CALL_INTERVAL):
            try:
                self.replies.append(self._fleet.call(entry))
            except OSError:
                self.failed_calls += 1  # the entry was killed

    def _change_notices(self) -> None:
        """Make all backends refuse, then change them one by one; up to two leave."""
        self._fleet.shed(self._fleet.shelf, "1.5")
        while not self._stopped.wait(_CHANGE_INTERVAL):
            self._change_notice(self._rng.choice(self._fleet.shelf))

    def _change_notice(self, engine: PlatformEngine) -> None:
        backoff = self._rng.choice(_BACKOFFS)
        is_leaving = engine in self._fleet.shelf[:2] and self._rng.random() < 0.3
        leaves = "1" if is_leaving or engine.notice.leaving else ""
        engine.notice = EngineNotice(backoff=backoff, leaving=leaves)
        engine.is_shedding = bool(backoff)

    def _inject_faults(self) -> None:
        """Kill the second entry and suspend the third for at least a second."""
        _, killed, frozen = self._fleet.entries
        faults: list[Callable[[], object]] = [
            killed.process.kill,
            partial(frozen.signal, signal.SIGSTOP),
        ]
        self._rng.shuffle(faults)
        for inject in faults:
            if self._stopped.wait(self._rng.uniform(0.5, 2.0)):
                break
            inject()
        time.sleep(1.0)
        frozen.signal(signal.SIGCONT)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_notices_are_respected_while_entries_fail(seed: int) -> None:
    fleet = NoticeFleet()
    try:
        run = _FaultRun(fleet, seed)
        run.execute()
        unaffected = fleet.entries[0].name
        for engine in fleet.shelf:
            exchanges = [exchange for exchange in engine.ledger if exchange.sender == unaffected]
            assert backoff_violations(exchanges) == []
            assert requests_after_drain(exchanges) == []
        asked = [
            e
            for engine in fleet.shelf
            for e in engine.ledger
            if e.sender == unaffected and e.backoff
        ]
        assert asked
        assert any(reply.status == 200 for reply in run.replies)
        assert {reply.status for reply in run.replies} <= {200, 503}
    finally:
        fleet.close()
