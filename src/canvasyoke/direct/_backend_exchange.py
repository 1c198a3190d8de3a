"""Synchronizes the list of backends among entries.

A link delivers all messages in order while it is up. So when a peer reports the position up to
which it knows all changes, this entry has received them too, except those older than the link;
for these it requests the whole list once.
"""

from __future__ import annotations

import weakref
from collections.abc import Callable
from typing import Final

from canvasyoke._clock import Clock
from canvasyoke.direct._backend_news import to_backend_news, to_endpoint
from canvasyoke.direct._known_backends import BackendChange
from canvasyoke.direct._roster import Roster
from canvasyoke.observe import part_logger
from canvasyoke.protocol import BackendList, BackendListRequest, BackendUpdate, GroupUpdate, Message
from canvasyoke.state import format_position
from canvasyoke.transport import Session

_log = part_logger("peers")
#: Least milliseconds between two requests for a whole list.
_LIST_REQUEST_INTERVAL: Final = 200


class BackendExchange:
    """Receives and forwards lists and changes of backends."""

    def __init__(
        self,
        roster: Roster,
        broadcast: Callable[[Message, Session | None], None],
        announce_position: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._roster = roster
        self._broadcast = broadcast
        self._announce_position = announce_position
        self._clock = clock
        self._list_requested_at = -_LIST_REQUEST_INTERVAL
        #: Sessions over which a whole list was received. Weak references, since ``handle_close`` is
        #: not called for a session that its peer has replaced.
        self._synced: weakref.WeakSet[Session] = weakref.WeakSet()

    def share(self, change: BackendChange) -> None:
        """Send the other entries a change that was read from the store."""
        self._broadcast(self._to_news(change), None)

    def _to_news(self, change: BackendChange) -> BackendUpdate:
        return to_backend_news(change, self._roster.cold_remaining(change.endpoint))

    def handle_close(self, session: Session) -> None:
        """Forget a link that has ended."""
        self._synced.discard(session)

    def receive_position(self, position: int, age: int, session: Session) -> None:
        """Handle the position up to which another entry knows all changes."""
        now = self._clock.now()
        if session in self._synced and not self._roster.needs_list:
            self._roster.advance_position(position)
            self._roster.confirm_list(age)
        elif position and now - self._list_requested_at >= _LIST_REQUEST_INTERVAL:
            self._list_requested_at = now
            session.send(BackendListRequest())

    def snapshot(self) -> BackendList:
        """Return all backends, with the position up to which the list is complete."""
        position = self._roster.position
        changes = [BackendChange(e, False, e.position) for e in self._roster.endpoints()]
        backends = [self._to_news(change) for change in changes]
        return BackendList(position, backends, self._roster.groups())

    def receive_list(self, session: Session, listed: BackendList) -> None:
        """Merge another entry's list, and forward what was new."""
        self._synced.add(session)
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
            self._broadcast(self._to_news(change), session)
        for backend, group in listed.groups.items():
            if self._roster.learn_group(backend, group):
                self._broadcast(GroupUpdate(backend, group), session)
        self._announce_position()

    def receive_news(self, session: Session, news: BackendUpdate) -> None:
        """Apply another entry's change of a backend, and forward it or answer with a correction."""
        change = BackendChange(to_endpoint(news), news.gone, news.revision, news.was_lost)
        if not self._roster.apply_change(change):
            answer = self._roster.refute(change)
            if answer is not None:
                session.send(self._to_news(answer))
            return
        self._broadcast(news, session)
        _log.info(
            "backend news",
            backend=news.id,
            gone=news.gone,
            leaving=news.leaving,
            revision=format_position(news.revision),
            peer=session.peer,
        )
