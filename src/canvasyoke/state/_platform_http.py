"""Platform adapter for HTTP with JSON, based on urllib3."""

from __future__ import annotations

from typing import Final, TypeVar
from urllib.parse import quote

import msgspec

from canvasyoke._clock import SECOND
from canvasyoke.state._platform import (
    PLATFORMS,
    Absent,
    Conflict,
    Found,
    Instance,
    InstanceState,
    Platform,
    ReadResult,
    Unavailable,
    Unchanged,
    WatchResult,
    WriteResult,
    Written,
)
from canvasyoke.transport import ApiAnswer, ApiClient, CallFailed, HttpFailure

_TIMEOUT: Final = 2 * SECOND
_CONNECT_TIMEOUT: Final = 1 * SECOND
#: Connections kept open.
_CONNECTIONS: Final = 4
_MAX_ANSWER_BYTES: Final = 32 << 20
_VERSION_HEADER: Final = "X-Object-Version"
_OK: Final = 200
_NO_CONTENT: Final = 204
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409


class _InstanceBody(msgspec.Struct, frozen=True):
    name: str
    role: str
    domain: str
    address: str
    state: InstanceState


BodyT = TypeVar("BodyT")


@PLATFORMS.register("http-json")
class HttpPlatform(Platform):
    """Client of ``/objects/KEY``, with versions in ``X-Object-Version``, and ``/instances``."""

    def __init__(self, address: str) -> None:
        self._client = ApiClient(address, _CONNECTIONS, _MAX_ANSWER_BYTES)

    def read(self, key: str) -> ReadResult:
        """Return the object under ``key``."""
        response = self._call("GET", _object_path(key))
        if isinstance(response, Unavailable):
            return response
        if response.status == _NOT_FOUND:
            return Absent(key)
        return _to_found(key, response)

    def write(self, key: str, value: bytes, expected: int) -> WriteResult:
        """Write if the version is ``expected``."""
        headers = {_VERSION_HEADER: str(expected)}
        response = self._call("PUT", _object_path(key), body=value, headers=headers)
        if isinstance(response, Unavailable):
            return response
        version = _parse_version(response)
        if response.status == _CONFLICT:
            return Conflict(version)
        if response.status == _OK:
            return Written(version)
        return Unavailable(f"status {response.status}", ambiguous=True)

    def delete(self, key: str) -> WriteResult:
        """Delete the object under ``key``."""
        response = self._call("DELETE", _object_path(key))
        if isinstance(response, Unavailable):
            return response
        return Written(0)

    def list_keys(self, prefix: str) -> list[str] | Unavailable:
        """Return the keys that start with ``prefix``."""
        return self._get_json(f"/keys?prefix={quote(prefix, safe='')}", list[str])

    def watch(self, key: str, after: int, timeout: int) -> WatchResult:
        """Wait for a version above ``after``."""
        path = f"{_object_path(key)}?after={after}&timeout={timeout}"
        response = self._call("GET", path, timeout=timeout + _TIMEOUT)
        if isinstance(response, Unavailable):
            return response
        if response.status in (_NO_CONTENT, _NOT_FOUND):
            return Unchanged()
        return _to_found(key, response)

    def instances(self) -> list[Instance] | Unavailable:
        """Return the instance list."""
        bodies = self._get_json("/instances", list[_InstanceBody])
        if isinstance(bodies, Unavailable):
            return bodies
        return [Instance(b.name, b.role, b.domain, b.address, b.state) for b in bodies]

    def _get_json(self, path: str, kind: type[BodyT]) -> BodyT | Unavailable:
        response = self._call("GET", path)
        if isinstance(response, Unavailable):
            return response
        if response.status != _OK:
            return Unavailable(f"status {response.status}")
        try:
            return msgspec.json.decode(response.data, type=kind)
        except (msgspec.MsgspecError, RecursionError) as exc:
            return Unavailable(f"answer cannot be read: {exc}")

    def _call(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout: int = _TIMEOUT,
    ) -> ApiAnswer | Unavailable:
        response = self._client.call(
            method,
            path,
            connect_timeout=_CONNECT_TIMEOUT,
            read_timeout=timeout,
            body=body,
            headers=headers,
        )
        if isinstance(response, CallFailed):
            is_ambiguous = response.failure is not HttpFailure.NOT_SENT
            return Unavailable(response.detail, ambiguous=is_ambiguous)
        if response.status >= 500:
            return Unavailable(f"status {response.status}", ambiguous=True)
        return response


def _object_path(key: str) -> str:
    return f"/objects/{quote(key)}"


def _parse_version(response: ApiAnswer) -> int:
    try:
        return int(response.headers.get(_VERSION_HEADER, ""))
    except ValueError:
        return 0


def _to_found(key: str, response: ApiAnswer) -> Found | Unavailable:
    if response.status != _OK:
        return Unavailable(f"status {response.status}")
    return Found(key, _parse_version(response), response.data)
