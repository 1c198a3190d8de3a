"""Who the other processes of a role are, which of them to link with, and who asks the
platform's store on behalf of the others."""

from canvasyoke.membership._links import OverlayLinks
from canvasyoke.membership._overlay import MESH_LIMIT, choose_dials, is_mesh
from canvasyoke.membership._places import Place, precedence
from canvasyoke.membership._rota import StoreContact, WatchRota

__all__ = [
    "MESH_LIMIT",
    "OverlayLinks",
    "Place",
    "StoreContact",
    "WatchRota",
    "choose_dials",
    "is_mesh",
    "precedence",
]
