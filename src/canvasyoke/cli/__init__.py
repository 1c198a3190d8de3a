"""The command line: ``canvasyoke COMMAND``."""

from canvasyoke.cli._main import main

__all__ = ["main"]
