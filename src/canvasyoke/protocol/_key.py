"""Idempotency keys that contain the time of the first attempt.

A key is a UUID of version 7 (RFC 9562), whose first 48 bits are the Unix time in milliseconds.
With it, a new holder of a key's slot can refuse requests that the previous holder may
have run, without access to that holder's records.

>>> key_time(new_key(1_700_000_000_000, random.Random(1)))
1700000000000
"""

from __future__ import annotations

import random
import uuid
from typing import Final

_VERSION: Final = 7
_TIME_SHIFT: Final = 80
_TIME_BITS: Final = 48


class MalformedKeyError(ValueError):
    """A key that is not a UUID of version 7."""


def key_time(key: str) -> int:
    """Return the Unix time in ``key`` in milliseconds; raises :class:`MalformedKeyError`."""
    try:
        value = uuid.UUID(key)
    except ValueError:
        raise MalformedKeyError(f"not a UUID: {key[:64]!r}") from None
    if value.version != _VERSION:
        raise MalformedKeyError("a key must be a UUID of version 7, which carries its time")
    return value.int >> _TIME_SHIFT


def new_key(wall: int, rng: random.Random) -> str:
    """Return a key for a request first sent at Unix time ``wall`` in milliseconds."""
    time_part = (wall & ((1 << _TIME_BITS) - 1)) << _TIME_SHIFT
    random_bits = rng.getrandbits(_TIME_SHIFT) & ~(0xF << 76) & ~(0x3 << 62)
    return str(uuid.UUID(int=time_part | random_bits | (_VERSION << 76) | (0x2 << 62)))
