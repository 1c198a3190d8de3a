"""The lines in which one request stands, at several targets at once."""

from __future__ import annotations

from canvasyoke.entry._peer import Attempt
from canvasyoke.protocol import Outcome, Refusal


class Lines:
    """The lines in which one request stands: the one it counts on, and others."""

    def __init__(self, current: Attempt, number: int) -> None:
        #: Attempt whose answer is passed on; ``None`` while only others are left.
        self.current: Attempt | None = current
        #: Attempts that stand by.
        self.others: list[Attempt] = []
        #: Number of the request.
        self.number = number

    def move_to(self, ready: Attempt) -> None:
        """Take the slot that is free; leave all other lines."""
        self.others.remove(ready)
        if self.current is not None:
            self.others.append(self.current)
        self.current = ready
        ready.peer.go(ready)
        self.drop_others()

    def drop_others(self) -> None:
        """Leave all lines but the current one."""
        for other in self.others:
            other.peer.finish(other, whole=False)
        self.others.clear()

    def go_on_without(self, refused: Attempt, refusal: Refusal) -> bool:
        """Tell whether the request still stands in another line that may come good.

        Only a certain refusal lets it: a request that may have run is not left to
        run again without its retry being counted.
        """
        if not self.others or refusal.outcome is not Outcome.NOT_RUN:
            return False
        refused.peer.finish(refused, whole=False)
        self.current = None
        return True

    def cancel(self) -> None:
        """Ask every target to stop, and keep listening."""
        for attempt in (self.current, *self.others):
            if attempt is not None:
                attempt.peer.cancel(attempt)

    def finish(self, *, whole: bool) -> None:
        """Stop listening to all of them."""
        self.drop_others()
        if self.current is not None:
            self.current.peer.finish(self.current, whole=whole)
