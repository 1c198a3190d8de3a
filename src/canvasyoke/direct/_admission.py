"""Admission control: decides whether to send a request or to reject it at once.

A long backend queue delays every request in it, and callers abandon streams that start late.
A request that would wait too long is rejected before it runs, with a time to retry after.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, TypeAlias

from canvasyoke._registry import Registry
from canvasyoke.coordination import Candidate

#: Maximum wait of a request that may wait indefinitely.
NO_LIMIT: Final = 1 << 40

#: Returns whether to send a request, given the best candidate, the mean request duration in
#: milliseconds and the longest acceptable wait.
Admission: TypeAlias = Callable[[Candidate, float, int], bool]

#: Admission rules by name.
ADMISSIONS: Registry[Admission] = Registry("admission rule")


@ADMISSIONS.register("open")
def admit_all(best: Candidate, duration: float, max_wait: int) -> bool:
    """Admit every request and leave queueing to the backends."""
    return True


@ADMISSIONS.register("short_queue")
def admit_short_queue(best: Candidate, duration: float, max_wait: int) -> bool:
    """Admit a request if the expected wait for a slot is within ``max_wait``."""
    return expected_wait(best, duration) <= max_wait


def expected_wait(candidate: Candidate, duration: float) -> float:
    """Return the expected wait of a new request for a slot, in milliseconds."""
    slots = max(1, candidate.slots)
    ahead = candidate.load + 1 - slots
    return max(0, ahead) * duration / slots
