"""Entries that call backends themselves, without a target process between."""

from canvasyoke.direct._caller_port import (
    CALLER_PORTS,
    CallerPort,
    CallerRequest,
    MalformedRequest,
)

__all__ = ["CALLER_PORTS", "CallerPort", "CallerRequest", "MalformedRequest"]
