"""canvasyoke: a load balancer for expert-parallel model groups.

The package is laid out in layers; a module imports only from its own layer or
from one named before it:

``protocol``      messages between processes and the callers' HTTP conventions
``transport``     links over pynng, the HTTP server and the HTTP client
``state``         settings, configuration, the platform port, the audit trail
``coordination``  decisions: routing, limits, retries, at most once, expert maps
``backend``       adapters to engines and plain services

``entry`` and ``target`` assemble the layers into the two long-running roles and
``cli`` holds the operators' commands.
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
