"""What the HTTP servers of all processes share."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from waitress.adjustments import Adjustments
from waitress.server import TcpWSGIServer
from waitress.utilities import Error

from canvasyoke._clock import Clock
from canvasyoke.transport._channel import Channel
from canvasyoke.transport._request_budget import RequestBudget
from canvasyoke.transport._request_parser import Overloaded

#: Connections from which on waitress accepts no more; above any limit that servers apply.
NO_LIMIT: Final = 1 << 20


@dataclass(frozen=True, slots=True)
class ServerCapacity:
    """What a server may use of its process."""

    #: Memory for requests; shared by all servers of the process.
    budget: RequestBudget
    #: Maximum number of open connections.
    connections: int


class BoundedServer(TcpWSGIServer):
    """Serves one WSGI application on one address, within the budget of its process."""

    channel_class = Channel
    # Wrong in the type stubs of waitress.
    active_channels: Any

    def __init__(
        self,
        clock: Clock,
        capacity: ServerCapacity,
        application: Any,
        adj: Adjustments,
        dispatcher: Any = None,
    ) -> None:
        self.clock = clock
        self.budget = capacity.budget
        self._max_connections = capacity.connections
        #: Number of requests refused before they were read to their end, by status.
        self.refused_unread: Counter[int] = Counter()
        #: Number of connections that were closed for new ones.
        self.displaced_connections = 0
        #: Returns the refusal of a request for which there is no memory.
        self.make_overload_error: Callable[[], Error] = Overloaded
        super().__init__(application, adj=adj, dispatcher=dispatcher)

    def handle_accept(self) -> None:
        """Accept a connection; at the limit, close the one unused for longest, or reject it.

        Were connections left to wait, callers that send nothing would shut out all others.
        """
        if len(self.active_channels) < self._max_connections:
            super().handle_accept()
            return
        unused = self._longest_unused()
        if unused is None:
            self.reject_connection()
            return
        # In this order, as events of the closed descriptor may be pending.
        super().handle_accept()
        unused.handle_close()
        self.displaced_connections += 1

    def reject_connection(self) -> None:
        """Close a new connection unread.

        The caller then knows that its request was not read, and may try another process at once.
        """
        accepted = self.accept()
        if accepted is not None:
            accepted[0].close()

    def maintenance(self, now: int) -> None:
        """Close connections that are not in use."""
        for channel in list(self.active_channels.values()):
            channel.close_overdue(self.clock.now())
        super().maintenance(now)

    def _longest_unused(self) -> Channel | None:
        unused = (each for each in self.active_channels.values() if not each.is_busy)
        return min(unused, key=lambda each: int(each.last_active_at), default=None)
