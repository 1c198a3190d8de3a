"""The operator's document as the platform hands it over."""

import msgspec

from canvasyoke.platform._config import decode_table
from canvasyoke.state import RoutingTable


def test_times_need_not_be_whole() -> None:
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
