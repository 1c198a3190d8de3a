"""The entry role: takes callers' HTTP and holds each request until its answer is whole."""

from canvasyoke.entry._process import EntryProcess

__all__ = ["EntryProcess"]
