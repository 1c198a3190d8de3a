"""Tests of the engine adapter with a fake engine over HTTP."""

import threading
import time
from collections.abc import Iterator

import pytest

from canvasyoke.backend import AnswerSink, Done, EngineBackend, Failed, PlainBackend, RankOrder
from canvasyoke.protocol import ExpertReplica, Outcome, Reason, Run
from fakes.engine import EngineSettings, make_tokens, serve
from fakes.http_base import Handler, Server
from fakes.ports import free_address


class RecordingSink(AnswerSink):
    """Records an answer; reports cancellation after ``cancel_after`` chunks."""

    def __init__(self, cancel_after: int = 1 << 30) -> None:
        self.status = 0
        self.chunks: list[bytes] = []
        self._cancel_after = cancel_after

    def head(self, status: int, headers: list[tuple[str, str]]) -> None:
        self.status = status

    def chunk(self, data: bytes) -> None:
        self.chunks.append(data)

    @property
    def cancelled(self) -> bool:
        return len(self.chunks) >= self._cancel_after


def run(body: bytes = b'{"prompt": "p", "max_tokens": 6}', offset: int = 0) -> Run:
    return Run(
        request=1,
        attempt=1,
        request_id="r-1",
        organisation="kibanda",
        service="ink",
        method="POST",
        path="/generate",
        headers=[],
        body=body,
        remaining=5_000,
        priority=3,
        repeatable=True,
        offset=offset,
    )


@pytest.fixture
def engine() -> Iterator[tuple[Server, EngineBackend]]:
    rank_addresses = [free_address() for _ in range(1)]
    settings = EngineSettings(
        free_address(), token_ms=2, rank=0, ranks=rank_addresses, checks_fences=False
    )
    server = serve(settings)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield server, EngineBackend(settings.address)
    server.shutdown()
    server.server_close()


def test_stream_is_complete_and_resumes(engine: tuple[Server, EngineBackend]) -> None:
    _, backend = engine
    whole, rest = RecordingSink(), RecordingSink()
    assert isinstance(backend.call(run(), whole), Done)
    assert isinstance(backend.call(run(offset=4), rest), Done)
    assert len(whole.chunks) == 7
    assert rest.chunks == whole.chunks[4:]
    assert make_tokens("p", 0, 6)[0].encode() in whole.chunks[0]


class DelayedEndHandler(Handler):
    """Fake engine that ends its stream with a delay after the last line."""

    def handle_request(self, method: str, path: str, query: dict[str, str], body: bytes) -> None:
        self.begin_chunked("application/x-ndjson")
        self.write_chunk(b'{"done": true, "tokens": 0}\n')
        time.sleep(0.05)  # time for a premature next request
        self.write_chunk(b"")


def test_delayed_end_does_not_corrupt_the_next_answer() -> None:
    address = free_address()
    host, port = address.rsplit(":", 1)
    server = Server((host, int(port)), DelayedEndHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    backend = EngineBackend(address)
    assert [type(backend.call(run(), RecordingSink())) for _ in range(3)] == [Done] * 3
    server.shutdown()
    server.server_close()


def test_cancel_reaches_the_engine(engine: tuple[Server, EngineBackend]) -> None:
    server, backend = engine
    sink = RecordingSink(cancel_after=3)
    end = backend.call(run(b'{"prompt": "p", "max_tokens": 5000}'), sink)
    assert isinstance(end, Failed)
    assert end.refusal.reason is Reason.CANCELLED
    handler = server.RequestHandlerClass
    assert len(handler.engine.cancelled) == 1  # type: ignore[attr-defined]


def test_load_and_cache_events(engine: tuple[Server, EngineBackend]) -> None:
    _, backend = engine
    for _ in range(6):
        backend.call(run(), RecordingSink())
    events = backend.engine_port.cache_events(0)
    assert events is not None
    assert [e.sequence for e in events] == [1, 2, 3, 4, 6], (
        "the fake engine drops every fifth event"
    )
    assert [e.sequence for e in backend.engine_port.cache_events(4) or []] == [6]
    load = backend.engine_port.load()
    assert load is not None
    assert load.slots == 8


def test_orders_reach_the_rank(engine: tuple[Server, EngineBackend]) -> None:
    _, backend = engine
    replicas = [ExpertReplica(0, expert, 0) for expert in range(16)]
    prepared = backend.rank_port.order(RankOrder("prepare", 3, 1, ranks=[0], replicas=replicas))
    assert prepared.ok
    assert not backend.rank_port.order(RankOrder("activate", 3, 9)).ok
    assert backend.rank_port.order(RankOrder("activate", 3, 1, step=0)).ok


@pytest.mark.parametrize("kind", [PlainBackend, EngineBackend])
def test_unreachable_backend_did_not_run_the_request(kind: type[PlainBackend]) -> None:
    end = kind(free_address()).call(run(), RecordingSink())
    assert isinstance(end, Failed)
    assert (end.refusal.outcome, end.refusal.reason) == (
        Outcome.NOT_RUN,
        Reason.BACKEND_UNREACHABLE,
    )
    assert not kind(free_address()).probe().ok
