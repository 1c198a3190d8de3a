"""Shares crash cases among entries; they may arrive repeatedly and in any order."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from canvasyoke.crashes._cases import CrashCase
from canvasyoke.crashes._quarantine import Quarantine
from canvasyoke.crashes._traits import is_shared
from canvasyoke.protocol import CrashList, CrashUpdate, Message
from canvasyoke.transport import Session


class CrashExchange:
    """Sends and receives the crash cases of an entry."""

    def __init__(self, quarantine: Quarantine, broadcast: Callable[[Message], None]) -> None:
        self._quarantine = quarantine
        self._broadcast = broadcast

    def share(self, name: str, case: CrashCase) -> None:
        """Send the other entries a case that has changed."""
        self._broadcast(self._to_message(name, case))

    def handle_open(self, session: Session) -> None:
        """Send a newly linked entry all cases."""
        cases = self._quarantine.cases()
        if cases:
            session.send(CrashList([self._to_message(name, case) for name, case in cases.items()]))

    def receive(self, message: CrashUpdate | CrashList) -> None:
        """Merge cases of another entry; the quarantine publishes what is new."""
        for news in message.cases if isinstance(message, CrashList) else [message]:
            ages = dict(zip(news.runs, news.ages, strict=False))
            self._quarantine.merge(news.fingerprint, _to_case(news), ages)

    def _to_message(self, name: str, case: CrashCase) -> CrashUpdate:
        return _to_message(name, case, self._quarantine.time_since_end(case.runs))


def _to_message(name: str, case: CrashCase, ages: Mapping[str, int]) -> CrashUpdate:
    """Return the message; ``ages`` maps each run to the milliseconds since it ended."""
    runs = sorted(case.runs)
    return CrashUpdate(
        fingerprint=name,
        cleared=case.cleared,
        runs=runs,
        is_blamed=case.is_blamed and not is_shared(name),
        is_shared_blamed=case.is_blamed and is_shared(name),
        ages=[ages.get(run, 0) for run in runs],
        was_answered=case.was_answered,
        answers=dict(case.answers),
    )


def _to_case(news: CrashUpdate) -> CrashCase:
    is_blamed = news.is_shared_blamed if is_shared(news.fingerprint) else news.is_blamed
    return CrashCase(news.cleared, frozenset(news.runs), is_blamed, news.was_answered, news.answers)
