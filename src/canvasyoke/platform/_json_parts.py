"""Splits JSON into its parts without reading what is in them.

A reader of the whole stops at the first part that is none: bytes that are no text, half of
a surrogate pair, a number that is none, lists nested without end. Here just strings and
brackets are told apart, so that one such part can be left out and the others read.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Final

import msgspec

_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},:]', re.DOTALL)
_OPENS: Final = b"[{"
_CLOSES: Final = b"]}"


class PartsError(ValueError):
    """The brackets do not match, or there is no list or object."""


def list_parts(data: bytes) -> list[bytes]:
    """Return the items of a list, each as it stands."""
    return [data[begin:end].strip() for begin, _, end in _parts(data, b"[", b"]")]


def object_parts(data: bytes) -> dict[str, bytes]:
    """Return the values of an object by name, each as it stands; unreadable names are left out."""
    found = {}
    for begin, colon, end in _parts(data, b"{", b"}"):
        try:
            name = msgspec.json.decode(data[begin:colon], type=str)
        except msgspec.MsgspecError:
            continue
        found[name] = data[colon + 1 : end].strip()
    return found


def _parts(data: bytes, opening: bytes, closing: bytes) -> Iterator[tuple[int, int, int]]:
    """Yield where each part begins, where its first colon is, and where it ends."""
    begin = data.find(opening) + 1
    if not begin or data[: begin - 1].strip():
        raise PartsError(f"no {opening.decode()}")
    depth, colon = 1, -1
    for token in _TOKEN.finditer(data, begin):
        sign = token.group()
        if sign in _OPENS:
            depth += 1
        elif sign in _CLOSES:
            depth -= 1
        at_top = depth == 1
        if at_top and sign == b":" and colon < 0:
            colon = token.start()
        if (at_top and sign == b",") or not depth:
            if data[begin : token.start()].strip():
                yield begin, colon, token.start()
            begin, colon = token.end(), -1
        if not depth:
            if sign != closing:
                break
            return
    raise PartsError("brackets do not match")
