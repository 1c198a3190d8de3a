"""Schedule by which the ranks of a group send their counts to the owner."""

from __future__ import annotations

from typing import Final

#: Milliseconds between readings of the own rank. Demand drifts within seconds, and a reading from
#: the local engine costs only processor time.
READ_INTERVAL: Final = 200
#: Milliseconds by which relays read after the other ranks, and the owner after the relays. All
#: processes read at multiples of the interval, so that sums cover the same time span and arrive
#: without waiting for another interval. In a group of 63 the sums of three relays reached the owner
#: 50 to 72 ms after the end of the span, with 17 to 20 of 21 ranks in each.
RELAY_READ_OFFSET: Final = 40
OWNER_READ_OFFSET: Final = 80
#: Readings sent to the owner per interval: at least the first number, and more while their counts
#: stay below the second. Ranks of larger groups take turns, so that readings do not crowd out
#: orders on the owner's network connection. Packed numbers take at most 0.6 bytes each, so the
#: second limit is 1.2 Mbit/s. At twice as much, readings filled an owner's 3 Mbit/s and 59 of 95
#: orders were not answered within 2 s.
_MIN_READINGS_PER_INTERVAL: Final = 8
_COUNTS_PER_INTERVAL: Final = 50_000


def time_until_next(wall: int, interval: int, offset: int) -> int:
    """Return the milliseconds until the time is ``offset`` past a multiple of ``interval``."""
    return interval - (wall - offset) % interval


def intervals_per_round(ranks: int, counts_per_rank: int) -> int:
    """Return the number of intervals in which every rank of a group sends one reading.

    Counts from a rank's other intervals are dropped: requests are similar on all ranks, and the
    counts of a single interval are more recent.
    """
    readings_per_interval = max(
        _MIN_READINGS_PER_INTERVAL, _COUNTS_PER_INTERVAL // max(1, counts_per_rank)
    )
    return -(-ranks // readings_per_interval)
