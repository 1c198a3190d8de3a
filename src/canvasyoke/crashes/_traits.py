"""Traits by which requests are recognised when backends crash under them.

What crashes a backend may be a whole request that returns with other request ids, or something
that otherwise different requests have in common. Each such identity is a trait with a name; the
kinds are in a registry. Names have a bounded size and do not reveal the body, so that they can be
used in messages, logs and the store.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from canvasyoke._registry import Registry

#: Digest size in bytes; collisions are negligible at 128 bits.
_DIGEST_BYTES: Final = 16
#: Separates the parts before the body; none of them may contain it.
_SEPARATOR: Final = b"\n"
_SEGMENT_PREFIX: Final = "segment-"


@dataclass(frozen=True, slots=True)
class RequestIdentity:
    """The parts of a request that its traits are derived from."""

    method: str
    #: Path and query.
    target: str
    #: Name of the organisation, since its API keys may be rotated; empty without one.
    organisation: str
    body: bytes
    #: Ids of the segments of its prompt that other requests may contain too.
    segments: tuple[str, ...] = ()


#: Functions that return the names of the traits of one kind.
TRAITS: Registry[Callable[[RequestIdentity], Iterable[str]]] = Registry("trait")


@TRAITS.register("request")
def fingerprint_trait(identity: RequestIdentity) -> Iterable[str]:
    """Return the digest of the whole request, which is the same for each repetition."""
    return [fingerprint(identity.method, identity.target, identity.organisation, identity.body)]


@TRAITS.register("segment")
def segment_traits(identity: RequestIdentity) -> Iterable[str]:
    """Return the shared segments of the prompt."""
    return [_SEGMENT_PREFIX + segment for segment in identity.segments]


def find_traits(identity: RequestIdentity) -> tuple[str, ...]:
    """Return the names of all traits of a request."""
    return tuple(name for kind in TRAITS.names() for name in TRAITS.get(kind)(identity))


def is_shared(name: str) -> bool:
    """Return whether a trait may be common to different requests, most of them harmless."""
    return name.startswith(_SEGMENT_PREFIX)


def fingerprint(method: str, target: str, organisation: str, body: bytes) -> str:
    """Return the hexadecimal digest of a request."""
    head = _SEPARATOR.join(part.encode() for part in (method, organisation, target))
    digest = hashlib.blake2b(head + _SEPARATOR, digest_size=_DIGEST_BYTES)
    digest.update(body)
    return digest.hexdigest()
