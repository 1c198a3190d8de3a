"""Compression of configurations sent between entries.

Configurations are large and repetitive, and share their links with answers to callers.
Without compression, frequent configuration updates delay the events of streams.
"""

from __future__ import annotations

import zlib
from typing import Final

#: Fastest level; higher ones cost much more time for little gain in size.
_LEVEL: Final = 1
#: Largest configuration in bytes; the platform's store accepts no larger ones.
_UNPACKED_LIMIT: Final = 8 << 20


class DocumentError(ValueError):
    """The data is not a valid packed configuration, or exceeds the size limit."""


def pack_document(document: bytes) -> bytes:
    """Return ``document`` compressed."""
    return zlib.compress(document, _LEVEL)


def unpack_document(data: bytes) -> bytes:
    """Return the document that ``data`` contains; raises :class:`DocumentError`."""
    unpacker = zlib.decompressobj()
    try:
        document = unpacker.decompress(data, _UNPACKED_LIMIT)
    except zlib.error as exc:
        raise DocumentError(str(exc)) from exc
    if not unpacker.eof:
        raise DocumentError("truncated, or larger than the limit")
    return document
