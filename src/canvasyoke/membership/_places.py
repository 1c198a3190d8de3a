"""Where a process of the fleet is."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Place:
    """One process as the others find it."""

    #: Name of its instance.
    name: str
    #: ``IP:PORT`` for links.
    address: str
    #: Failure domain; empty when it is not known.
    domain: str


def precedence(name: str) -> bytes:
    """Return what processes are ordered by where each must come to the same order alone.

    A digest, so that the order says nothing of when or where an instance was started.
    """
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
