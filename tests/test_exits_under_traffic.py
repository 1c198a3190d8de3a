"""A crashing request is quarantined in time although its backends exit late, among other traffic.

Guards against losing the evidence when ordinary requests use a backend between crash and exit.
"""

from __future__ import annotations

import random

from tests.crash_traffic import CrashTraffic

SEED = 1
REPEATS = 8
#: Seconds from the end of an engine's connections until its port closes.
DELAYS = (0.02, 0.2, 1.0)
#: Crashes granted after all entries should know the request.
MAX_LATE_CRASHES = 3


def _any_delay(rng: random.Random) -> float:
    return rng.choice(DELAYS)


def test_a_crashing_request_is_quarantined_among_ordinary_traffic() -> None:
    traffic = CrashTraffic(_any_delay, SEED)
    try:
        result = traffic.run(REPEATS)
        assert result.late_crashes <= MAX_LATE_CRASHES
        for entry in traffic.entries:
            assert entry.metric("canvasyoke_requests_quarantined") == 1
    finally:
        traffic.close()
