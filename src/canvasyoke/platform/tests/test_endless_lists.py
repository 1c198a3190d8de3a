"""Lists whose pages have no end are given up."""

from __future__ import annotations

import itertools
import threading

from canvasyoke.platform import _store
from canvasyoke.platform._store import ObjectsFleetStore
from canvasyoke.state import Unusable
from fakes.http_base import Handler, Server


def test_a_list_without_a_last_page_is_given_up() -> None:
    """Guards against a store whose pages are collected for as long as they come."""
    numbers = itertools.count()
    filler = "a" * 4_000_000

    class _Handler(Handler):
        def handle_request(
            self, method: str, path: str, query: dict[str, str], body: bytes
        ) -> None:
            item = {"Metadata": {"Name": f"b-{next(numbers):09}", "Revision": 1}, "Spec": filler}
            self.reply_json({"Items": [item], "at": 1, "more": True})

    server = Server(("127.0.0.1", 0), _Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    try:
        listed = ObjectsFleetStore(f"127.0.0.1:{server.server_address[1]}").endpoints()
    finally:
        server.shutdown()
        server.server_close()
    assert isinstance(listed, Unusable)
    assert next(numbers) <= _store._MAX_LIST_BYTES // len(filler) + 1
