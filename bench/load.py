"""A closed-loop load process: so many streams, for so long; prints JSON.

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
class Seen:
    """What the streams of this process saw."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    first_ms: list[float] = field(default_factory=list)
    between_ms: list[float] = field(default_factory=list)
    done: int = 0
    failed: int = 0
    tokens: int = 0


def request_bytes(address: str, path: str, token: str, tokens: int, seed: int) -> bytes:
    """Return one generation request."""
    body = json.dumps({"prompt": f"p{seed}", "max_tokens": tokens, "seed": seed}).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer {token}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body


def run_stream(
    address: str, path: str, token: str, tokens: int, end: float, seed: int, seen: Seen
) -> None:
    """Make one request after another until ``end``."""
    rng = random.Random(seed)
    host, port = address.rsplit(":", 1)
    while time.monotonic() < end:
        data = request_bytes(address, path, token, tokens, rng.randrange(1 << 30))
        began = time.monotonic()
        times: list[float] = []
        tail = b""
        with socket.create_connection((host, int(port)), timeout=30) as conn:
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            conn.sendall(data)
            while piece := conn.recv(65_536):
                if b'"offset"' in piece:
                    times.append(time.monotonic())
                tail = (tail + piece)[-200:]
        whole = b'"done": true' in tail
        with seen.lock:
            seen.done += whole
            seen.failed += not whole
            if whole and times:
                seen.tokens += tokens
                seen.first_ms.append((times[0] - began) * 1_000)
                seen.between_ms += [(b - a) * 1_000 for a, b in itertools.pairwise(times)]


def main(words: list[str]) -> None:
    """Run the streams and print what they saw."""
    address, path, token = words[:3]
    streams, seconds, tokens, seed = (int(word) for word in words[3:7])
    seen = Seen()
    end = time.monotonic() + seconds
    threads = [
        threading.Thread(
            target=run_stream, args=(address, path, token, tokens, end, seed + i, seen)
        )
        for i in range(streams)
    ]
    began = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    result = {
        "first_ms": seen.first_ms,
        "between_ms": seen.between_ms[:200_000],
        "done": seen.done,
        "failed": seen.failed,
        "tokens": seen.tokens,
        "seconds": time.monotonic() - began,
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main(sys.argv[1:])
