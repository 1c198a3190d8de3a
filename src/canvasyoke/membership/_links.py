"""Keeps the links that the overlay asks for, and drops those that it no longer does."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Iterable
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.membership._overlay import choose_dials, is_mesh
from canvasyoke.membership._places import Place
from canvasyoke.protocol import Message
from canvasyoke.transport import LinkClient, LinkServer, Session

#: Milliseconds without a link after which a process that is dialled counts as away, and
#: for which the next one in order is dialled in its place. Connecting takes some 5 ms; a
#: process that was killed is back after one to three seconds.
_AWAY_AFTER: Final = 3 * SECOND
_AWAY_FOR: Final = 5 * SECOND
#: Milliseconds by which, in a mesh, the second of two processes in order of their names
#: leaves it to the first one to dial. Both dialling made two links of most.
_YIELD: Final = 500


class OverlayLinks:
    """The links of one process. ``look`` is called by one task, the rest by any."""

    def __init__(
        self,
        own: Place,
        role: str,
        incarnation: str,
        clock: Clock,
        rng: random.Random,
        on_message: Callable[[Session, Message], None],
        on_open: Callable[[Session], None],
        on_close: Callable[[Session], None],
    ) -> None:
        self._own = own
        self._role = role
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._on_message = on_message
        self._on_open = on_open
        self._on_close = on_close
        self._link_key = b""
        self._server: LinkServer | None = None
        self._places: dict[str, Place] = {}
        self._clients: dict[str, LinkClient] = {}
        #: Since when a process is wanted, or was last linked with.
        self._since: dict[str, int] = {}
        #: Until when a process counts as away.
        self._away: dict[str, int] = {}
        self._lock = threading.Lock()
        self._sessions: dict[str, Session] = {}

    @property
    def is_mesh(self) -> bool:
        """Tell whether all processes link with each other."""
        return is_mesh(len(self._places) + 1)

    @property
    def linked(self) -> int:
        """Return the number of processes linked with."""
        return len(self.sessions())

    def sessions(self) -> list[Session]:
        """Return the sessions that stand."""
        with self._lock:
            return [session for session in self._sessions.values() if not session.closed]

    def listen(self, link_key: bytes) -> None:
        """Begin to take links from others; another key is for links that begin later."""
        if link_key == self._link_key:
            return
        self._link_key = link_key
        if self._server is not None:
            self._server.use_key(link_key)
            for client in self._clients.values():
                client.use_key(link_key)
            return
        self._server = LinkServer(
            self._own.address,
            link_key,
            self._own.name,
            self._incarnation,
            self._clock,
            self._on_message,
            self._opened,
            self._closed,
        )
        self._server.start()

    def set_places(self, others: Iterable[Place]) -> None:
        """Take note of where the other processes are."""
        self._places = {place.name: place for place in others}

    def look(self) -> None:
        """Dial who is wanted, and let go of who is not."""
        if self._server is None:
            return
        now = self._clock.now()
        self._away = {name: until for name, until in self._away.items() if until > now}
        wanted = choose_dials(
            self._own, [p for name, p in self._places.items() if name not in self._away]
        )
        self._since = {name: at for name, at in self._since.items() if name in wanted}
        for name in sorted(wanted):
            self._want(name, now)
        if all(self._is_linked(name) for name in wanted):
            for name in self._clients.keys() - wanted:
                self._let_go(name)

    def _want(self, name: str, now: int) -> None:
        since = self._since.setdefault(name, now)
        if self._is_linked(name):
            self._since[name] = now
            return
        if now - since > _AWAY_AFTER:
            self._away[name] = now + _AWAY_FOR
            self._let_go(name)
            return
        yields = self.is_mesh and name < self._own.name and now - since < _YIELD
        if not yields:
            self._dial(self._places[name])

    def _is_linked(self, name: str) -> bool:
        with self._lock:
            session = self._sessions.get(name)
        return session is not None and not session.closed

    def _dial(self, place: Place) -> None:
        client = self._clients.get(place.name)
        if client is not None:
            if client.address == place.address:
                return
            client.stop()
        client = LinkClient(
            place.address,
            self._link_key,
            self._role,
            self._own.name,
            self._incarnation,
            self._clock,
            self._rng,
            self._on_message,
            self._opened,
            self._closed,
        )
        self._clients[place.name] = client
        client.start()

    def _let_go(self, name: str) -> None:
        self._since.pop(name, None)
        client = self._clients.pop(name, None)
        if client is not None:
            client.stop()

    def _opened(self, session: Session) -> None:
        with self._lock:
            self._sessions[session.peer] = session
        self._on_open(session)

    def _closed(self, session: Session) -> None:
        with self._lock:
            is_current = self._sessions.get(session.peer) is session
            if is_current:
                del self._sessions[session.peer]
        if is_current:
            self._on_close(session)
