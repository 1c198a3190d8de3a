"""Idle link from a rank process to the standby, used while the owner is silent.

It is kept open at all times, as dialling and a handshake would delay the first readings by up to a
second. Only processes that link directly to the owner have it: the relays of large groups, and all
ranks of small ones.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.protocol import Message
from canvasyoke.transport import LinkClient, Session

#: Milliseconds without a link after which the standby's address is looked up again, and while it
#: has not registered yet. The standby is needed rarely, so that lookups for it are rare, too.
_LOOKUP_INTERVAL: Final = 10 * SECOND
_FIRST_LOOKUP_INTERVAL: Final = 2 * SECOND


class StandbyLink:
    """A link to the standby's process."""

    def __init__(
        self,
        role: str,
        instance: str,
        incarnation: str,
        clock: Clock,
        rng: random.Random,
        on_message: Callable[[Session, Message], None],
    ) -> None:
        self._role = role
        self._instance = instance
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._on_message = on_message
        self._client: LinkClient | None = None
        self._session: Session | None = None
        #: Time of the last lookup, or at which the link was last up.
        self._waiting_since = clock.now() - _LOOKUP_INTERVAL

    @property
    def session(self) -> Session | None:
        """Return the session if the link is up."""
        session = self._session
        return session if session is not None and not session.closed else None

    def is_lookup_due(self) -> bool:
        """Return whether the standby's address should be looked up."""
        now = self._clock.now()
        if self.session is not None:
            self._waiting_since = now
        is_known = self._client is not None
        interval = _LOOKUP_INTERVAL if is_known else _FIRST_LOOKUP_INTERVAL
        return now - self._waiting_since >= interval

    def dial(self, address: str, link_key: bytes) -> None:
        """Link to the standby at ``address``; empty if it is not known."""
        self._waiting_since = self._clock.now()
        if not address or (self._client is not None and self._client.address == address):
            return
        self.stop()
        self._client = LinkClient(
            address,
            link_key,
            self._role,
            self._instance,
            self._incarnation,
            self._clock,
            self._rng,
            self._on_message,
            self._on_opened,
            self._on_closed,
        )
        self._client.start()

    def use_key(self, link_key: bytes) -> None:
        """Use another key for new links."""
        if self._client is not None:
            self._client.use_key(link_key)

    def stop(self) -> None:
        """Close the link."""
        if self._client is not None:
            self._client.stop()
            self._client = None

    def _on_opened(self, session: Session) -> None:
        self._session = session

    def _on_closed(self, session: Session) -> None:
        if self._session is session:
            self._session = None
