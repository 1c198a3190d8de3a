"""Settings, the configuration in force, the platform port and the audit trail."""

from canvasyoke.state._audit import AuditEntry, AuditTrail
from canvasyoke.state._config import (
    Engine,
    FleetConfig,
    Group,
    Organisation,
    ReferenceFault,
    Route,
    Service,
    build_config,
)
from canvasyoke.state._document import Document, Fault, parse_document
from canvasyoke.state._keeper import ConfigKeeper, ConfigView, Snapshot
from canvasyoke.state._models import FileModel
from canvasyoke.state._platform import (
    CREATE,
    PLATFORMS,
    Absent,
    Conflict,
    Found,
    Instance,
    InstanceState,
    Platform,
    Unavailable,
    Unchanged,
    Written,
)
from canvasyoke.state._platform_http import HttpPlatform
from canvasyoke.state._root import Change, Root
from canvasyoke.state._settings import (
    BackendSettings,
    EntrySettings,
    LogSettings,
    PlatformSettings,
    TargetSettings,
    load_settings,
)
from canvasyoke.state._submission import (
    ROOT_KEY,
    Accepted,
    Ambiguous,
    Rejected,
    Submission,
    SubmitResult,
    load_snapshot,
    read_root,
    submit,
)
from canvasyoke.state._validate import check_file, validate

__all__ = [
    "CREATE",
    "PLATFORMS",
    "ROOT_KEY",
    "Absent",
    "Accepted",
    "Ambiguous",
    "AuditEntry",
    "AuditTrail",
    "BackendSettings",
    "Change",
    "ConfigKeeper",
    "ConfigView",
    "Conflict",
    "Document",
    "Engine",
    "EntrySettings",
    "Fault",
    "FileModel",
    "FleetConfig",
    "Found",
    "Group",
    "HttpPlatform",
    "Instance",
    "InstanceState",
    "LogSettings",
    "Organisation",
    "Platform",
    "PlatformSettings",
    "ReferenceFault",
    "Rejected",
    "Root",
    "Route",
    "Service",
    "Snapshot",
    "Submission",
    "SubmitResult",
    "TargetSettings",
    "Unavailable",
    "Unchanged",
    "Written",
    "build_config",
    "check_file",
    "load_settings",
    "load_snapshot",
    "parse_document",
    "read_root",
    "submit",
    "validate",
]
