"""In how many turns all ranks of a group tell their owner what they have counted."""

from __future__ import annotations

from typing import Final

#: Milliseconds between readings of the own rank. Demand drifts within seconds, and a
#: reading from the engine beside costs nothing but the processor's time.
READ_EVERY: Final = 200
#: Milliseconds by which a relay reads after the ranks whose counts it adds up, and the
#: owner after the relays. All read at whole multiples of the time between readings, so
#: that the sums are of the same span and are under way as soon as it ends; where each
#: process reads at a time of its own, up to twice the time between readings goes by. In a
#: group of 63 the sums of three relays were at the owner 50 to 72 ms after the span, with
#: 17 to 20 of 21 ranks in each (log of a simulated calm day).
RELAY_PHASE: Final = 40
OWNER_PHASE: Final = 80
#: Ranks of a group whose readings reach the owner each turn, or more of them as far as
#: their numbers, one for each expert and layer, stay under the second limit. In larger
#: groups each rank sends so much less often. Packed numbers take 0.6 bytes each or less,
#: so that at five turns a second the limit is 1.2 Mbit/s; 96 ranks with 3,072 numbers
#: take six turns. At twice as much readings filled an owner's 3 Mbit/s, and 59 of 95
#: orders were not answered within two seconds.
_READINGS_AT_ONCE: Final = 8
_NUMBERS_AT_ONCE: Final = 50_000


def until_next(wall: int, every: int, phase: int) -> int:
    """Return the milliseconds until the time of day is ``phase`` past a multiple of ``every``."""
    return every - (wall - phase) % every


def reading_rounds(ranks: int, numbers: int) -> int:
    """Return the turns in which all ranks of a group have sent a reading once.

    What a rank counts in turns that are not its own is left out: the ranks' requests are
    alike, and counts of one turn are fresher than those of all turns since the last one.
    """
    at_once = max(_READINGS_AT_ONCE, _NUMBERS_AT_ONCE // max(1, numbers))
    return -(-ranks // at_once)
