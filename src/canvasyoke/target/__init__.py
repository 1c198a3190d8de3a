"""The target role: the one small process beside an engine or plain service."""

from canvasyoke.target._process import TargetProcess

__all__ = ["TargetProcess"]
