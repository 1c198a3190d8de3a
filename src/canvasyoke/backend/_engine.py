"""HTTP adapter for model engines, whose generations are streams that can be resumed.

``POST /generate`` responds with one JSON line for each token and a last line
``{"done": true, ...}``; ``X-Offset`` requests the tokens from an index on. Each line is passed
on as one chunk, so that chunk and token have the same index and another engine can resume an
interrupted stream. A stream without the last line is incomplete.
"""

from __future__ import annotations

from typing import Final, TypeVar

import msgspec

from canvasyoke.backend._plain import PlainBackend, cancelled_call
from canvasyoke.backend._port import (
    BACKENDS,
    AnswerSink,
    CacheEvent,
    CallResult,
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
#: Id of one attempt at the engine; a retried request has several.
_RUN_ID_HEADER: Final = "X-Run-Id"
_ORDER_TIMEOUT: Final = 2_000
#: Largest answer to an order or a question about load and cache events.
_MAX_ANSWER_BYTES: Final = 4 << 20


BodyT = TypeVar("BodyT")


class _LastLine(msgspec.Struct):
    done: bool = False


@BACKENDS.register("engine-http")
class EngineBackend(PlainBackend):
    """Streams, resumes and cancels generations; also provides the engine's rank."""

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self._rank = _HttpRankPort(self._pool)
        self._engine = _HttpEnginePort(self._pool)

    @property
    def rank_port(self) -> RankPort:
        """Port of the engine's rank."""
        return self._rank

    @property
    def engine_port(self) -> EnginePort:
        """Port for load, cache events and cancellation."""
        return self._engine

    def _request_headers(self, run: Run, run_id: str) -> dict[str, str]:
        headers = super()._request_headers(run, run_id)
        headers["X-Priority"] = str(run.priority)
        headers["X-Offset"] = str(run.offset)
        headers[_RUN_ID_HEADER] = run_id
        return headers

    def _forward_body(
        self, reply: HttpReply, sink: AnswerSink, run: Run, run_id: str
    ) -> CallResult:
        is_stream = any(
            name.lower() == "content-type" and "ndjson" in value for name, value in reply.headers
        )
        if reply.status != _OK or not is_stream:
            if run.offset:
                reply.close()
                detail = "the engine did not go on with the stream"
                return Failed(Refusal(Outcome.UNKNOWN, Reason.BACKEND_FAILED, detail))
            return super()._forward_body(reply, sink, run, run_id)
        is_complete = False
        # Reads on after the last line: unread bytes on a connection that is returned to the
        # pool would corrupt the next response.
        for line in reply.lines():
            if sink.cancelled and not is_complete:
                self._engine.cancel(run_id)
                reply.close()
                return cancelled_call()
            sink.chunk(line + b"\n")
            is_complete = (
                line.startswith(b'{"done"') and msgspec.json.decode(line, type=_LastLine).done
            )
        reply.release()
        if is_complete:
            return Done()
        detail = "the engine's stream ended early"
        return Failed(Refusal(Outcome.UNKNOWN, Reason.BACKEND_FAILED, detail))


class _HttpRankPort(RankPort):
    """Sends orders as JSON to ``/group``."""

    def __init__(self, pool: BackendPool) -> None:
        self._pool = pool

    def order(self, order: RankOrder) -> RankAnswer:
        """Send ``order`` and return the rank's answer."""
        reply = self._pool.call(
            "POST", "/group", body=msgspec.json.encode(order), read_timeout=_ORDER_TIMEOUT
        )
        if isinstance(reply, CallFailed):
            return RankAnswer(False, reply.detail)
        try:
            answer = msgspec.json.decode(reply.read(_MAX_ANSWER_BYTES), type=RankAnswer)
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
    """Client of ``/load``, ``/cache-events`` and ``/cancel``."""

    def __init__(self, pool: BackendPool) -> None:
        self._pool = pool

    def load(self) -> EngineLoad | None:
        """Return the reported load."""
        body = self._get("/load", _LoadBody)
        return EngineLoad(body.running, body.queued, body.slots, body.age_ms) if body else None

    def cache_events(self, after: int) -> list[CacheEvent] | None:
        """Return the events with a number above ``after``."""
        return self._get(f"/cache-events?since={after}", list[CacheEvent])

    def cancel(self, run_id: str) -> bool:
        """Cancel a generation; true if the engine accepted it."""
        reply = self._pool.call("POST", f"/cancel/{run_id}", read_timeout=_ORDER_TIMEOUT)
        if isinstance(reply, CallFailed):
            return False
        reply.close()
        return reply.status == _OK

    def _get(self, path: str, body_type: type[BodyT]) -> BodyT | None:
        reply = self._pool.call("GET", path, read_timeout=_ORDER_TIMEOUT)
        if isinstance(reply, CallFailed):
            return None
        try:
            body = msgspec.json.decode(reply.read(_MAX_ANSWER_BYTES), type=body_type)
        except (OSError, msgspec.DecodeError):
            reply.close()
            return None
        reply.release()
        return body
