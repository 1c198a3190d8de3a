"""Adapters to the users' platform: names, formats and calls, without any policy.

Importing the package registers its adapters under the name ``objects``.
"""

from canvasyoke.platform._callers import ObjectsCallerPort
from canvasyoke.platform._engine import ObjectsBackendPort
from canvasyoke.platform._ranks import ObjectsRankPort
from canvasyoke.platform._store import ObjectsFleetStore

__all__ = ["ObjectsBackendPort", "ObjectsCallerPort", "ObjectsFleetStore", "ObjectsRankPort"]
