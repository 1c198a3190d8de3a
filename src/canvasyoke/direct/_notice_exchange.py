"""Shares among entries the notices that one of them has received from backends."""

from __future__ import annotations

from collections.abc import Callable

from canvasyoke.direct._backend_limits import RateLimit
from canvasyoke.direct._backend_notices import SharedNotice
from canvasyoke.direct._roster import Roster
from canvasyoke.observe import part_logger
from canvasyoke.protocol import Message, RelayedLimit, RelayedNotice, RelayedNotices
from canvasyoke.transport import Session

_log = part_logger("words")


class NoticeExchange:
    """Sends and receives shared notices, which may arrive repeatedly and in any order."""

    def __init__(
        self, roster: Roster, broadcast: Callable[[Message, Session | None], None]
    ) -> None:
        self._roster = roster
        self._broadcast = broadcast

    def share(self, notice: SharedNotice) -> None:
        """Send the other entries a notice that this entry has received."""
        self._broadcast(RelayedNotices([_to_message(notice)]), None)

    def handle_open(self, session: Session) -> None:
        """Send a newly linked entry all notices that are still in effect."""
        notices = self._roster.notices_to_share()
        if notices:
            session.send(RelayedNotices([_to_message(notice) for notice in notices]))

    def receive(self, session: Session, message: RelayedNotices) -> None:
        """Apply what another entry has shared, and forward what was new."""
        new = [word for word in message.words if self._roster.merge_peer_notice(_to_notice(word))]
        if not new:
            return
        self._broadcast(RelayedNotices(new), session)
        for word in new:
            _log.info(
                "word of a backend",
                backend=word.backend,
                backoff=word.backoff,
                leaving=word.is_leaving,
                limit=word.limit.rate if word.limit is not None else None,
                peer=session.peer,
            )


def _to_message(notice: SharedNotice) -> RelayedNotice:
    limit = RelayedLimit(notice.limit.age, notice.limit.rate) if notice.limit is not None else None
    return RelayedNotice(notice.run, notice.address, notice.backoff, notice.is_leaving, limit)


def _to_notice(word: RelayedNotice) -> SharedNotice:
    limit = RateLimit(word.limit.rate, word.limit.age) if word.limit is not None else None
    return SharedNotice(word.backend, word.address, word.backoff, word.is_leaving, limit)
