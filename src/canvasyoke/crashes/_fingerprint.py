"""Fingerprints identify repeated requests independently of their request ids.

The digest covers method, path with query, body and organisation. It has a fixed size and does not
reveal the body, so it can be used in messages and logs.
"""

from __future__ import annotations

import hashlib
from typing import Final

#: Digest size in bytes; collisions are negligible at 128 bits.
_DIGEST_BYTES: Final = 16
#: Separates the parts before the body; none of them may contain it.
_SEPARATOR: Final = b"\n"


def fingerprint(method: str, target: str, organisation: str, body: bytes) -> str:
    """Return the hexadecimal digest of a request.

    The organisation is identified by name, since its API keys may be rotated.
    """
    head = _SEPARATOR.join(part.encode() for part in (method, organisation, target))
    digest = hashlib.blake2b(head + _SEPARATOR, digest_size=_DIGEST_BYTES)
    digest.update(body)
    return digest.hexdigest()
