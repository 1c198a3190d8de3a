"""The HTTP adapter against the fake platform and its fault injection."""

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
class AdapterHarness:
    """A fake platform with fault injection, and an adapter connected to it."""

    address: str
    platform: HttpPlatform

    def set_faults(self, **changes: object) -> None:
        self.put_json("/faults", changes)

    def put_json(self, path: str, value: object) -> None:
        urllib3.request("PUT", f"http://{self.address}{path}", body=json.dumps(value).encode())


@pytest.fixture
def harness() -> Iterator[AdapterHarness]:
    address = free_address()
    server = serve(address, Store())
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield AdapterHarness(address, HttpPlatform(address))
    server.shutdown()
    server.server_close()


def test_conditional_writes(harness: AdapterHarness) -> None:
    platform = harness.platform
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


def test_watch_returns_only_newer_versions(harness: AdapterHarness) -> None:
    platform = harness.platform
    assert platform.watch("k", 0, 20) == Unchanged()
    written = platform.write("k", b"1", CREATE)
    assert isinstance(written, Written)
    assert platform.watch("k", 0, 20) == Found("k", written.version, b"1")
    assert platform.watch("k", written.version, 20) == Unchanged()


def test_all_calls_report_an_unavailable_platform(harness: AdapterHarness) -> None:
    harness.set_faults(down=True)
    platform = harness.platform
    results = [
        platform.read("k"),
        platform.write("k", b"", CREATE),
        platform.delete("k"),
        platform.list_keys(""),
        platform.watch("k", 0, 20),
        platform.instances(),
    ]
    assert all(isinstance(result, Unavailable) for result in results)


def test_refused_connection_is_not_ambiguous() -> None:
    result = HttpPlatform(free_address()).write("k", b"", CREATE)
    assert isinstance(result, Unavailable)
    assert not result.ambiguous


def test_write_with_lost_response_is_ambiguous(harness: AdapterHarness) -> None:
    harness.set_faults(lose_answers=1)
    result = harness.platform.write("k", b"1", CREATE)
    assert isinstance(result, Unavailable)
    assert result.ambiguous
    found = harness.platform.read("k")
    assert isinstance(found, Found)
    assert found.value == b"1"


def test_stale_read_returns_the_previous_version(harness: AdapterHarness) -> None:
    first = harness.platform.write("k", b"1", CREATE)
    assert isinstance(first, Written)
    harness.platform.write("k", b"2", first.version)
    harness.set_faults(stale_ms=60_000)
    assert harness.platform.read("k") == Found("k", first.version, b"1")


def test_instance_list_lags(harness: AdapterHarness) -> None:
    instance = {"role": "target", "domain": "d", "address": "127.0.0.1:1", "state": "leaving"}
    harness.set_faults(list_lag_ms=60_000)
    harness.put_json("/instances/t-1", instance)
    assert harness.platform.instances() == []
    harness.set_faults(list_lag_ms=0)
    expected = Instance("t-1", "target", "d", "127.0.0.1:1", InstanceState.LEAVING)
    assert harness.platform.instances() == [expected]


def test_slow_response_is_accepted(harness: AdapterHarness) -> None:
    harness.set_faults(slow_ms=100)
    assert isinstance(harness.platform.write("k", b"1", CREATE), Written)
