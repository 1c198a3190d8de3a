"""Notes in the store as others may write them."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from canvasyoke.state import Note, NotedAddress, Unusable, read_note


class _Told(msgspec.Struct, frozen=True):
    peer: NotedAddress
    domain: str = ""


SOUND = {"peer": "10.0.0.1:7340", "domain": "nbo-a"}
BROKEN: list[bytes] = [
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


def test_a_sound_note_is_read() -> None:
    assert read_note(Note("a", 1, msgspec.json.encode(SOUND)), _Told) == _Told(**SOUND)


@pytest.mark.parametrize("body", BROKEN)
def test_a_broken_note_is_named(body: bytes) -> None:
    told = read_note(Note("odd", 1, body), _Told)
    assert isinstance(told, Unusable)
    assert "odd" in told.detail


@given(st.binary() | st.builds(msgspec.json.encode, st.dictionaries(st.text(), st.text())))
def test_no_note_raises(body: Any) -> None:
    assert isinstance(read_note(Note("odd", 1, body), _Told), Unusable | _Told)
