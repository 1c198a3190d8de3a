"""Closed-loop load generator that prints its measurements as JSON.

python -m bench.load ADDRESS PATH TOKEN STREAMS SECONDS TOKENS SEED
"""

from __future__ import annotations

import itertools
import json
import random
import socket
import sys
import threading
import time
from dataclasses import dataclass, field


@dataclass
class StreamStats:
    """Measurements of all streams; guarded by ``lock``."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    first_token_ms: list[float] = field(default_factory=list)
    inter_token_ms: list[float] = field(default_factory=list)
    completed: int = 0
    failed: int = 0
    tokens: int = 0


def request_bytes(address: str, path: str, token: str, tokens: int, seed: int) -> bytes:
    """Return the bytes of an HTTP generation request."""
    body = json.dumps({"prompt": f"p{seed}", "max_tokens": tokens, "seed": seed}).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer {token}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body


def run_stream(
    address: str, path: str, token: str, tokens: int, end: float, seed: int, stats: StreamStats
) -> None:
    """Send requests one after another until ``end``."""
    rng = random.Random(seed)
    host, port = address.rsplit(":", 1)
    while time.monotonic() < end:
        data = request_bytes(address, path, token, tokens, rng.randrange(1 << 30))
        start_time = time.monotonic()
        token_times: list[float] = []
        tail = b""
        with socket.create_connection((host, int(port)), timeout=30) as conn:
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            conn.sendall(data)
            while chunk := conn.recv(65_536):
                if b'"offset"' in chunk:
                    token_times.append(time.monotonic())
                tail = (tail + chunk)[-200:]
        is_complete = b'"done": true' in tail
        with stats.lock:
            stats.completed += is_complete
            stats.failed += not is_complete
            if is_complete and token_times:
                stats.tokens += tokens
                stats.first_token_ms.append((token_times[0] - start_time) * 1_000)
                stats.inter_token_ms += [
                    (b - a) * 1_000 for a, b in itertools.pairwise(token_times)
                ]


def main(arguments: list[str]) -> None:
    """Run the streams and print their measurements."""
    address, path, token = arguments[:3]
    streams, seconds, tokens, seed = (int(argument) for argument in arguments[3:7])
    stats = StreamStats()
    end = time.monotonic() + seconds
    threads = [
        threading.Thread(
            target=run_stream, args=(address, path, token, tokens, end, seed + i, stats)
        )
        for i in range(streams)
    ]
    start_time = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    result = {
        "first_ms": stats.first_token_ms,
        "between_ms": stats.inter_token_ms[:200_000],
        "done": stats.completed,
        "failed": stats.failed,
        "tokens": stats.tokens,
        "seconds": time.monotonic() - start_time,
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main(sys.argv[1:])
