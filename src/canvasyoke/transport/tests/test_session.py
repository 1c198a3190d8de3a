"""The receive timeout of a session, on a manual clock."""

from __future__ import annotations

from typing import cast

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.protocol import Opener, Sealer
from canvasyoke.transport import Session

#: Milliseconds without a received frame, and whether the session has timed out. The timeout
#: must stay below 4 s, so that an entry can still request a list of backends.
TIMEOUT_CASES = [(0, False), (2_500, False), (3_000, False), (3_001, True)]


@pytest.mark.parametrize(("elapsed", "expected"), TIMEOUT_CASES)
def test_session_times_out_without_received_frames(elapsed: int, expected: bool) -> None:
    clock = ManualClock(start=10_000)
    session = Session(
        "peer", "run", cast(Sealer, None), cast(Opener, None), lambda _: None, clock, "direct"
    )
    clock.advance(elapsed)
    assert session.is_timed_out is expected
