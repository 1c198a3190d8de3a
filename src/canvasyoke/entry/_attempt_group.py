"""Attempts of one request that are queued at several targets."""

from __future__ import annotations

from canvasyoke.entry._target_client import Attempt
from canvasyoke.protocol import Outcome, Refusal


class AttemptGroup:
    """The attempts of one request: the primary one, and standbys queued at other targets.

    A standby does not run until it is promoted, which cancels the other attempts.
    """

    def __init__(self, primary: Attempt, request_number: int) -> None:
        #: Attempt whose response is relayed; ``None`` if it was refused and only standbys are left.
        self.primary: Attempt | None = primary
        #: Attempts that run only if promoted.
        self.standbys: list[Attempt] = []
        #: Number of the request at this entry.
        self.request_number = request_number

    def promote(self, standby: Attempt) -> None:
        """Make ``standby`` the primary attempt, claim its slot and cancel all others."""
        self.standbys.remove(standby)
        if self.primary is not None:
            self.standbys.append(self.primary)
        self.primary = standby
        standby.target.claim_slot(standby)
        self.cancel_standbys()

    def cancel_standbys(self) -> None:
        """Cancel all standbys."""
        for standby in self.standbys:
            standby.target.finish(standby, completed=False)
        self.standbys.clear()

    def try_fall_back(self, failed: Attempt, refusal: Refusal) -> bool:
        """Drop the failed primary attempt if a standby can take over; return whether one can.

        An attempt that may have run is not dropped: running the request again must count as a
        retry.
        """
        if not self.standbys or refusal.outcome is not Outcome.NOT_RUN:
            return False
        failed.target.finish(failed, completed=False)
        self.primary = None
        return True

    def cancel(self) -> None:
        """Send a cancellation to every target; their replies are still received."""
        for attempt in (self.primary, *self.standbys):
            if attempt is not None:
                attempt.target.cancel(attempt)

    def finish(self, *, completed: bool) -> None:
        """Finish all attempts; ``completed`` tells whether the response is complete."""
        self.cancel_standbys()
        if self.primary is not None:
            self.primary.target.finish(self.primary, completed=completed)
