"""Whether a request is sent to a backend at all, or turned away at once.

A backend's queue keeps its slots busy, and what is longer than that only makes every
request in it late: callers give a stream up after two seconds without an event, and the
work done for it until then is lost to the others. A request that would wait too long is
refused while it certainly has not run, and told when to come back.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, TypeAlias

from canvasyoke._registry import Registry
from canvasyoke.coordination import Candidate

#: Stands for a request that may wait as long as it takes.
NO_LIMIT: Final = 1 << 40

#: Tells whether the best backend for a request should get it, from what is known of the
#: backend, the mean time of a request there, and the longest wait that makes sense.
Admission: TypeAlias = Callable[[Candidate, float, int], bool]

#: Rules by name.
ADMISSIONS: Registry[Admission] = Registry("admission rule")


@ADMISSIONS.register("open")
def admit_all(best: Candidate, duration: float, patience: int) -> bool:
    """Send every request; the backends' own queues decide. A baseline."""
    return True


@ADMISSIONS.register("short_queue")
def admit_short_queue(best: Candidate, duration: float, patience: int) -> bool:
    """Send a request if the wait for a slot is expected to be short enough."""
    return expected_wait(best, duration) <= patience


def expected_wait(candidate: Candidate, duration: float) -> float:
    """Return the milliseconds until a new request there would have a slot."""
    slots = max(1, candidate.slots)
    ahead = candidate.load + 1 - slots
    return max(0, ahead) * duration / slots
