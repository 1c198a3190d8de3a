"""A model engine over HTTP: generations are streams of lines that can be resumed.

``POST /generate`` answers with one JSON line for each token and a last line
``{"done": true, ...}``; ``X-Offset`` asks for the tokens from an index on. Each
line is one chunk, so a chunk's index is a token's and a stream that broke can go
on elsewhere. A stream without its last line is not whole.
"""

from __future__ import annotations

from typing import Final

import msgspec

from canvasyoke.backend._plain import PlainBackend, cancelled
from canvasyoke.backend._port import (
    BACKENDS,
    AnswerSink,
    CallEnd,
    Done,
    Failed,
    RankAnswer,
    RankOrder,
    RankPort,
)
from canvasyoke.protocol import Outcome, Reason, Refusal, Run
from canvasyoke.transport import BackendPool, CallFailed, HttpReply

_OK: Final = 200
_ORDER_TIMEOUT: Final = 2_000


class _LastLine(msgspec.Struct):
    done: bool = False


@BACKENDS.register("engine-http")
class EngineBackend(PlainBackend):
    """Streams, resumes and cancels generations; also the engine's rank."""

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self._rank = _HttpRankPort(self._pool)

    @property
    def rank_port(self) -> RankPort:
        """Return the engine's rank."""
        return self._rank

    def _request_headers(self, run: Run) -> dict[str, str]:
        headers = super()._request_headers(run)
        headers["X-Priority"] = str(run.priority)
        headers["X-Offset"] = str(run.offset)
        return headers

    def _pass_body(self, reply: HttpReply, sink: AnswerSink, run_offset: int) -> CallEnd:
        is_stream = any(
            name.lower() == "content-type" and "ndjson" in value for name, value in reply.headers
        )
        if reply.status != _OK or not is_stream:
            if run_offset:
                reply.close()
                detail = "the engine did not go on with the stream"
                return Failed(Refusal(Outcome.UNKNOWN, Reason.BACKEND_FAILED, detail))
            return super()._pass_body(reply, sink, run_offset)
        for line in reply.lines():
            if sink.cancelled:
                reply.close()
                return cancelled()
            sink.chunk(line + b"\n")
            if line.startswith(b'{"done"') and msgspec.json.decode(line, type=_LastLine).done:
                reply.release()
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
