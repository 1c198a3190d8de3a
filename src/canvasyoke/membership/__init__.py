"""Fleet membership of one role: peer addresses, the overlay of links between them, and the
election of the processes that watch the platform's store."""

from canvasyoke.membership._links import OverlayLinks
from canvasyoke.membership._nodes import Node, hash_order
from canvasyoke.membership._overlay import MESH_LIMIT, choose_peers, is_mesh
from canvasyoke.membership._watcher_election import WatcherElection, WatcherStatus

__all__ = [
    "MESH_LIMIT",
    "Node",
    "OverlayLinks",
    "WatcherElection",
    "WatcherStatus",
    "choose_peers",
    "hash_order",
    "is_mesh",
]
