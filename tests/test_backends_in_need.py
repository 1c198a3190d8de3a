"""Backends that change their minds while entries are killed, frozen and started again.

Seeded: what backends say next, and when an entry is struck, is drawn at the start. Judged is
what backends have seen of entries that were not struck; those that were are excused.
"""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Callable
from functools import partial
from threading import Event, Thread

import pytest

from fakes.engine_ledger import EngineWord, broken_backoffs, late_arrivals
from fakes.platform_engine import PlatformEngine
from tests.direct import DirectEntry, Reply
from tests.test_backend_words import WordFleet

#: Seconds that a run takes, and between two changes of what a backend says.
_LENGTH = 7.0
_CHANGE_EVERY = 0.3
_CALL_EVERY = 0.005
#: What a backend says next: seconds of backoff with which it turns all away, none to serve.
_BACKOFFS = ("", "1.5", "2.5", "2.5")


class _Run:
    """Callers, moods of backends and strikes at entries, until the time is over."""

    def __init__(self, fleet: WordFleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._over = Event()
        self.replies: list[Reply] = []
        self.lost = 0

    def play(self) -> None:
        tasks = [Thread(target=self._call, args=(entry,)) for entry in self._fleet.entries]
        tasks += [Thread(target=self._change), Thread(target=self._strike)]
        for task in tasks:
            task.start()
        self._over.wait(_LENGTH)
        self._over.set()
        for task in tasks:
            task.join()

    def _call(self, entry: DirectEntry) -> None:
        while not self._over.wait(_CALL_EVERY):
            try:
                self.replies.append(self._fleet.call(entry))
            except OSError:
                self.lost += 1  # its entry was killed

    def _change(self) -> None:
        """Have all shed at first, then one after the other shed or serve; two leave for good."""
        self._fleet.shed(self._fleet.shelf, "1.5")
        while not self._over.wait(_CHANGE_EVERY):
            self._draw(self._rng.choice(self._fleet.shelf))

    def _draw(self, engine: PlatformEngine) -> None:
        backoff = self._rng.choice(_BACKOFFS)
        is_leaving = engine in self._fleet.shelf[:2] and self._rng.random() < 0.3
        leaves = "1" if is_leaving or engine.word.leaving else ""
        engine.word = EngineWord(backoff=backoff, leaving=leaves)
        engine.is_shedding = bool(backoff)

    def _strike(self) -> None:
        """Kill the second entry, and freeze the third for a second."""
        _, killed, frozen = self._fleet.entries
        strikes: list[Callable[[], object]] = [
            killed.process.kill,
            partial(frozen.signal, signal.SIGSTOP),
        ]
        self._rng.shuffle(strikes)
        for strike in strikes:
            if self._over.wait(self._rng.uniform(0.5, 2.0)):
                break
            strike()
        time.sleep(1.0)
        frozen.signal(signal.SIGCONT)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_words_are_kept_while_entries_are_struck(seed: int) -> None:
    fleet = WordFleet()
    try:
        run = _Run(fleet, seed)
        run.play()
        sound = fleet.entries[0].name
        for engine in fleet.shelf:
            seen = [exchanged for exchanged in engine.ledger if exchanged.sender == sound]
            assert broken_backoffs(seen) == []
            assert late_arrivals(seen) == []
        asked = [
            e for engine in fleet.shelf for e in engine.ledger if e.sender == sound and e.backoff
        ]
        assert asked
        assert any(reply.status == 200 for reply in run.replies)
        assert {reply.status for reply in run.replies} <= {200, 503}
    finally:
        fleet.close()
