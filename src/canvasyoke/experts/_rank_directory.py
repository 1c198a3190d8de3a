"""What a rank process knows of its group from the store: addresses, and the maps' geometry."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Final

import msgspec

from canvasyoke.experts._rank_client import RankClient
from canvasyoke.experts._rank_port import REMOTE_TIMEOUT, RankPortFactory
from canvasyoke.observe import part_logger
from canvasyoke.state import (
    FleetStore,
    RankGeometry,
    SocketAddress,
    TableRead,
    Unusable,
    read_note,
)

_log = part_logger("ranks")
#: Kind of the rank notes in the store.
NOTE_KIND: Final = "map-ranks"


class RankNote(msgspec.Struct, frozen=True):
    """Addresses of a rank process and its engine."""

    peer: SocketAddress
    engine: SocketAddress
    #: Failure domain; empty in notes written by older versions.
    domain: Annotated[str, msgspec.Meta(max_length=200)] = ""


class RankDirectory:
    """Addresses of the ranks of one group, with clients of their engines."""

    def __init__(self, store: FleetStore, make_port: RankPortFactory) -> None:
        self._store = store
        self._make_port = make_port
        #: Notes by rank as of the last successful read.
        self.notes: dict[int, RankNote] = {}
        #: Clients of other ranks' engines with the addresses that they use.
        self._clients: dict[int, tuple[str, RankClient]] = {}

    def read_notes(self, group: str) -> Mapping[int, RankNote]:
        """Read the notes of the group's ranks, keeping known ones if the store is unavailable."""
        notes = self._store.notes(NOTE_KIND)
        if not isinstance(notes, list):
            _log.warning("could not list rank notes", cause=notes.detail)
            return self.notes
        for note in notes:
            name, _, rank = note.name.rpartition(".")
            if name != group or not (rank.isascii() and rank.isdigit()):
                continue
            rank_note = read_note(note, RankNote)
            if isinstance(rank_note, Unusable):
                _log.warning("ignored an invalid rank note", cause=rank_note.detail)
            else:
                self.notes[int(rank)] = rank_note
        return self.notes

    def geometry(self) -> RankGeometry | None:
        """Return the geometry of the service's groups from the configuration."""
        configuration = self._store.table()
        if not isinstance(configuration, TableRead):
            return None
        geometries = [
            s.geometry for s in configuration.table.services.values() if s.geometry is not None
        ]
        return geometries[0] if geometries else None

    def client(self, rank: int) -> RankClient | None:
        """Return a client for another rank's engine, or ``None`` if its address is unknown."""
        note = self.notes.get(rank)
        if note is None:
            return None
        client_entry = self._clients.get(rank)
        if client_entry is None or client_entry[0] != note.engine:
            client_entry = (note.engine, RankClient(self._make_port(note.engine, REMOTE_TIMEOUT)))
            self._clients[rank] = client_entry
        return client_entry[1]
