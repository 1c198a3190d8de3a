"""Identity and address of a process in the fleet."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Node:
    """A process as its peers address it."""

    #: Name of its instance.
    name: str
    #: ``IP:PORT`` on which it accepts links.
    address: str
    #: Failure domain; empty if unknown.
    domain: str


def hash_order(name: str) -> bytes:
    """Return a sort key that gives every process the same order of names.

    The key is a digest, so that the order is independent of when and where an instance was
    started.
    """
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
