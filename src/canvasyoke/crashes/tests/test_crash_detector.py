"""Detection of crashed backends, and request fingerprints."""

from __future__ import annotations

import random
import socket

import pytest

from canvasyoke._clock import ManualClock
from canvasyoke.crashes._crash_detector import BackendLiveness, CrashDetector
from canvasyoke.crashes._traits import fingerprint
from canvasyoke.direct._metrics import DirectMetrics
from canvasyoke.direct._roster import Roster
from canvasyoke.direct.tests.calls import make_call
from canvasyoke.state import Endpoint, EndpointState
from canvasyoke.transport import ProbeResult, probe_address

READY = Endpoint("b-1", "ink", "10.0.0.1:1", "nbo-a", 6, EndpointState.READY, 1)
LEAVING = Endpoint("b-2", "ink", "10.0.0.2:1", "nbo-a", 6, EndpointState.LEAVING, 1)
UNLISTED = Endpoint("b-3", "ink", "10.0.0.3:1", "nbo-a", 6, EndpointState.READY, 1)

#: Backend, result of the connection probe, and expected state.
LIVENESS_CASES = [
    ("its end", READY, ProbeResult.REFUSED, BackendLiveness.ENDED),
    (
        "a reset, or a group that lost another rank",
        READY,
        ProbeResult.LISTENING,
        BackendLiveness.LISTENS,
    ),
    ("a cut, or a lost packet", READY, ProbeResult.SILENT, BackendLiveness.UNKNOWN),
    ("a planned end", LEAVING, ProbeResult.REFUSED, BackendLiveness.LEAVING),
    ("an end that had no word", UNLISTED, ProbeResult.REFUSED, BackendLiveness.LEAVING),
]


@pytest.mark.parametrize(
    ("backend", "probe_result", "expected"),
    [f[1:] for f in LIVENESS_CASES],
    ids=[f[0] for f in LIVENESS_CASES],
)
def test_only_an_unplanned_end_counts_as_a_crash(
    backend: Endpoint, probe_result: ProbeResult, expected: BackendLiveness
) -> None:
    roster = Roster("nbo-a", ManualClock(start=10_000), random.Random(1))
    roster.merge([READY, LEAVING], 1)
    metrics = DirectMetrics()
    crash_detector = CrashDetector(roster, metrics, lambda _address, _timeout: probe_result)
    assert (
        crash_detector.check(make_call().broken_exchange(backend, "broke off", 10_500)) is expected
    )
    assert f'broken_exchanges_total{{backend="{expected}"}} 1' in metrics.all.render()


def test_an_unused_port_refuses_connections() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        assert probe_address(address, 1_000) is ProbeResult.LISTENING
    assert probe_address(address, 1_000) is ProbeResult.REFUSED


BASE = ("POST", "/a/1?x=2", "kibanda", b"body")
OTHERS = [
    ("method", ("PUT", "/a/1?x=2", "kibanda", b"body")),
    ("path", ("POST", "/a/2?x=2", "kibanda", b"body")),
    ("query", ("POST", "/a/1?x=3", "kibanda", b"body")),
    ("organisation", ("POST", "/a/1?x=2", "mpya", b"body")),
    ("body", ("POST", "/a/1?x=2", "kibanda", b"bodies")),
    ("where a part ends", ("POST", "/a/1?x=2", "kibandabody", b"")),
]


@pytest.mark.parametrize("other", [o[1] for o in OTHERS], ids=[o[0] for o in OTHERS])
def test_requests_that_differ_in_any_part_have_different_fingerprints(
    other: tuple[str, str, str, bytes],
) -> None:
    assert fingerprint(*BASE) == fingerprint(*BASE)
    assert fingerprint(*BASE) != fingerprint(*other)
