"""What a caller gets when a backend failed and the attempt at another came to nothing."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterator

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.backend import BackendAnswer, MayHaveRun, NotRun, NotRunCause, Sending
from canvasyoke.direct._budget import FleetRetryBudget, RetryAllowance
from canvasyoke.direct._call import AnswerEnd, AnswerHead, Piece
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.calls import ROUTE, CannedPort, make_call, make_forwarder
from canvasyoke.state import Endpoint, EndpointState, Repeatability

READ = dataclasses.replace(ROUTE, is_stream=False, repeatability=Repeatability.SAFE, max_attempts=2)
FAILED = [AnswerHead(500, [("Proof", "b-1")], 6), b"failed", AnswerEnd()]
DONE = [AnswerHead(200, [("Proof", "b-1")], 4), b"done", AnswerEnd()]


class _Short(BackendAnswer):
    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.headers = [("Proof", "b-1")]
        self.is_framed = True
        self._body = body

    def pieces(self) -> Iterator[bytes]:
        yield self._body

    def wait_at_most(self, duration: int) -> None:
        pass

    def close(self) -> None:
        pass


#: What comes of the second attempt, and what the caller gets.
SECONDS = [
    ("another run has the address", NotRun(NotRunCause.MOVED, "moved"), FAILED),
    ("the other one is full", NotRun(NotRunCause.FULL, "full"), FAILED),
    ("the other one does not answer", MayHaveRun("no answer"), FAILED),
    ("the other one answers", _Short(200, b"done"), DONE),
    ("the other one fails as well", _Short(500, b"failed"), FAILED),
]


@pytest.mark.parametrize(("second", "expected"), [case[1:] for case in SECONDS])
def test_an_answer_that_a_backend_made_is_not_replaced(
    second: Sending, expected: list[Piece]
) -> None:
    clock = ManualClock(start=10_000)
    roster = Roster("nbo-a", clock, random.Random(1))
    roster.merge(
        [Endpoint(n, "ink", f"{n}:1", "nbo-b", 6, EndpointState.READY, 1) for n in ("b-1", "b-2")],
        1,
    )
    answers: list[Sending] = [_Short(500, b"failed"), second]
    budget = FleetRetryBudget(RetryAllowance(0.2, 10, 10_000), clock)
    port = CannedPort(lambda: answers.pop(0))
    call = make_call(READ)
    assert list(make_forwarder(port, roster, budget, clock).run(call)) == expected
