"""Serves the links of many idle targets from one process, for benchmarks of link overhead.

    python -m fakes.targets LINK_KEY_HEX ADDRESS...

Each target answers handshakes and sends a load report every two seconds; none runs requests.
"""

from __future__ import annotations

import sys
import time

from canvasyoke import SystemClock
from canvasyoke.protocol import LoadReport
from canvasyoke.transport import LinkServer, Session


def report(index: int) -> LoadReport:
    """Build the load report of an idle target."""
    return LoadReport(
        instance=f"t-{index}",
        domain="nbo-a",
        service="ink",
        running=0,
        queued=0,
        slots=8,
        duration=0,
        generation=1 << 30,
        leaving=False,
        healthy=True,
    )


def main(link_key: str, addresses: list[str]) -> None:
    """Serve all addresses until the process is killed."""
    clock = SystemClock()
    sessions: dict[int, list[Session]] = {index: [] for index in range(len(addresses))}
    for index, address in enumerate(addresses):
        server = LinkServer(
            address,
            bytes.fromhex(link_key),
            f"t-{index}",
            "run",
            clock,
            lambda session, message: None,
            sessions[index].append,
            lambda session: None,
        )
        server.start()
    while True:
        for index, each in sessions.items():
            for session in each:
                session.send(report(index))
        time.sleep(2.0)


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2:])
