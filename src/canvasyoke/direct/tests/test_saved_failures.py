"""A backend's error response is returned if the retry fails."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterator

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.backend import BackendAnswer, MayHaveRun, NotRun, NotRunCause, SendResult
from canvasyoke.direct._budget import FleetRetryBudget, RetryAllowance
from canvasyoke.direct._call import AnswerEnd, AnswerHead, AnswerPart
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.calls import ROUTE, CannedPort, make_call, make_forwarder
from canvasyoke.state import Endpoint, EndpointState, Repeatability

READ = dataclasses.replace(ROUTE, is_stream=False, repeatability=Repeatability.SAFE, max_attempts=2)
FAILED = [AnswerHead(500, [("Proof", "b-1")], 6), b"failed", AnswerEnd()]
DONE = [AnswerHead(200, [("Proof", "b-1")], 4), b"done", AnswerEnd()]


class _BufferedAnswer(BackendAnswer):
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


#: Outcome of the retry, and the expected response.
RETRY_OUTCOMES = [
    ("another run has the address", NotRun(NotRunCause.MOVED, "moved"), FAILED),
    ("the other one is full", NotRun(NotRunCause.FULL, "full"), FAILED),
    ("the other one does not answer", MayHaveRun("no answer"), FAILED),
    ("the other one answers", _BufferedAnswer(200, b"done"), DONE),
    ("the other one fails as well", _BufferedAnswer(500, b"failed"), FAILED),
]


@pytest.mark.parametrize(("retry", "expected"), [case[1:] for case in RETRY_OUTCOMES])
def test_an_error_response_is_returned_unless_the_retry_succeeds(
    retry: SendResult, expected: list[AnswerPart]
) -> None:
    clock = ManualClock(start=10_000)
    roster = Roster("nbo-a", clock, random.Random(1))
    roster.merge(
        [Endpoint(n, "ink", f"{n}:1", "nbo-b", 6, EndpointState.READY, 1) for n in ("b-1", "b-2")],
        1,
    )
    answers: list[SendResult] = [_BufferedAnswer(500, b"failed"), retry]
    budget = FleetRetryBudget(RetryAllowance(0.2, 10, 10_000), clock)
    port = CannedPort(lambda: answers.pop(0))
    call = make_call(READ)
    assert list(make_forwarder(port, roster, budget, clock).run(call)) == expected
