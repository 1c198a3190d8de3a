"""Ports for processes that are started a moment later.

A port that the system hands out may be given to an outgoing connection before the process
listens there: of some 100 starts of three entries beside other load three ended with
"Address already in use".
"""

from __future__ import annotations

import itertools
import random
import socket
from collections.abc import Iterator
from typing import Final

#: Ports tried: above those of usual services, below those that the system takes for
#: outgoing connections, from 32768 on.
_PORTS: Final = range(12_000, 32_000)


def _candidate_ports() -> Iterator[int]:
    """Yield ports below those that the kernel gives to outgoing connections.

    Each process begins somewhere else, so that two test runs side by side hardly
    ever meet.
    """
    start = random.SystemRandom().randrange(_PORTS.start, _PORTS.stop)
    return itertools.cycle([*range(start, _PORTS.stop), *range(_PORTS.start, start)])


_ports = _candidate_ports()


def free_address(kind: int = socket.SOCK_STREAM) -> str:
    """Return a loopback address whose port is free and is not handed out again soon."""
    for port in _ports:
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"
    raise OSError("no port is free")
