"""A model engine over HTTP: generations are streams of lines that can be resumed.

``POST /generate`` answers with one JSON line for each token and a last line
``{"done": true, ...}``; ``X-Offset`` asks for the tokens from an index on. Each
line is one chunk, so a chunk's index is a token's and a stream that broke can go
on elsewhere. A stream without its last line is not whole.
"""

from __future__ import annotations

from typing import Final, TypeVar

import msgspec

from canvasyoke.backend._plain import PlainBackend, cancelled
from canvasyoke.backend._port import (
    BACKENDS,
    AnswerSink,
    CacheEvent,
    CallEnd,
    Done,
    EngineLoad,
    EnginePort,
    Failed,
    RankAnswer,
    RankOrder,
    RankPort,
)
from canvasyoke.protocol import Outcome, Reason, Refusal, Run
from canvasyoke.transport import BackendPool, CallFailed, HttpReply

_OK: Final = 200
#: Names one run at the engine: a request that is tried again has several.
_RUN_ID_HEADER: Final = "X-Run-Id"
_ORDER_TIMEOUT: Final = 2_000


BodyT = TypeVar("BodyT")


class _LastLine(msgspec.Struct):
    done: bool = False


@BACKENDS.register("engine-http")
class EngineBackend(PlainBackend):
    """Streams, resumes and cancels generations; also the engine's rank."""

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self._rank = _HttpRankPort(self._pool)
        self._engine = _HttpEnginePort(self._pool)

    @property
    def rank_port(self) -> RankPort:
        """Return the engine's rank."""
        return self._rank

    @property
    def engine_port(self) -> EnginePort:
        """Return the engine."""
        return self._engine

    def _request_headers(self, run: Run, run_id: str) -> dict[str, str]:
        headers = super()._request_headers(run, run_id)
        headers["X-Priority"] = str(run.priority)
        headers["X-Offset"] = str(run.offset)
        headers[_RUN_ID_HEADER] = run_id
        return headers

    def _pass_body(self, reply: HttpReply, sink: AnswerSink, run: Run, run_id: str) -> CallEnd:
        is_stream = any(
            name.lower() == "content-type" and "ndjson" in value for name, value in reply.headers
        )
        if reply.status != _OK or not is_stream:
            if run.offset:
                reply.close()
                detail = "the engine did not go on with the stream"
                return Failed(Refusal(Outcome.UNKNOWN, Reason.BACKEND_FAILED, detail))
            return super()._pass_body(reply, sink, run, run_id)
        whole = False
        # The stream is read to its very end even after the last line: a connection
        # given back with the end unread would spoil the next request's answer.
        for line in reply.lines():
            if sink.cancelled and not whole:
                self._engine.cancel(run_id)
                reply.close()
                return cancelled()
            sink.chunk(line + b"\n")
            whole = line.startswith(b'{"done"') and msgspec.json.decode(line, type=_LastLine).done
        reply.release()
        if whole:
            return Done()
        detail = "the engine's stream ended early"
        return Failed(Refusal(Outcome.UNKNOWN, Reason.BACKEND_FAILED, detail))


class _HttpRankPort(RankPort):
    """Orders as JSON to ``/group``."""

    def __init__(self, pool: BackendPool) -> None:
        self._pool = pool

    def order(self, order: RankOrder) -> RankAnswer:
        """Carry out ``order``."""
        reply = self._pool.call(
            "POST", "/group", body=msgspec.json.encode(order), read_timeout=_ORDER_TIMEOUT
        )
        if isinstance(reply, CallFailed):
            return RankAnswer(False, reply.detail)
        try:
            answer = msgspec.json.decode(b"".join(reply.chunks()), type=RankAnswer)
        except (OSError, msgspec.DecodeError) as exc:
            reply.close()
            return RankAnswer(False, f"the rank's answer cannot be read: {exc}")
        reply.release()
        return answer


class _LoadBody(msgspec.Struct):
    running: int
    queued: int
    slots: int
    age_ms: int = -1


class _HttpEnginePort(EnginePort):
    """``/load``, ``/cache-events`` and ``/cancel``."""

    def __init__(self, pool: BackendPool) -> None:
        self._pool = pool

    def load(self) -> EngineLoad | None:
        """Return the load reported."""
        body = self._get("/load", _LoadBody)
        return EngineLoad(body.running, body.queued, body.slots, body.age_ms) if body else None

    def cache_events(self, after: int) -> list[CacheEvent] | None:
        """Return the events after number ``after``."""
        return self._get(f"/cache-events?since={after}", list[CacheEvent])

    def cancel(self, run_id: str) -> bool:
        """Stop a generation."""
        reply = self._pool.call("POST", f"/cancel/{run_id}", read_timeout=_ORDER_TIMEOUT)
        if isinstance(reply, CallFailed):
            return False
        reply.close()
        return reply.status == _OK

    def _get(self, path: str, kind: type[BodyT]) -> BodyT | None:
        reply = self._pool.call("GET", path, read_timeout=_ORDER_TIMEOUT)
        if isinstance(reply, CallFailed):
            return None
        try:
            body = msgspec.json.decode(b"".join(reply.chunks()), type=kind)
        except (OSError, msgspec.DecodeError):
            reply.close()
            return None
        reply.release()
        return body
