"""Ports for processes that are started a moment later.

A port that the system hands out may be given to an outgoing connection before the process
listens there: of some 100 starts of three entries beside other load three ended with
"Address already in use". A port that is free may also be taken by another test process
before ours listens: of 58 starts of a fleet in five or six test processes side by side two
ended so. So a port belongs to the test process that has its byte of a file locked.
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

#: Ports tried: above those of usual services, below those that the system takes for
#: outgoing connections, from 32768 on.
_PORTS: Final = range(12_000, 32_000)


#: One byte a port; what is locked there ends with its process.
_CLAIMS: Final = Path(tempfile.gettempdir()) / "canvasyoke-test-ports"


class PortClaims:
    """Ports that test processes have taken, so that no two take the same."""

    def __init__(self, path: Path) -> None:
        self._file = os.open(path, os.O_RDWR | os.O_CREAT, 0o666)

    def claim(self, port: int) -> bool:
        """Take ``port`` for this process; false when another process has it."""
        try:
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        except OSError:
            return False
        return True


def _candidate_ports() -> Iterator[int]:
    """Yield ports below those that the kernel gives to outgoing connections.

    Each process begins somewhere else, so that two test runs side by side hardly
    ever meet.
    """
    start = random.SystemRandom().randrange(_PORTS.start, _PORTS.stop)
    return itertools.cycle([*range(start, _PORTS.stop), *range(_PORTS.start, start)])


_ports = _candidate_ports()
_claims = PortClaims(_CLAIMS)


def free_address(kind: int = socket.SOCK_STREAM) -> str:
    """Return a loopback address whose port is free and is not handed out again soon."""
    for port in _ports:
        if not _claims.claim(port):
            continue
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"
    raise OSError("no port is free")
