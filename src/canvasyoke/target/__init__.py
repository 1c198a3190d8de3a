"""The target role: the process that runs next to one engine or plain service."""

from canvasyoke.target._process import TargetProcess

__all__ = ["TargetProcess"]
