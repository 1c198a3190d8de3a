"""Finds out which requests crash backends, and keeps them from all backends."""

from canvasyoke.crashes._cases import CrashCase
from canvasyoke.crashes._crash_detector import BackendLiveness, CrashDetector
from canvasyoke.crashes._exchange import CrashExchange
from canvasyoke.crashes._exit_monitor import ExitMonitor
from canvasyoke.crashes._quarantine import Quarantine
from canvasyoke.crashes._quarantine_notes import QuarantineNotes
from canvasyoke.crashes._runs import BrokenExchange, OnRunChange, RunChange
from canvasyoke.crashes._traits import RequestIdentity, own_traits, shared_traits

__all__ = [
    "BackendLiveness",
    "BrokenExchange",
    "CrashCase",
    "CrashDetector",
    "CrashExchange",
    "ExitMonitor",
    "OnRunChange",
    "Quarantine",
    "QuarantineNotes",
    "RequestIdentity",
    "RunChange",
    "own_traits",
    "shared_traits",
]
