"""Direct entries: gateways that forward requests to backends themselves."""

from canvasyoke.direct._caller_port import (
    CALLER_PORTS,
    CallerPort,
    CallerRequest,
    MalformedRequest,
)

__all__ = ["CALLER_PORTS", "CallerPort", "CallerRequest", "MalformedRequest"]
