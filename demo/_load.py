"""Generates a seeded mix of streamed generations and keyed saves over HTTP."""

from __future__ import annotations

import json
import random
import threading
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

import urllib3

from canvasyoke.protocol import new_key
from fakes.engine import make_tokens

#: Maximum attempts of a keyed save, including the first.
_MAX_SAVE_ATTEMPTS: Final = 6
_TIMEOUT: Final = urllib3.Timeout(connect=2.0, read=12.0)


@dataclass(frozen=True)
class LoadSpec:
    """Parameters of the load."""

    #: Addresses of the entries; each request selects one at random.
    entries: Sequence[str]
    tokens: Sequence[str]
    model_service: str
    plain_service: str
    save_path: str
    callers: int = 12
    seed: int = 1
    #: Fraction of requests that are saves.
    save_share: float = 0.4
    max_tokens: int = 24
    #: Maximum pause between requests of a caller, in seconds.
    max_pause: float = 0.15


@dataclass
class LoadResult:
    """Measurements of all callers; guarded by ``lock``."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    #: Number of requests by kind and final outcome.
    outcomes: Counter[tuple[str, str]] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    #: Descriptions of incomplete or incorrect answers.
    wrong_answers: list[str] = field(default_factory=list)
    #: Final outcome of each save, by key.
    saves: dict[str, str] = field(default_factory=dict)
    first_token_ms: list[float] = field(default_factory=list)
    inter_token_ms: list[float] = field(default_factory=list)


class Load:
    """Callers that run in threads until stopped."""

    def __init__(self, spec: LoadSpec) -> None:
        self.result = LoadResult()
        self._spec = spec
        self._entries = list(spec.entries)
        self._stop = threading.Event()
        self._http = urllib3.PoolManager(maxsize=spec.callers * 2, retries=False, block=False)
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(spec.callers)
        ]

    def start(self) -> None:
        """Start all callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop all callers once their requests finish."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def exclude_entry(self, entry: str) -> None:
        """Stop sending new requests to ``entry``, like a balancer when an entry is not ready."""
        self._entries = [address for address in self._entries if address != entry]

    @property
    def finished(self) -> int:
        """Return the number of finished requests."""
        with self.result.lock:
            return sum(self.result.outcomes.values())

    def _run(self, number: int) -> None:
        rng = random.Random(f"{self._spec.seed}/{number}")
        while not self._stop.is_set():
            if rng.random() < self._spec.save_share:
                self._save(rng)
            else:
                self._generate(rng)
            self._stop.wait(rng.uniform(0, self._spec.max_pause))

    def _headers(self, rng: random.Random) -> dict[str, str]:
        return {"Authorization": f"Bearer {rng.choice(self._spec.tokens)}"}

    def _record_outcome(self, kind: str, outcome: str, reason: str = "") -> None:
        with self.result.lock:
            self.result.outcomes[kind, outcome] += 1
            if reason:
                self.result.reasons[reason] += 1

    # Generations.

    def _generate(self, rng: random.Random) -> None:
        prompt, seed = f"panel {rng.randrange(10_000)}", rng.randrange(1_000)
        count = rng.randint(4, self._spec.max_tokens)
        payload = {"prompt": prompt, "seed": seed, "max_tokens": count}
        url = f"http://{rng.choice(self._entries)}/{self._spec.model_service}/generate"
        start_time = time.monotonic()
        try:
            response = self._http.request(
                "POST",
                url,
                body=json.dumps(payload).encode(),
                headers=self._headers(rng),
                preload_content=False,
                timeout=_TIMEOUT,
            )
            if response.status != 200:
                self._record_refusal("generation", response.read())
                return
            lines = self._read_lines(response, start_time)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            self._record_outcome("generation", "broken", type(exc).__name__)
            return
        self._check_generation(lines, make_tokens(prompt, seed, count))

    def _read_lines(self, response: urllib3.BaseHTTPResponse, start_time: float) -> list[bytes]:
        text = b""
        previous_time = 0.0
        for chunk in response.read_chunked():
            now = time.monotonic()
            with self.result.lock:
                if previous_time:
                    self.result.inter_token_ms.append((now - previous_time) * 1_000)
                else:
                    self.result.first_token_ms.append((now - start_time) * 1_000)
            previous_time = now
            text += chunk
        return text.splitlines()

    def _check_generation(self, lines: list[bytes], expected: list[str]) -> None:
        parsed = [json.loads(line) for line in lines]
        tokens = [line.get("token") for line in parsed[:-1]]
        is_complete = bool(parsed) and parsed[-1] == {"done": True, "tokens": len(expected)}
        if tokens == expected and is_complete:
            self._record_outcome("generation", "answered")
            return
        with self.result.lock:
            self.result.wrong_answers.append(f"expected {expected}, got {lines!r}")
        self._record_outcome("generation", "wrong")

    # Saves.

    def _save(self, rng: random.Random) -> None:
        """Save and retry with the same key, also after an unknown outcome.

        The ledgers are checked afterwards for saves that ran more than once.
        """
        key = new_key(time.time_ns() // 1_000_000, rng)
        text = f"page {rng.randrange(200)}"
        outcome, reason = "unknown", ""
        for _ in range(_MAX_SAVE_ATTEMPTS):
            outcome, reason, wait = self._save_once(rng, key, text)
            if outcome in ("answered", "wrong"):
                break
            time.sleep(wait)
        with self.result.lock:
            self.result.saves[key] = outcome
        self._record_outcome("save", outcome, reason)

    def _save_once(self, rng: random.Random, key: str, text: str) -> tuple[str, str, float]:
        entry = rng.choice(self._entries)
        url = f"http://{entry}/{self._spec.plain_service}{self._spec.save_path}/{key[-6:]}"
        headers = {**self._headers(random.Random(key)), "Idempotency-Key": key}
        try:
            response = self._http.request(
                "PUT", url, body=text.encode(), headers=headers, timeout=_TIMEOUT
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return "unknown", type(exc).__name__, rng.uniform(0.05, 0.2)
        answer = json.loads(response.data)
        if response.status != 200:
            wait = answer["retry_after_ms"] / 1_000 or 0.2
            return answer["outcome"], answer["reason"], min(wait, 1.0) * rng.uniform(0.8, 1.2)
        if answer["key"] == key and answer["echo"] == text:
            return "answered", "", 0.0
        with self.result.lock:
            self.result.wrong_answers.append(f"key {key} got {answer}")
        return "wrong", "", 0.0

    def _record_refusal(self, kind: str, body: bytes) -> None:
        answer = json.loads(body)
        self._record_outcome(kind, answer["outcome"], answer["reason"])
