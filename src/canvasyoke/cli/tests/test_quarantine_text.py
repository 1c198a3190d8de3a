"""Text of the quarantine command, which tells what to do about each trait."""

from __future__ import annotations

import msgspec

from canvasyoke.cli._render import render_quarantine
from canvasyoke.protocol import QuarantinedRequest


def test_blamed_traits_come_first_with_their_release() -> None:
    listed = [
        QuarantinedRequest("segment-f1", False, ["a", "b", "c", "d"], 0, answers=20),
        QuarantinedRequest("segment-c0ffee", True, ["a", "b", "c"], 0),
    ]
    assert render_quarantine(msgspec.json.encode(listed)).splitlines() == [
        "segment-c0ffee kept from backends: 3 ended (a, b, c); once mended: "
        "--release segment-c0ffee",
        "segment-f1 suspected: 4 ended (a, b, c, d), 20 answers since the first",
    ]
    assert render_quarantine(b"[]") == "no backend has ended under a request"
