"""The record that a case leaves in its folder."""

from __future__ import annotations

import threading
import time
from pathlib import Path


class Record:
    """Lines of ``record.txt`` with the seconds since the start; thread-safe."""

    def __init__(self, folder: Path) -> None:
        self._began_at = time.monotonic()
        self._lock = threading.Lock()
        self._file = (folder / "record.txt").open("w")

    def add(self, text: str) -> None:
        """Add a line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began_at:7.3f} {text}\n")
            self._file.flush()
