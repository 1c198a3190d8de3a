"""Plans and changes a group's map beside rank 1 while the owner beside rank 0 is silent.

The standby begins to act when its link to the owner has been silent, every other rank's process has
found the owner silent as well and sends its readings here, and the engine of the owner's rank
answers. It then allocates fences above the owner's and runs the owner's code. The fences decide who
may change the map; silence only decides who tries.

An owner that is slow rather than silent must not lose the map again and again, since whoever takes
over starts without a demand estimate. So the standby acts at most once for each silence, and after
it has stepped back a silence must be longer for some seconds.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Final

from canvasyoke._clock import SECOND, Clock
from canvasyoke.experts._acting_group import ActingGroup
from canvasyoke.experts._change_types import OWNER_TIMEOUT, OwnerReplacedError
from canvasyoke.experts._owner import MapOwner
from canvasyoke.experts._rank_port import RankReport
from canvasyoke.observe import part_logger
from canvasyoke.protocol import Message
from canvasyoke.transport import Session

_log = part_logger("standby")
#: Milliseconds since the standby stepped back within which the owner counts as slow, and the
#: silence after which the standby acts again within that time.
_SLOW_OWNER_INTERVAL: Final = 5 * SECOND
_SLOW_OWNER_TIMEOUT: Final = 2 * SECOND

#: Suspends a change for some seconds; raises ``OwnerReplacedError`` to end it.
Pause = Callable[[float], object]


class ActingOwner:
    """Acts for the silent owner of one group, in any epoch."""

    def __init__(
        self,
        make_group: Callable[[RankReport], ActingGroup],
        make_owner: Callable[[ActingGroup, Pause], MapOwner | None],
        silence: Callable[[], int],
        clock: Clock,
        wait: Pause | None = None,
    ) -> None:
        self._make_group = make_group
        self._make_owner = make_owner
        #: Returns the milliseconds since the owner's last message.
        self._silence = silence
        self._clock = clock
        self._wait = wait or threading.Event().wait
        #: Receives messages on the link server's thread.
        self._group: ActingGroup | None = None
        self._owner: MapOwner | None = None
        #: Whether another owner has taken over during the current silence.
        self._is_replaced = False
        self._is_silence = False
        self._stepped_back_at = clock.now() - _SLOW_OWNER_INTERVAL
        self._began_at = 0

    @property
    def is_acting(self) -> bool:
        """Return whether this process owns the map at present."""
        return self._owner is not None and self._owner.owns_map

    @property
    def is_silence(self) -> bool:
        """Return whether the owner was silent at the last tick, so that ticks are frequent."""
        return self._is_silence

    @property
    def is_group_held(self) -> bool:
        """Return whether another rank's reading, sent since the owner fell silent, shows a hold."""
        return self._group is not None and bool(self._group.held_ranks())

    @property
    def skew(self) -> float:
        """Return the skew of the map in force; 0 while not acting."""
        return self._owner.skew if self._owner is not None else 0.0

    def on_message(self, session: Session, message: Message) -> None:
        """Handle a message from another rank's process."""
        group = self._group
        if group is not None:
            group.on_message(session, message)

    def tick(self, report: RankReport, read_counts: Callable[[], list[int]]) -> bool:
        """Act if that is due; return whether this process owns the map."""
        group = self._group
        if group is None or group.epoch != report.epoch:
            self._step_back("the group is in another epoch")
            self._is_replaced = False
            group = self._group = self._make_group(report)
        silence = self._silence()
        self._is_silence = silence >= self._required_silence()
        if not self._is_silence:
            self._step_back("the owner is heard of")
            self._is_replaced = False
            group.forget_readings()
            return False
        group.add_own_counts(read_counts())
        if self._owner is None and not self._is_replaced:
            self._owner = self._begin(group, report)
        if self._owner is None or not (self.is_acting or group.is_owner_rank_reachable):
            return False
        was_acting = self.is_acting
        if not self._owner.tick():
            self._is_replaced = True
            self._step_back("another owner has taken over, or the group is formed anew")
        elif self.is_acting and not was_acting:
            self._began_at = self._clock.now()
            _log.info(
                "acts for the owner",
                group=group.name,
                epoch=group.epoch,
                fence=self._owner.fence,
                silence=silence,
            )
        return self.is_acting

    def _required_silence(self) -> int:
        """Return the milliseconds of silence after which the standby acts."""
        is_slow = self._clock.now() - self._stepped_back_at < _SLOW_OWNER_INTERVAL
        return _SLOW_OWNER_TIMEOUT if is_slow and self._owner is None else OWNER_TIMEOUT

    def _begin(self, group: ActingGroup, report: RankReport) -> MapOwner | None:
        """Return an owner if the group can be changed from here."""
        is_under_way = report.armed is not None or report.held_step or group.held_ranks()
        if not report.is_open or is_under_way or not group.is_linked:
            return None
        return self._make_owner(group, self._pause)

    def _pause(self, seconds: float) -> None:
        """Suspend a change; end it if the owner is heard, who recovers what is left of it."""
        if self._silence() < OWNER_TIMEOUT:
            raise OwnerReplacedError
        self._wait(seconds)

    def _step_back(self, cause: str) -> None:
        owner, self._owner = self._owner, None
        if owner is None or not owner.owns_map:
            return
        now = self._clock.now()
        self._stepped_back_at = now
        _log.info(
            "no longer acts for the owner",
            cause=cause,
            epoch=owner.epoch,
            fence=owner.fence,
            acted_for=now - self._began_at,
        )
