"""When a session counts as broken, on a clock that the test moves."""

from __future__ import annotations

from typing import cast

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.protocol import Opener, Sealer
from canvasyoke.transport import Session

#: Milliseconds of silence, and whether the session counts as broken then. Operators of
#: large fleets hold an entry to what it was told 4 s ago; the list it asks for comes after.
SILENCES = [(0, False), (2_500, False), (3_000, False), (3_001, True)]


@pytest.mark.parametrize(("silence", "is_broken"), SILENCES)
def test_a_link_that_fell_silent_is_noticed_while_there_is_time_to_ask(
    silence: int, is_broken: bool
) -> None:
    clock = ManualClock(start=10_000)
    session = Session(
        "peer", "run", cast(Sealer, None), cast(Opener, None), lambda _: None, clock, "direct"
    )
    clock.advance(silence)
    assert session.silent is is_broken
