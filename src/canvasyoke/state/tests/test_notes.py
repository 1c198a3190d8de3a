"""Decoding of valid and invalid notes."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from canvasyoke.state import Note, SocketAddress, Unusable, read_note


class _NoteBody(msgspec.Struct, frozen=True):
    peer: SocketAddress
    domain: str = ""


VALID = {"peer": "10.0.0.1:7340", "domain": "nbo-a"}
INVALID: list[bytes] = [
    b"",
    b"null",
    b"\xff\xfe",
    b"{",
    b"[" * 5_000 + b"]" * 5_000,
    b'{"peer":7}',
    b'{"domain":"nbo-a"}',
    b'{"peer":"10.0.0.1"}',
    b'{"peer":"somewhere:7340"}',
    b'{"peer":"10.0.0.1:7340","domain":1}',
]


def test_valid_note_is_decoded() -> None:
    assert read_note(Note("a", 1, msgspec.json.encode(VALID)), _NoteBody) == _NoteBody(**VALID)


@pytest.mark.parametrize("body", INVALID)
def test_invalid_note_is_reported_by_name(body: bytes) -> None:
    result = read_note(Note("odd", 1, body), _NoteBody)
    assert isinstance(result, Unusable)
    assert "odd" in result.detail


@given(st.binary() | st.builds(msgspec.json.encode, st.dictionaries(st.text(), st.text())))
def test_arbitrary_note_bodies_do_not_raise(body: Any) -> None:
    assert isinstance(read_note(Note("odd", 1, body), _NoteBody), Unusable | _NoteBody)
