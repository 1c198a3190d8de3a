"""Allocates loopback ports for processes that are started later.

Ports lie below the kernel's ephemeral range, so that no outgoing connection takes one before
the process listens. A byte-range lock on a shared file reserves each port for one test process.
"""

from __future__ import annotations

import fcntl
import itertools
import os
import random
import socket
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Final

#: Candidate ports; the kernel's ephemeral range begins at 32768.
_PORTS: Final = range(12_000, 32_000)

#: Lock file with one byte per port; the kernel releases the locks when a process exits.
_CLAIMS: Final = Path(tempfile.gettempdir()) / "canvasyoke-test-ports"


class PortClaims:
    """Reserves ports across test processes by byte-range locks on one file."""

    def __init__(self, path: Path) -> None:
        self._file = os.open(path, os.O_RDWR | os.O_CREAT, 0o666)

    def claim(self, port: int) -> bool:
        """Reserve ``port`` for this process; return false if another process holds it."""
        try:
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        except OSError:
            return False
        return True


def _candidate_ports() -> Iterator[int]:
    """Cycle through the candidate ports.

    The start is random, so that parallel test runs rarely try the same port.
    """
    start = random.SystemRandom().randrange(_PORTS.start, _PORTS.stop)
    return itertools.cycle([*range(start, _PORTS.stop), *range(_PORTS.start, start)])


_ports = _candidate_ports()
_claims = PortClaims(_CLAIMS)


def free_address(kind: int = socket.SOCK_STREAM) -> str:
    """Return a loopback address whose port is free and reserved for this process."""
    for port in _ports:
        if not _claims.claim(port):
            continue
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"
    raise OSError("no free port found")
