"""Splits JSON arrays and objects into their parts without decoding the parts.

A JSON decoder rejects a whole document for one invalid part, such as invalid UTF-8, an
unpaired surrogate, an invalid number or too deep nesting. This module recognises only
strings, brackets and separators, so that the valid parts can be decoded one by one.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Final

import msgspec

_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},:]', re.DOTALL)
_OPENING: Final = b"[{"
_CLOSING: Final = b"]}"


class JsonSplitError(ValueError):
    """The data is not an array or object with balanced brackets."""


#: Exceptions of decoding untrusted JSON; too deep nesting raises ``RecursionError``.
DECODE_ERRORS: Final = (msgspec.MsgspecError, JsonSplitError, RecursionError)


def split_list(data: bytes) -> list[bytes]:
    """Return the items of an array, undecoded."""
    return [data[start:end].strip() for start, _, end in _split(data, b"[", b"]")]


def split_object(data: bytes) -> dict[str, bytes]:
    """Return the values of an object by name, undecoded; skips names that are invalid."""
    found = {}
    for start, colon, end in _split(data, b"{", b"}"):
        try:
            name = msgspec.json.decode(data[start:colon], type=str)
        except msgspec.MsgspecError:
            continue
        found[name] = data[colon + 1 : end].strip()
    return found


def _split(data: bytes, opening: bytes, closing: bytes) -> Iterator[tuple[int, int, int]]:
    """Yield the offsets of each part's start, first colon (-1 if none) and end."""
    start = data.find(opening) + 1
    if not start or data[: start - 1].strip():
        raise JsonSplitError(f"expected {opening.decode()}")
    depth, colon = 1, -1
    for token in _TOKEN.finditer(data, start):
        symbol = token.group()
        if symbol in _OPENING:
            depth += 1
        elif symbol in _CLOSING:
            depth -= 1
        at_top = depth == 1
        if at_top and symbol == b":" and colon < 0:
            colon = token.start()
        if (at_top and symbol == b",") or not depth:
            if data[start : token.start()].strip():
                yield start, colon, token.start()
            start, colon = token.end(), -1
        if not depth:
            if symbol != closing:
                break
            return
    raise JsonSplitError("unbalanced brackets")
