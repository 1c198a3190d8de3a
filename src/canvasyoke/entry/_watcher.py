"""Watches the root of the configuration in the platform's store."""

from __future__ import annotations

import random
import threading
from typing import Final

import pykka

from canvasyoke._clock import SECOND
from canvasyoke.observe import part_logger
from canvasyoke.state import (
    ROOT_KEY,
    ConfigKeeper,
    ConfigView,
    Found,
    Platform,
    Unavailable,
    load_snapshot,
)

_log = part_logger("config")
#: Timeout of one watch in milliseconds.
_WATCH_TIMEOUT: Final = 20 * SECOND
_INITIAL_BACKOFF: Final = 100
_MAX_BACKOFF: Final = 2 * SECOND


class ConfigWatcher:
    """Watches the root and passes each new snapshot to the keeper."""

    def __init__(
        self,
        platform: Platform,
        view: ConfigView,
        keeper: pykka.ActorRef[ConfigKeeper],
        rng: random.Random,
    ) -> None:
        self._platform = platform
        self._view = view
        self._adopt = keeper.proxy().adopt
        self._rng = rng
        self._version = 0
        #: Whether the platform responded to the last watch.
        self.connected = False
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="config", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread once the current watch returns."""
        self._stop.set()

    def _run(self) -> None:
        backoff = _INITIAL_BACKOFF
        while not self._stop.is_set():
            if self._watch_once():
                backoff = _INITIAL_BACKOFF
                continue
            self._stop.wait(backoff * self._rng.uniform(0.5, 1.5) / SECOND)
            backoff = min(backoff * 2, _MAX_BACKOFF)

    def _watch_once(self) -> bool:
        result = self._platform.watch(ROOT_KEY, self._version, _WATCH_TIMEOUT)
        if isinstance(result, Unavailable):
            self._set_connected(False)
            return False
        self._set_connected(True)
        return not isinstance(result, Found) or self._load_and_adopt(result)

    def _load_and_adopt(self, found: Found) -> bool:
        cached_contents = self._view.snapshot.contents if self._view.snapshot else {}
        snapshot = load_snapshot(self._platform, found.value, cached_contents)
        if isinstance(snapshot, Unavailable):
            return False
        self._adopt(snapshot).get()
        self._version = found.version
        return True

    def _set_connected(self, connected: bool) -> None:
        if connected != self.connected:
            _log.info("platform reachable" if connected else "platform unreachable")
        self.connected = connected
