"""Many targets' links in one process, for measuring what links cost an entry.

    python -m fakes.targets LINK_KEY_HEX ADDRESS...

Each answers handshakes and reports every two seconds; none runs anything.
"""

from __future__ import annotations

import sys
import time

from canvasyoke import SystemClock
from canvasyoke.protocol import LoadReport
from canvasyoke.transport import LinkServer, Session


def report(index: int) -> LoadReport:
    """Return the report of one idle target."""
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
    """Serve all addresses for ever."""
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
