"""Traits by which requests are recognised when backends crash under them.

What crashes a backend may be a whole request that returns with other request ids, or something
that otherwise different requests have in common. Each such identity is a trait with a name; the
kinds are in a registry. Names have a bounded size and do not reveal the body, so that they can be
used in messages, logs and the store.
"""

from __future__ import annotations

import hashlib
from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass
from typing import ClassVar, Final

from canvasyoke._registry import Registry

#: Digest size in bytes; collisions are negligible at 128 bits.
_DIGEST_BYTES: Final = 16
#: Separates the parts before the body; none of them may contain it.
_SEPARATOR: Final = b"\n"


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


class TraitKind(ABC):
    """One kind of trait."""

    #: Whether different requests may have such a trait, most of them harmless.
    is_shared: ClassVar[bool]

    @abstractmethod
    def ids(self, identity: RequestIdentity) -> Iterable[str]:
        """Return the ids of the traits of this kind that a request has."""


#: Kinds of traits by name. The name of a shared trait is that of its kind, a hyphen and its id.
TRAITS: Registry[type[TraitKind]] = Registry("trait")


@TRAITS.register("request")
class RequestTrait(TraitKind):
    """The digest of the whole request, which is the same for each repetition."""

    is_shared = False

    def ids(self, identity: RequestIdentity) -> Iterable[str]:
        """Return the digest."""
        yield fingerprint(identity.method, identity.target, identity.organisation, identity.body)


@TRAITS.register("segment")
class SegmentTrait(TraitKind):
    """A segment of the prompt that other requests may contain too."""

    is_shared = True

    def ids(self, identity: RequestIdentity) -> Iterable[str]:
        """Return the ids of the segments."""
        return identity.segments


_KINDS: Final = {name: TRAITS.get(name)() for name in TRAITS.names()}
_SHARED_PREFIXES: Final = tuple(f"{name}-" for name, kind in _KINDS.items() if kind.is_shared)


def own_traits(identity: RequestIdentity) -> tuple[str, ...]:
    """Return the traits that only repetitions of a request have. Digests its body."""
    kinds = [kind for kind in _KINDS.values() if not kind.is_shared]
    return tuple(each for kind in kinds for each in kind.ids(identity))


def shared_traits(identity: RequestIdentity) -> tuple[str, ...]:
    """Return the traits that different requests may have too."""
    kinds = {name: kind for name, kind in _KINDS.items() if kind.is_shared}
    return tuple(f"{name}-{each}" for name, kind in kinds.items() for each in kind.ids(identity))


def is_shared(name: str) -> bool:
    """Return whether a trait is one that different requests may have."""
    return name.startswith(_SHARED_PREFIXES)


def fingerprint(method: str, target: str, organisation: str, body: bytes) -> str:
    """Return the hexadecimal digest of a request."""
    head = _SEPARATOR.join(part.encode() for part in (method, organisation, target))
    digest = hashlib.blake2b(head + _SEPARATOR, digest_size=_DIGEST_BYTES)
    digest.update(body)
    return digest.hexdigest()
