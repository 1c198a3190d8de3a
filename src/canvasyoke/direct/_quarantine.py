"""Requests that are kept from all backends because each that ran one of them ended.

A request that ends its backend comes again: as the entry's own retry, and from its caller
with another id at another entry. An entry that judged each call by itself let one request
end 20 backends in ten calls at three entries; with what all know of it put together it
ends three. Nothing is done with a request before that: most of those under which a backend
has ended are sound, and are answered elsewhere.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.direct._crash_cases import ENDS_TO_BLAME, CrashCase, find_culprits
from canvasyoke.observe import part_logger

_log = part_logger("quarantine")
#: Milliseconds for which a whole answer speaks for a request: what ends its backends now was
#: not answered a moment ago. Without it, a request of which many copies run at once would
#: be blamed when several backends end together.
_ANSWER_HOLDS: Final = 30 * SECOND
#: Answered requests that are remembered: what an entry answers in 30 s at 130 a second. Each
#: takes some 200 bytes.
_ANSWERED_LIMIT: Final = 4_096
#: Milliseconds without news after which a case that blames nobody is dropped. A request
#: that comes again less often than that may end three more backends each time.
_CASE_AGE: Final = 600 * SECOND
#: Cases kept. Those with the fewest ends go first, the oldest of them before the others, so
#: nobody can push a culprit out without ending as many backends as it has.
_CASE_LIMIT: Final = 4_096
_DROPPED_AT_ONCE: Final = 512

#: Takes what is new of a case: the request's fingerprint, and all that is known.
Tell = Callable[[str, CrashCase], None]


class Quarantine:
    """The cases that one entry knows; thread-safe."""

    def __init__(self, clock: Clock, tell: Tell) -> None:
        self._clock = clock
        self._tell = tell
        self._lock = threading.Lock()
        self._cases: dict[str, CrashCase] = {}
        #: Time on the clock of the newest word of each.
        self._heard_at: dict[str, int] = {}
        #: Every run that has ended under any request, with the time on the clock at which
        #: that became known here.
        self._ended_at: dict[str, int] = {}
        #: Those of them for which a request was to blame that has been cleared since.
        self._settled: frozenset[str] = frozenset()
        self._culprits: frozenset[str] = frozenset()
        #: Cases that have changed and that others were not told of yet.
        self._changed: set[str] = set()
        #: Requests answered whole lately, with the time on the clock, oldest first.
        self._answered: OrderedDict[str, int] = OrderedDict()

    @property
    def culprits(self) -> frozenset[str]:
        """Return the fingerprints of the requests that are kept from backends."""
        return self._culprits

    @property
    def suspects(self) -> int:
        """Return the number of requests under which backends ended and that nobody blames."""
        with self._lock:
            return sum(1 for c in self._cases.values() if c.runs) - len(self._culprits)

    def cases(self) -> dict[str, CrashCase]:
        """Return all that is known, by fingerprint."""
        with self._lock:
            return dict(self._cases)

    def holds(self, fingerprint: str) -> bool:
        """Tell whether a request is kept from all backends."""
        return fingerprint in self._culprits

    def ended(self, fingerprint: str, run: str) -> None:
        """Take note that the run of a backend has ended under a request."""
        with self._lock:
            if self._was_answered(fingerprint):
                self._ended_at.setdefault(run, self._clock.now())
                return
            known = self._cases.get(fingerprint, CrashCase())
            self._put(fingerprint, known.with_end(run))
            news = self._take_news()
        self._tell_all(news)

    def answered(self, fingerprint: str) -> None:
        """Take note that a backend has answered a request whole, so it ends none."""
        with self._lock:
            self._answered[fingerprint] = self._clock.now()
            self._answered.move_to_end(fingerprint)
            if len(self._answered) > _ANSWERED_LIMIT:
                self._answered.popitem(last=False)
            self._dismiss(fingerprint)
            news = self._take_news()
        self._tell_all(news)

    def release(self, fingerprint: str) -> bool:
        """Let a request that is kept from backends run again; false when it is not kept.

        The case of one that is only suspected stays: without it, the blame for what it has
        done would fall on the others that were there.
        """
        with self._lock:
            is_held = fingerprint in self._culprits and self._dismiss(fingerprint)
            news = self._take_news()
        self._tell_all(news)
        if is_held:
            _log.info("released", fingerprint=fingerprint)
        return is_held

    def hear(self, fingerprint: str, case: CrashCase) -> None:
        """Take what another entry or a note knows, and pass on what is new.

        A request that was answered here lately is cleared for all.
        """
        with self._lock:
            self._put(fingerprint, case)
            if self._was_answered(fingerprint):
                self._dismiss(fingerprint)
            news = self._take_news()
        self._tell_all(news)

    def look(self) -> None:
        """Judge anew what waited for an answer; to be called several times a second."""
        with self._lock:
            if not self._ended_at:
                return
            self._drop_old()
            if any(len(case.runs) >= ENDS_TO_BLAME for case in self._cases.values()):
                self._judge()
            news = self._take_news()
        self._tell_all(news)

    def _tell_all(self, news: dict[str, CrashCase]) -> None:
        """Tell others what has changed; without the lock, since they may answer at once."""
        for fingerprint, case in news.items():
            self._tell(fingerprint, case)

    def _take_news(self) -> dict[str, CrashCase]:
        """Return the cases that have changed since the last call."""
        news = {name: self._cases[name] for name in self._changed if name in self._cases}
        self._changed.clear()
        return news

    def _was_answered(self, fingerprint: str) -> bool:
        at = self._answered.get(fingerprint)
        return at is not None and self._clock.now() - at < _ANSWER_HOLDS

    def _dismiss(self, fingerprint: str) -> bool:
        """Clear a request; false when nothing is held against it."""
        known = self._cases.get(fingerprint)
        if known is None or not known.runs:
            return False
        self._put(fingerprint, known.dismissed())
        return True

    def _put(self, fingerprint: str, case: CrashCase) -> None:
        """Merge ``case`` into what is known, and judge all anew."""
        known = self._cases.get(fingerprint)
        merged = case if known is None else known.merged(case)
        if merged == known:
            return
        if known is not None and known.is_blamed and merged.cleared > known.cleared:
            self._settled |= known.runs
        now = self._clock.now()
        for run in merged.runs:
            self._ended_at.setdefault(run, now)
        self._change(fingerprint, merged)
        # Word of one more request that nobody can be blamed for yet changes no verdict, and
        # a list of all cases over a new link brings thousands of them.
        if len(merged.runs) >= ENDS_TO_BLAME or fingerprint in self._culprits:
            self._judge()
        if len(self._cases) > _CASE_LIMIT:
            self._drop_lightest()

    def _judge(self) -> None:
        for name in find_culprits(self._cases, self._ended_at, self._clock.now(), self._settled):
            self._change(name, self._cases[name].blamed())
        self._note_culprits()

    def _change(self, fingerprint: str, case: CrashCase) -> None:
        self._cases[fingerprint] = case
        self._heard_at[fingerprint] = self._clock.now()
        self._changed.add(fingerprint)

    def _note_culprits(self) -> None:
        before = self._culprits
        self._culprits = frozenset(n for n, case in self._cases.items() if case.is_blamed)
        for name in self._culprits - before:
            _log.warning(
                "request quarantined", fingerprint=name, runs=sorted(self._cases[name].runs)
            )
        for name in before - self._culprits:
            _log.warning("request no longer quarantined", fingerprint=name)

    def _drop_old(self) -> None:
        oldest = self._clock.now() - _CASE_AGE
        for name in [n for n, at in self._heard_at.items() if at < oldest]:
            if name not in self._culprits:
                self._drop(name)
        for run in [run for run, at in self._ended_at.items() if at < oldest]:
            if not any(run in case.runs for case in self._cases.values()):
                del self._ended_at[run]
                self._settled -= {run}

    def _drop_lightest(self) -> None:
        for name in sorted(self._cases, key=self._weight)[:_DROPPED_AT_ONCE]:
            self._drop(name)

    def _weight(self, name: str) -> tuple[bool, int, int]:
        return name in self._culprits, len(self._cases[name].runs), self._heard_at[name]

    def _drop(self, name: str) -> None:
        del self._cases[name], self._heard_at[name]
