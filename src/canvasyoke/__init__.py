"""canvasyoke: a load balancer for expert-parallel model groups.

The package is organised in layers. A module imports only from its own layer or
from a lower one. The main layers, lowest first:

``protocol``      messages between processes and the callers' HTTP conventions
``transport``     links over pynng, HTTP server and HTTP client
``state``         settings, configuration, platform port, audit trail
``coordination``  routing, limits, retries, at-most-once execution, expert maps
``backend``       adapters for inference engines and plain services

``entry``, ``target``, ``direct`` and ``experts`` combine the layers into long-running
processes, and ``cli`` contains the commands that start and operate them.
"""

from canvasyoke._clock import Clock, ManualClock, SystemClock
from canvasyoke._registry import Registry, UnknownNameError
from canvasyoke._version import PROTOCOL_VERSION, VERSION

__all__ = [
    "PROTOCOL_VERSION",
    "VERSION",
    "Clock",
    "ManualClock",
    "Registry",
    "SystemClock",
    "UnknownNameError",
]
