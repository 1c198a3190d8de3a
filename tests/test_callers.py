"""Behaviour of an entry towards its callers, for valid and invalid requests."""

import http.client
import json
import socket

import pynng
import pytest
import urllib3

from fakes.engine import make_tokens
from fakes.launcher import Fleet, wait_until
from tests.caller import TOKEN, Caller, all_runs


@pytest.mark.parametrize(
    ("path", "body", "headers", "token", "status", "reason"),
    [
        ("/inkmodel/generate", b"{}", {}, "wrong", 401, "unauthenticated"),
        ("/inkmodel/generate", b"{}", {}, "", 401, "unauthenticated"),
        ("/shelf-api/bookmarks", b"", {}, "school-clubs-token", 403, "forbidden"),
        ("/nowhere/x", b"", {}, TOKEN, 404, "unknown_service"),
        ("/", b"", {}, TOKEN, 404, "unknown_service"),
        ("/shelf-api/bookmarks", b"x" * 65_537, {}, TOKEN, 413, "body_too_large"),
        ("/shelf-api/bookmarks", b"", {"Priority": "u=9"}, TOKEN, 400, "malformed"),
        ("/shelf-api/bookmarks", b"", {"Prefer": "wait=x"}, TOKEN, 400, "malformed"),
        ("/shelf-api/bookmarks", b"", {"Idempotency-Key": "1"}, TOKEN, 400, "malformed"),
    ],
)
def test_refusals_are_typed_and_leave_the_entry_unharmed(
    caller: Caller,
    path: str,
    body: bytes,
    headers: dict[str, str],
    token: str,
    status: int,
    reason: str,
) -> None:
    answer = caller.call("POST", path, body, headers=headers, token=token)
    assert (answer.status, answer.json["reason"]) == (status, reason)
    assert answer.json["outcome"] == "not_run"
    assert caller.generate(count=2).status == 200


def test_generation_arrives_complete(caller: Caller) -> None:
    lines = caller.generate("bubble", 12).body.splitlines()
    assert [json.loads(line)["token"] for line in lines[:-1]] == make_tokens("bubble", 0, 12)
    assert json.loads(lines[-1]) == {"done": True, "tokens": 12}


def test_any_method_and_path_is_passed_on(caller: Caller) -> None:
    answer = caller.call("PATCH", "/shelf-api/a%20b%2Fc/d?x=1&y=%26", b"text")
    assert answer.status == 200
    got = answer.json
    wanted = ("PATCH", "/a%20b%2Fc/d?x=1&y=%26", "text")
    assert (got["method"], got["target"], got["echo"]) == wanted
    assert got["organisation"] == "kibanda-comics"
    assert answer.headers["X-Request-Id"] == got["request_id"]


def test_request_id_of_the_caller_is_kept(caller: Caller) -> None:
    answer = caller.call("GET", "/shelf-api/x", headers={"X-Request-Id": "reader-7"})
    assert answer.json["request_id"] == answer.headers["X-Request-Id"] == "reader-7"


def test_deadline_is_refused_with_what_is_known(caller: Caller) -> None:
    parameters = json.dumps({"prompt": "x", "max_tokens": 400}).encode()
    headers = {"Prefer": "wait=0.1"}
    with pytest.raises((urllib3.exceptions.ProtocolError, urllib3.exceptions.IncompleteRead)):
        caller.call("POST", "/inkmodel/generate", parameters, headers=headers)


def test_health_readiness_and_metrics(fleet: Fleet, caller: Caller) -> None:
    assert caller.generate(count=3).status == 200
    entry, admin = next(iter(fleet.ports.admin.items()))
    assert caller.call("GET", "/healthz").status == 200
    assert caller.call("GET", "/readyz").body == b"ready\n"
    text = urllib3.request("GET", f"http://{admin}/metrics").data.decode()
    assert 'canvasyoke_requests_total{outcome="answered"}' in text
    assert 'canvasyoke_first_piece_seconds{quantile="0.99"}' in text
    assert fleet.status(entry)["entry"]["instance"] == entry


def test_generation_is_cancelled_when_the_caller_disconnects(fleet: Fleet) -> None:
    entry = next(iter(fleet.ports.entries.values()))
    connection = http.client.HTTPConnection(entry)
    parameters = json.dumps({"prompt": "x", "max_tokens": 1_500})
    connection.request(
        "POST", "/inkmodel/generate", parameters, {"Authorization": f"Bearer {TOKEN}"}
    )
    assert connection.getresponse().read(20)
    assert running_generations(fleet) == 1
    assert connection.sock is None or connection.sock.close() is None
    connection.close()
    wait_until(lambda: running_generations(fleet) == 0, "the engines are idle", 5)


def running_generations(fleet: Fleet) -> int:
    """Return the number of generations running at the engines."""
    total = 0
    for name, address in fleet.ports.backends.items():
        if name.startswith("inkmodel"):
            engine = json.loads(urllib3.request("GET", f"http://{address}/running").data)
            total += engine["running"]
    return total


def test_unauthenticated_peer_on_a_link_gets_nothing(fleet: Fleet, caller: Caller) -> None:
    address = fleet.ports.links["shelf-api-1"]
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port))) as raw:
        raw.sendall(b"GET / HTTP/1.1\r\n\r\n" + bytes(200))
    with pynng.Pair1(polyamorous=True, recv_timeout=700) as stranger:
        stranger.dial(f"tcp://{address}", block=True)
        stranger.send(b"\x01" + bytes(200))
        with pytest.raises((pynng.Timeout, pynng.Closed, pynng.BadState)):
            stranger.recv()
    before = all_runs(fleet)
    key = caller.new_key()
    assert caller.save(key).status == 200
    assert {k for k in all_runs(fleet) if k not in before} == {key}
