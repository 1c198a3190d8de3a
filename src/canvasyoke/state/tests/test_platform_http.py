"""The HTTP adapter against the platform stand-in, with every fault it has."""

import json
import threading
from collections.abc import Iterator
from dataclasses import dataclass

import pytest
import urllib3

from canvasyoke.state import (
    CREATE,
    Absent,
    Conflict,
    Found,
    HttpPlatform,
    Instance,
    InstanceState,
    Unavailable,
    Unchanged,
    Written,
)
from fakes.platform import Store, serve
from fakes.ports import free_address


@dataclass
class World:
    """A stand-in, an adapter, and a way to set faults."""

    address: str
    platform: HttpPlatform

    def fault(self, **changes: object) -> None:
        self.put("/faults", changes)

    def put(self, path: str, value: object) -> None:
        urllib3.request("PUT", f"http://{self.address}{path}", body=json.dumps(value).encode())


@pytest.fixture
def world() -> Iterator[World]:
    address = free_address()
    server = serve(address, Store())
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield World(address, HttpPlatform(address))
    server.shutdown()
    server.server_close()


def test_conditional_writes(world: World) -> None:
    platform = world.platform
    assert platform.read("a/b c") == Absent("a/b c")
    first = platform.write("a/b c", b"1", CREATE)
    assert isinstance(first, Written)
    assert platform.write("a/b c", b"2", CREATE) == Conflict(first.version)
    second = platform.write("a/b c", b"2", first.version)
    assert isinstance(second, Written)
    assert platform.read("a/b c") == Found("a/b c", second.version, b"2")
    assert platform.list_keys("a/") == ["a/b c"]
    assert platform.delete("a/b c") == Written(0)
    assert platform.list_keys("a/") == []


def test_watch_returns_what_is_newer_or_nothing(world: World) -> None:
    platform = world.platform
    assert platform.watch("k", 0, 20) == Unchanged()
    written = platform.write("k", b"1", CREATE)
    assert isinstance(written, Written)
    assert platform.watch("k", 0, 20) == Found("k", written.version, b"1")
    assert platform.watch("k", written.version, 20) == Unchanged()


def test_down_is_unavailable_for_all_calls(world: World) -> None:
    world.fault(down=True)
    platform = world.platform
    results = [
        platform.read("k"),
        platform.write("k", b"", CREATE),
        platform.delete("k"),
        platform.list_keys(""),
        platform.watch("k", 0, 20),
        platform.instances(),
    ]
    assert all(isinstance(result, Unavailable) for result in results)


def test_nobody_there_is_certain_not_ambiguous() -> None:
    result = HttpPlatform(free_address()).write("k", b"", CREATE)
    assert isinstance(result, Unavailable)
    assert not result.ambiguous


def test_lost_answer_is_ambiguous_and_took_effect(world: World) -> None:
    world.fault(lose_answers=1)
    result = world.platform.write("k", b"1", CREATE)
    assert isinstance(result, Unavailable)
    assert result.ambiguous
    found = world.platform.read("k")
    assert isinstance(found, Found)
    assert found.value == b"1"


def test_stale_reads_show_the_version_before(world: World) -> None:
    first = world.platform.write("k", b"1", CREATE)
    assert isinstance(first, Written)
    world.platform.write("k", b"2", first.version)
    world.fault(stale_ms=60_000)
    assert world.platform.read("k") == Found("k", first.version, b"1")


def test_list_lags(world: World) -> None:
    line = {"role": "target", "domain": "d", "address": "127.0.0.1:1", "state": "leaving"}
    world.fault(list_lag_ms=60_000)
    world.put("/instances/t-1", line)
    assert world.platform.instances() == []
    world.fault(list_lag_ms=0)
    expected = Instance("t-1", "target", "d", "127.0.0.1:1", InstanceState.LEAVING)
    assert world.platform.instances() == [expected]


def test_slow_answers_still_count(world: World) -> None:
    world.fault(slow_ms=100)
    assert isinstance(world.platform.write("k", b"1", CREATE), Written)
