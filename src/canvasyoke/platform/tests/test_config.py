"""Tests of decoding the operator's configuration."""

import msgspec
import pytest

from canvasyoke.platform._config import decode_table
from canvasyoke.state import RoutingTable, Unusable


def document(version: int, timeouts: list[int]) -> bytes:
    """Return a configuration with one route for each timeout."""
    routes = [
        {
            "Name": f"r-{number}",
            "Host": "h.example",
            "PathPrefix": f"/{number}/",
            "Kind": "safe",
            "TrafficSplit": [{"Service": "s", "Weight": 1}, {"Service": "t", "Weight": number + 1}],
            "TimeoutMs": timeout,
        }
        for number, timeout in enumerate(timeouts)
    ]
    return msgspec.json.encode({"Version": version, "Routes": routes})


def test_unchanged_routes_are_reused() -> None:
    before = decode_table(document(1, [1_000, 2_000, 3_000]))
    after = decode_table(document(2, [1_000, 2_500, 3_000]))
    assert isinstance(before, RoutingTable)
    assert isinstance(after, RoutingTable)
    is_reused = [a is b for a, b in zip(before.routes, after.routes, strict=True)]
    assert is_reused == [True, False, True]
    assert [route.timeout for route in after.routes] == [1_000, 2_500, 3_000]
    assert [route.timeout for route in before.routes] == [1_000, 2_000, 3_000]


def test_fractional_times_are_rounded() -> None:
    route = {
        "Name": "r",
        "Host": "h.example",
        "PathPrefix": "/p/",
        "Kind": "safe",
        "Service": "s",
        "TimeoutMs": 1999.6,
        "TargetLatencyMs": 406.33,
        "gap_aim_ms": 150.0,
    }
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 65536,
        "HeaderTimeoutMs": 5000.4,
        "IdleTimeoutMs": 20000,
    }
    document = {"Version": 3, "Routes": [route], "Limits": limits}
    table = decode_table(msgspec.json.encode(document))
    assert isinstance(table, RoutingTable)
    assert (table.routes[0].timeout, table.routes[0].objective) == (2_000, 406)
    assert (table.limits.header_time, table.limits.idle_time) == (5_000, 20_000)


@pytest.mark.parametrize(("engine", "expected"), [({"form_ms": 600.0}, 600), ({}, 0)])
def test_form_time_of_a_group(engine: dict[str, float], expected: int) -> None:
    """Without it the forecast of a group that forms falls back to past outages."""
    document = msgspec.json.encode(
        {"Version": 1, "Routes": [], "Services": [{"Name": "ink", "Engine": engine}]}
    )
    table = decode_table(document)
    assert not isinstance(table, Unusable)
    assert table.services["ink"].form_time == expected
