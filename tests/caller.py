"""HTTP client for the system tests."""

from __future__ import annotations

import json
import random
import time
from dataclasses import dataclass, field
from typing import Any

import urllib3

from canvasyoke.protocol import new_key
from fakes.launcher import Fleet
from fakes.plain import read_ledger

TOKEN = "kibanda-comics-token"


@dataclass
class Answer:
    """Response to a request."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)

    @property
    def outcome(self) -> str:
        """Return ``answered``, or the outcome reported in the body."""
        return "answered" if self.status == 200 else str(self.json["outcome"])


class Caller:
    """Sends requests to the entries of a fleet."""

    def __init__(self, fleet: Fleet, token: str = TOKEN) -> None:
        self._fleet = fleet
        self._token = token
        self._http = urllib3.PoolManager(maxsize=64, retries=False, block=False)
        self._rng = random.Random(1)

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        entry: str = "",
        headers: dict[str, str] | None = None,
        token: str | None = None,
    ) -> Answer:
        """Send a request through ``entry``, or through the first entry."""
        name = entry or next(iter(self._fleet.ports.entries))
        url = f"http://{self._fleet.ports.entries[name]}{path}"
        credentials = {"Authorization": f"Bearer {self._token if token is None else token}"}
        response = self._http.request(
            method,
            url,
            body=body,
            headers={**credentials, **(headers or {})},
            timeout=urllib3.Timeout(connect=2.0, read=30.0),
        )
        return Answer(response.status, response.data, dict(response.headers))

    def new_key(self) -> str:
        """Return a new idempotency key."""
        return new_key(time.time_ns() // 1_000_000, self._rng)

    def save(self, key: str, text: str = "page 1", entry: str = "", wait: float = 5.0) -> Answer:
        """Save a bookmark under the idempotency key ``key``."""
        headers = {"Idempotency-Key": key, "Prefer": f"wait={wait}"}
        return self.call("PUT", "/shelf-api/bookmarks/1", text.encode(), entry, headers)

    def generate(self, prompt: str = "hi", count: int = 8, entry: str = "") -> Answer:
        """Generate ``count`` tokens."""
        parameters = {"prompt": prompt, "max_tokens": count}
        return self.call("POST", "/inkmodel/generate", json.dumps(parameters).encode(), entry)


def all_runs(fleet: Fleet) -> dict[str, int]:
    """Return the number of executions by key over all plain services."""
    runs: dict[str, int] = {}
    for target in fleet.spec.targets:
        for key, count in read_ledger(str(fleet.ledger(target.name))).items():
            runs[key] = runs.get(key, 0) + count
    return runs
