"""The task that follows the configuration's root in the platform."""

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
#: Milliseconds one watch waits.
_WATCH: Final = 20 * SECOND
_BACKOFF_START: Final = 100
_BACKOFF_LIMIT: Final = 2 * SECOND


class ConfigWatcher:
    """Watches the root and hands each newer snapshot to the keeper."""

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
        #: Whether the platform answered the last watch.
        self.connected = False
        self._stop = threading.Event()
        self._task = threading.Thread(target=self._run, name="config", daemon=True)

    def start(self) -> None:
        """Start the task."""
        self._task.start()

    def stop(self) -> None:
        """End the task after the watch under way."""
        self._stop.set()

    def _run(self) -> None:
        backoff = _BACKOFF_START
        while not self._stop.is_set():
            if self._follow_once():
                backoff = _BACKOFF_START
                continue
            self._stop.wait(backoff * self._rng.uniform(0.5, 1.5) / SECOND)
            backoff = min(backoff * 2, _BACKOFF_LIMIT)

    def _follow_once(self) -> bool:
        result = self._platform.watch(ROOT_KEY, self._version, _WATCH)
        if isinstance(result, Unavailable):
            self._note_connected(False)
            return False
        self._note_connected(True)
        return not isinstance(result, Found) or self._take(result)

    def _take(self, found: Found) -> bool:
        known = self._view.snapshot.contents if self._view.snapshot else {}
        snapshot = load_snapshot(self._platform, found.value, known)
        if isinstance(snapshot, Unavailable):
            return False
        self._adopt(snapshot).get()
        self._version = found.version
        return True

    def _note_connected(self, connected: bool) -> None:
        if connected != self.connected:
            _log.info("platform answers" if connected else "platform does not answer")
        self.connected = connected
