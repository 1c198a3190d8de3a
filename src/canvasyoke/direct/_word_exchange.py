"""Passes on among entries what backends have said of themselves to one of them."""

from __future__ import annotations

from collections.abc import Callable

from canvasyoke.direct._backend_limits import RateWord
from canvasyoke.direct._backend_words import ToldWord
from canvasyoke.direct._roster import Roster
from canvasyoke.observe import part_logger
from canvasyoke.protocol import BackendWord, BackendWords, LimitWord, Message
from canvasyoke.transport import Session

_log = part_logger("words")


class WordExchange:
    """Words only add up, so they may come in any order and any number of times."""

    def __init__(self, roster: Roster, tell_all: Callable[[Message, Session | None], None]) -> None:
        self._roster = roster
        self._tell_all = tell_all

    def tell(self, told: ToldWord) -> None:
        """Tell the others what a backend has said to this entry."""
        self._tell_all(BackendWords([_to_message(told)]), None)

    def opened(self, session: Session) -> None:
        """Tell an entry that is newly linked with all that still holds."""
        words = self._roster.notices_to_share()
        if words:
            session.send(BackendWords([_to_message(told) for told in words]))

    def took(self, session: Session, message: BackendWords) -> None:
        """Take what another entry tells, and pass on what is news."""
        news = [word for word in message.words if self._roster.merge_peer_notice(_to_told(word))]
        if not news:
            return
        self._tell_all(BackendWords(news), session)
        for word in news:
            _log.info(
                "word of a backend",
                backend=word.backend,
                backoff=word.backoff,
                leaving=word.is_leaving,
                limit=word.limit.rate if word.limit is not None else None,
                peer=session.peer,
            )


def _to_message(told: ToldWord) -> BackendWord:
    limit = LimitWord(told.limit.age, told.limit.rate) if told.limit is not None else None
    return BackendWord(told.run, told.address, told.backoff, told.is_leaving, limit)


def _to_told(word: BackendWord) -> ToldWord:
    limit = RateWord(word.limit.rate, word.limit.age) if word.limit is not None else None
    return ToldWord(word.backend, word.address, word.backoff, word.is_leaving, limit)
