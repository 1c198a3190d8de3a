"""Exchange of the states of rank groups between entries."""

from __future__ import annotations

from collections.abc import Callable

from canvasyoke.direct._group_states import GroupStates
from canvasyoke.protocol import GroupStateUpdate, Message
from canvasyoke.transport import Session


class GroupExchange:
    """Stores what other entries report of groups, and passes on what is new."""

    def __init__(
        self,
        states: GroupStates,
        is_mesh: Callable[[], bool],
        broadcast: Callable[[Message, Session | None], None],
    ) -> None:
        self._states = states
        self._is_mesh = is_mesh
        #: Sends a message to all linked entries, except the one given.
        self._broadcast = broadcast

    def share(self, update: GroupStateUpdate) -> None:
        """Announce a state that this entry has observed."""
        self._broadcast(update, None)

    def receive(self, session: Session, update: GroupStateUpdate) -> None:
        """Store a group's state, and pass it on if it is new.

        In a full mesh all entries hear confirmations from their source, so only changes are passed
        on there, for entries that have lost their link to it.
        """
        before = self._states.reported(update.group)
        is_new = self._states.observe(
            update.group,
            update.epoch,
            update.is_open,
            update.age,
            update.outage,
            f"entry {session.peer}",
        )
        is_changed = before != self._states.reported(update.group)
        if is_new and (is_changed or not self._is_mesh()):
            self._broadcast(update, session)
