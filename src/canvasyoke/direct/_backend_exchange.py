"""What entries tell each other of the list of backends.

A link loses nothing while it stands and keeps the order. So an entry that hears over a link
that the other one knows all changes up to a position has heard of them itself, unless they are
older than the link; then it asks for the whole list.
"""

from __future__ import annotations

import weakref
from collections.abc import Callable
from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.direct._backend_news import to_endpoint, to_news
from canvasyoke.direct._known_backends import BackendChange
from canvasyoke.direct._roster import Roster
from canvasyoke.observe import part_logger
from canvasyoke.protocol import BackendList, BackendNews, BackendsWanted, GroupNews, Message
from canvasyoke.state import format_position
from canvasyoke.transport import Session

_log = part_logger("peers")
#: Milliseconds between questions for all backends, one for each link that is new.
_LIST_AGAIN: Final = 200


class BackendExchange:
    """Takes and passes on lists and news of backends."""

    def __init__(
        self,
        roster: Roster,
        tell_all: Callable[[Message, Session | None], None],
        tell_position: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._roster = roster
        self._tell_all = tell_all
        self._tell_position = tell_position
        self._clock = clock
        self._listed_at = -_LIST_AGAIN
        #: Sessions over which all older changes of backends have come. Held weakly: the
        #: end of one that its peer has replaced by another is not told.
        self._caught_up: weakref.WeakSet[Session] = weakref.WeakSet()

    def tell(self, change: BackendChange) -> None:
        """Pass on what the store said of a backend."""
        self._tell_all(to_news(change), None)

    def closed(self, session: Session) -> None:
        """Take note that a link has ended."""
        self._caught_up.discard(session)

    def heard_up_to(self, position: int, age: int, session: Session) -> None:
        """Take note of the position up to which another entry knows all backends."""
        now = self._clock.now()
        if session in self._caught_up and not self._roster.needs_list:
            self._roster.advance_position(position)
            self._roster.confirm_list(age)
        elif position and now - self._listed_at >= _LIST_AGAIN:
            self._listed_at = now
            session.send(BackendsWanted())

    def all(self) -> BackendList:
        """Return all backends, with the position up to which the list is complete."""
        position = self._roster.position
        changes = [BackendChange(e, False, e.position) for e in self._roster.endpoints()]
        backends = [to_news(change) for change in changes]
        return BackendList(position, backends, self._roster.groups())

    def took_list(self, session: Session, listed: BackendList) -> None:
        """Take all backends from another entry, and pass on what was new."""
        self._caught_up.add(session)
        changes = self._roster.merge(
            [to_endpoint(news) for news in listed.backends], listed.revision
        )
        _log.info(
            "backends heard",
            count=len(listed.backends),
            changes=len(changes),
            revision=format_position(listed.revision),
            peer=session.peer,
        )
        for change in changes:
            self._tell_all(to_news(change), session)
        for backend, group in listed.groups.items():
            if self._roster.learn_group(backend, group):
                self._tell_all(GroupNews(backend, group), session)
        self._tell_position()

    def took_news(self, session: Session, news: BackendNews) -> None:
        """Take word of one backend from another entry; pass it on or put it right."""
        change = BackendChange(to_endpoint(news), news.gone, news.revision, news.was_lost)
        if not self._roster.apply_change(change):
            answer = self._roster.refute(change)
            if answer is not None:
                session.send(to_news(answer))
            return
        self._tell_all(news, session)
        _log.info(
            "backend news",
            backend=news.id,
            gone=news.gone,
            leaving=news.leaving,
            revision=format_position(news.revision),
            peer=session.peer,
        )
