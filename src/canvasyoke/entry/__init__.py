"""The entry role: accepts HTTP requests from callers and relays each to a target."""

from canvasyoke.entry._process import EntryProcess

__all__ = ["EntryProcess"]
