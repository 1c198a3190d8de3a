"""Opens and closes links so that they match the overlay."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Iterable
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.membership._nodes import Node
from canvasyoke.membership._overlay import choose_peers, is_mesh
from canvasyoke.protocol import Message
from canvasyoke.transport import LinkClient, LinkServer, Session

#: Milliseconds without a link after which a dialled process is considered unavailable, and for
#: which the overlay then leaves it out. A killed process restarts within 3 s. Connecting takes
#: about 5 ms.
_UNAVAILABLE_AFTER: Final = 3 * SECOND
_UNAVAILABLE_FOR: Final = 5 * SECOND
#: Milliseconds for which, in a mesh, the process whose name sorts last waits for the other
#: one to dial, so that a pair does not open two links.
_DIAL_DELAY: Final = 500


class OverlayLinks:
    """The links of one process.

    ``reconcile`` must be called from a single thread; the other methods from any.
    """

    def __init__(
        self,
        own: Node,
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
        self._nodes: dict[str, Node] = {}
        self._clients: dict[str, LinkClient] = {}
        #: Time at which each wanted process was first wanted or last linked.
        self._unlinked_since: dict[str, int] = {}
        #: Time until which a process is considered unavailable.
        self._unavailable_until: dict[str, int] = {}
        self._lock = threading.Lock()
        self._sessions: dict[str, Session] = {}

    @property
    def is_mesh(self) -> bool:
        """Whether the overlay is a full mesh."""
        return is_mesh(len(self._nodes) + 1)

    @property
    def link_count(self) -> int:
        """Number of linked processes."""
        return len(self.sessions())

    def sessions(self) -> list[Session]:
        """Return the open sessions."""
        with self._lock:
            return [session for session in self._sessions.values() if not session.closed]

    def listen(self, link_key: bytes) -> None:
        """Accept links that authenticate with ``link_key``.

        A changed key applies to new links only.
        """
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
            self._handle_open,
            self._handle_close,
        )
        self._server.start()

    def set_nodes(self, others: Iterable[Node]) -> None:
        """Set the addresses of the other processes."""
        self._nodes = {node.name: node for node in others}

    def reconcile(self) -> None:
        """Dial the peers that the overlay requires, and close other links once those are open."""
        if self._server is None:
            return
        now = self._clock.now()
        self._unavailable_until = {
            name: until for name, until in self._unavailable_until.items() if until > now
        }
        wanted = choose_peers(
            self._own, [p for name, p in self._nodes.items() if name not in self._unavailable_until]
        )
        self._unlinked_since = {
            name: at for name, at in self._unlinked_since.items() if name in wanted
        }
        for name in sorted(wanted):
            self._ensure_link(name, now)
        if all(self._is_linked(name) for name in wanted):
            for name in self._clients.keys() - wanted:
                self._stop_client(name)

    def _ensure_link(self, name: str, now: int) -> None:
        since = self._unlinked_since.setdefault(name, now)
        if self._is_linked(name):
            self._unlinked_since[name] = now
            return
        if now - since > _UNAVAILABLE_AFTER:
            self._unavailable_until[name] = now + _UNAVAILABLE_FOR
            self._stop_client(name)
            return
        is_delayed = self.is_mesh and name < self._own.name and now - since < _DIAL_DELAY
        if not is_delayed:
            self._dial(self._nodes[name])

    def _is_linked(self, name: str) -> bool:
        with self._lock:
            session = self._sessions.get(name)
        return session is not None and not session.closed

    def _dial(self, node: Node) -> None:
        client = self._clients.get(node.name)
        if client is not None:
            if client.address == node.address:
                return
            client.stop()
        client = LinkClient(
            node.address,
            self._link_key,
            self._role,
            self._own.name,
            self._incarnation,
            self._clock,
            self._rng,
            self._on_message,
            self._handle_open,
            self._handle_close,
        )
        self._clients[node.name] = client
        client.start()

    def _stop_client(self, name: str) -> None:
        self._unlinked_since.pop(name, None)
        client = self._clients.pop(name, None)
        if client is not None:
            client.stop()

    def _handle_open(self, session: Session) -> None:
        with self._lock:
            self._sessions[session.peer] = session
        self._on_open(session)

    def _handle_close(self, session: Session) -> None:
        with self._lock:
            is_current = self._sessions.get(session.peer) is session
            if is_current:
                del self._sessions[session.peer]
        if is_current:
            self._on_close(session)
