"""Calls of the engine adapter whose answers go on without end, or a byte at a time, fail."""

from __future__ import annotations

import threading
from collections.abc import Callable

import msgspec
import pytest

from canvasyoke.backend import EngineBackend, Failed, RankOrder, _engine
from canvasyoke.backend.tests.test_engine import RecordingSink, run
from fakes.endless_answer import DRIPS, FLOODS, EndlessAnswer, EndlessPeer

#: Milliseconds for a call, and seconds after which it is taken for endless.
_TIMEOUT = 400
_PATIENCE = 20


def order(backend: EngineBackend) -> bool:
    """Return whether a call fails."""
    return not backend.rank_port.order(RankOrder("highest", 1, 1)).ok


def load(backend: EngineBackend) -> bool:
    return backend.engine_port.load() is None


def cache_events(backend: EngineBackend) -> bool:
    return backend.engine_port.cache_events(0) is None


def call(backend: EngineBackend) -> bool:
    return isinstance(
        backend.call(msgspec.structs.replace(run(), remaining=_TIMEOUT), RecordingSink()), Failed
    )


ANSWERS = {f"flood: {name}": answer for name, answer in FLOODS.items()}
ANSWERS |= {f"slow: {name}": answer for name, answer in DRIPS.items()}


@pytest.mark.parametrize("fails", [order, load, cache_events, call])
@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
def test_a_call_whose_answer_has_no_end_fails(
    monkeypatch: pytest.MonkeyPatch, fails: Callable[[EngineBackend], bool], answer: EndlessAnswer
) -> None:
    """Guards against calls that last, or keep what they read, for as long as bytes come."""
    monkeypatch.setattr(_engine, "_ORDER_TIMEOUT", _TIMEOUT)
    peer = EndlessPeer(answer)
    backend = EngineBackend(peer.address)
    results: list[bool] = []
    caller = threading.Thread(target=lambda: results.append(fails(backend)), daemon=True)
    caller.start()
    caller.join(_PATIENCE)
    peer.close()
    assert results == [True]
