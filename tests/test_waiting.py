"""A waiting request is queued at several engines and runs at one of them."""

import json
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
import urllib3
import yaml

from fakes.engine import make_tokens
from fakes.launcher import Fleet
from tests.caller import Answer, Caller
from tests.conftest import CONFIGURATION, make_spec


@pytest.fixture(scope="module")
def narrow() -> Iterator[Fleet]:
    """Fleet whose two engines have one slot each."""
    with Fleet(make_spec(token_ms=10)) as fleet:
        content = yaml.safe_load(Path(CONFIGURATION).read_text())
        for number in (1, 2):
            content["engines"][f"inkmodel-{number}"]["slots"] = 1
        path = fleet.folder / "fleet.yaml"
        path.write_text(yaml.safe_dump(content))
        fleet.start()
        fleet.wait_ready(fleet.apply([path], 0))
        yield fleet


def generations(fleet: Fleet) -> dict[str, int]:
    """Return the number of executions of each request at the engines."""
    runs: dict[str, int] = {}
    for name, address in fleet.ports.backends.items():
        if name.startswith("inkmodel"):
            ledger = json.loads(urllib3.request("GET", f"http://{address}/ledger").data)
            for request, count in ledger["generations"].items():
                runs[request] = runs.get(request, 0) + count
    return runs


def generate(caller: Caller, prompt: str, count: int, entry: str) -> Answer:
    parameters = json.dumps({"prompt": prompt, "max_tokens": count}).encode()
    headers = {"X-Request-Id": prompt}
    return caller.call("POST", "/inkmodel/generate", parameters, entry, headers)


def test_every_request_is_answered_whole_and_hardly_any_runs_twice(narrow: Fleet) -> None:
    caller = Caller(narrow)
    entries = list(narrow.ports.entries)
    prompts = [f"wait-{i}" for i in range(40)]
    with ThreadPoolExecutor(20) as pool:
        answers = list(
            pool.map(lambda i: generate(caller, prompts[i], 5, entries[i % 2]), range(len(prompts)))
        )
    for prompt, answer in zip(prompts, answers, strict=True):
        assert answer.status == 200, answer.body
        lines = [json.loads(line) for line in answer.body.splitlines()]
        assert [line.get("token") for line in lines[:-1]] == make_tokens(prompt, 0, 5)
    runs = [generations(narrow)[prompt] for prompt in prompts]
    assert sum(runs) <= len(prompts) + 4


def test_no_request_waits_behind_a_long_one_while_another_engine_is_free(
    narrow: Fleet,
) -> None:
    """Both engines are busy when the short requests arrive, one of them for long."""
    caller = Caller(narrow)
    entry = next(iter(narrow.ports.entries))
    with ThreadPoolExecutor(10) as pool:
        long = pool.submit(generate, caller, "long", 500, entry)
        medium = pool.submit(generate, caller, "medium", 60, entry)
        time.sleep(0.3)  # one is running on each engine
        shorts = [pool.submit(generate, caller, f"short-{i}", 5, entry) for i in range(8)]
        assert [f.result().status for f in shorts] == [200] * 8
        assert medium.result().status == 200
        assert not long.done()
        assert long.result().status == 200
