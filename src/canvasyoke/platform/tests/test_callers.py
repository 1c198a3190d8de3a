"""Decoding of the shared segments of prompts."""

from __future__ import annotations

import pytest

from canvasyoke.direct import CallerRequest
from canvasyoke.platform._callers import ObjectsCallerPort

#: Description, header, and the ids read.
SEGMENT_CASES = [
    ("no prompt", "", ()),
    ("only its own", "5c1e07a2:800", ()),
    ("all but the last", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
    ("spaces", "5c1e07a2:800, 91bd3f06:410 ,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
    ("no tokens", "5c1e07a2,e4402b7d", ("5c1e07a2",)),
    ("one that comes twice", "aa:1,aa:1,bb:1", ("aa",)),
    ("ids that are not hexadecimal", "a/b:1,../c:2,:3,aa:4,bb:5", ("aa",)),
    ("an id that is too long", f"{'a' * 33}:1,aa:4,bb:5", ("aa",)),
]


def decode(prompt: str) -> CallerRequest:
    request = ObjectsCallerPort().decode(
        "POST", "/r/1", {"attempt-id": "q", "prompt-prefix": prompt}
    )
    assert isinstance(request, CallerRequest)
    return request


@pytest.mark.parametrize(
    ("header", "expected"), [c[1:] for c in SEGMENT_CASES], ids=[c[0] for c in SEGMENT_CASES]
)
def test_shared_segments_are_all_but_the_last(header: str, expected: tuple[str, ...]) -> None:
    assert decode(header).shared_segments == expected


def test_the_number_of_segments_is_bounded() -> None:
    header = ",".join(f"{number:x}:1" for number in range(10_000))
    assert len(decode(header).shared_segments) == 32


@pytest.mark.parametrize("header", ["5c1e07a2:800,e4402b7d:250", "not a prompt, at all"])
def test_the_prompt_is_forwarded_unchanged(header: str) -> None:
    assert ("Prompt-Prefix", header) in decode(header).headers
