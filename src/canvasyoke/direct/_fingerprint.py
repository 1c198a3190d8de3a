"""A name for all requests that a backend cannot tell apart.

A request that comes again has another id, at any entry. What stays is what it asks for:
method, path with query, body, and for whom. The name is a digest of fixed size, so that it
can stand in messages and log lines without showing a body, and costs the same to keep
whatever callers send.
"""

from __future__ import annotations

import hashlib
from typing import Final

#: Bytes of a digest: two different requests share one with a chance of 2**-64 even among
#: four thousand million of them.
_DIGEST_BYTES: Final = 16
#: Between two parts; none of those before the body may contain it.
_SEPARATOR: Final = b"\n"


def fingerprint(method: str, target: str, organisation: str, body: bytes) -> str:
    """Return the digest of a request as hexadecimal digits.

    An organisation is told by its name, not by the key that it came with: keys are
    replaced while the same client goes on.
    """
    head = _SEPARATOR.join(part.encode() for part in (method, organisation, target))
    digest = hashlib.blake2b(head + _SEPARATOR, digest_size=_DIGEST_BYTES)
    digest.update(body)
    return digest.hexdigest()
