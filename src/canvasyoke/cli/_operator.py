"""Commands for operators, such as ``check``, ``apply``, ``status`` and ``audit``."""

from __future__ import annotations

import datetime
import getpass
import os
import sys
import uuid
from collections.abc import Mapping, Sequence
from http import HTTPStatus
from typing import Final

import msgspec

from canvasyoke._clock import SECOND, SystemClock
from canvasyoke._version import PROTOCOL_VERSION, VERSION
from canvasyoke.cli._registry import COMMANDS, DONE, REFUSED, USAGE
from canvasyoke.cli._render import render_audit, render_quarantine, render_status
from canvasyoke.state import (
    PLATFORMS,
    Accepted,
    Ambiguous,
    AuditEntry,
    AuditTrail,
    Document,
    Fault,
    FileModel,
    Platform,
    ReferenceFault,
    Rejected,
    Root,
    Submission,
    SubmitResult,
    Unavailable,
    build_config,
    parse_document,
    read_root,
    submit,
    validate,
)
from canvasyoke.transport import ApiAnswer, ApiClient, CallFailed

_OUTPUTS: Final = ("text", "json")
_STATUS_TIMEOUT: Final = 5 * SECOND
#: Largest answer of an entry, in bytes.
_MAX_ANSWER_BYTES: Final = 32 << 20


class _LoadedFiles(msgspec.Struct):
    """Valid files by name, and their documents for line numbers."""

    models: dict[str, FileModel]
    documents: dict[str, Document]


def _load_files(files: Sequence[str]) -> _LoadedFiles | list[Fault]:
    """Load and validate ``files``; return the faults of all files if there are any."""
    loaded = _LoadedFiles({}, {})
    faults: list[Fault] = []
    for file in files:
        name = os.path.basename(file)
        try:
            with open(file, encoding="utf-8") as stream:
                document = parse_document(stream.read(), file)
        except (OSError, UnicodeDecodeError) as exc:
            faults.append(Fault(file, 1, "", f"cannot be read: {exc}"))
            continue
        model = document if isinstance(document, list) else validate(document, FileModel)
        if isinstance(model, list):
            faults.extend(model)
        elif name in loaded.models:
            faults.append(Fault(file, 1, "", f"a file called {name} is given twice"))
        else:
            assert isinstance(document, Document)
            loaded.models[name] = model
            loaded.documents[name] = document
    return faults or loaded


def _locate_faults(
    faults: Sequence[ReferenceFault], documents: Mapping[str, Document]
) -> list[Fault]:
    """Add line numbers to ``faults`` in files whose document is known."""
    located = []
    for fault in faults:
        document = documents.get(fault.file)
        if document is None:
            located.append(Fault(fault.file, 1, ".".join(fault.path), fault.expected))
        else:
            located.append(document.fault(fault.path, fault.expected))
    return located


def _print_faults(faults: Sequence[Fault]) -> int:
    for fault in faults:
        print(fault, file=sys.stderr)
    return REFUSED


@COMMANDS.register("check")
def check(*files: str) -> int:
    """Check configuration files, individually and for consistency.

    FILE...   all files of the configuration

    Prints every fault with file, line, path and expected value.
    """
    loaded = _load_files(files)
    if isinstance(loaded, list):
        return _print_faults(loaded)
    built = build_config(1, loaded.models)
    if isinstance(built, list):
        return _print_faults(_locate_faults(built, loaded.documents))
    print(f"{len(loaded.models)} valid file(s)")
    return DONE


@COMMANDS.register("apply")
def apply(
    *files: str,
    platform: str,
    generation: str,
    operator: str = "",
    remove: str = "",
    adapter: str = "http-json",
) -> int:
    """Activate configuration files atomically.

    FILE...                files to activate; active files of the same name are replaced
    --platform IP:PORT     the platform's object API
    --generation N         generation on which the files are based; 0 for the first
    --operator NAME        operator for the audit trail (default: the user's name)
    --remove NAME[,NAME]   active files to remove
    --adapter NAME         platform adapter

    Refused if another generation is active; the changes since N are then shown.
    """
    if not generation.isdigit():
        return _usage_error(f"--generation takes a number, not {generation!r}")
    loaded = _load_files(files)
    if isinstance(loaded, list):
        return _print_faults(loaded)
    clock = SystemClock()
    store = PLATFORMS.get(adapter)(platform)
    submission = Submission(
        id=uuid.uuid4().hex,
        operator=operator or getpass.getuser(),
        base=int(generation),
        files=loaded.models,
        removed=tuple(name for name in remove.split(",") if name),
    )
    result = submit(store, submission, clock)
    recorded = AuditTrail(store).append(_audit_entry(submission, result, clock.wall()))
    if not recorded:
        print("canvasyoke: the audit trail could not be written", file=sys.stderr)
    return _print_result(result, loaded)


def _audit_entry(submission: Submission, result: SubmitResult, wall: int) -> AuditEntry:
    match result:
        case Accepted(generation):
            outcome, why, after = "accepted", "", generation
        case Rejected(detail):
            outcome, why, after = "refused", detail, submission.base
        case Ambiguous(detail):
            outcome, why, after = "unknown", detail, submission.base
    return AuditEntry(
        wall=wall,
        id=submission.id,
        who=submission.operator,
        action="submission",
        before=submission.base,
        after=after,
        changed=sorted({*submission.files, *submission.removed}),
        outcome=outcome,
        why=why,
    )


def _print_result(result: SubmitResult, loaded: _LoadedFiles) -> int:
    match result:
        case Accepted(generation):
            print(f"accepted: generation {generation}")
            return DONE
        case Rejected():
            print(f"refused: {result.detail}", file=sys.stderr)
            for change in result.changes:
                what = f"generation {change.generation} by {change.operator}"
                print(f"  {what}: {', '.join(change.files)}", file=sys.stderr)
            _print_faults(_locate_faults(result.faults, loaded.documents))
        case Ambiguous(detail):
            print(f"unknown: {detail}; see canvasyoke audit before trying again", file=sys.stderr)
    return REFUSED


@COMMANDS.register("status")
def status(*, entry: str, output: str = "text") -> int:
    """Show the fleet status and detected problems, as seen by one entry.

    --entry IP:PORT     admin address of any entry
    --output text|json  output format
    """
    if output not in _OUTPUTS:
        return _usage_error(f"--output takes text or json, not {output!r}")
    response = _ask_entry(entry, "GET", "/status")
    if isinstance(response, CallFailed):
        print(f"canvasyoke: the entry does not answer: {response.detail}", file=sys.stderr)
        return REFUSED
    print(response.data.decode() if output == "json" else render_status(response.data))
    return DONE


@COMMANDS.register("quarantine")
def quarantine(*, entry: str, release: str = "", output: str = "text") -> int:
    """Show quarantined requests and segments, which are blocked because they crash backends.

    --entry IP:PORT        metrics address of any direct entry
    --release TRAIT        release this request or segment from quarantine at all entries
    --output text|json     output format
    """
    if output not in _OUTPUTS:
        return _usage_error(f"--output takes text or json, not {output!r}")
    path = f"/quarantine/{release}" if release else "/quarantine"
    response = _ask_entry(entry, "DELETE" if release else "GET", path)
    if isinstance(response, CallFailed):
        print(f"canvasyoke: the entry does not answer: {response.detail}", file=sys.stderr)
        return REFUSED
    if response.status != HTTPStatus.OK:
        print(f"canvasyoke: {response.data.decode().strip()}", file=sys.stderr)
        return REFUSED
    print_raw = release or output == "json"
    print(response.data.decode().strip() if print_raw else render_quarantine(response.data))
    return DONE


@COMMANDS.register("audit")
def audit(
    *,
    platform: str,
    since: str = "",
    service: str = "",
    output: str = "text",
    adapter: str = "http-json",
) -> int:
    """Show the audit trail of accepted and refused changes.

    --platform IP:PORT  the platform's object API
    --since TIME        earliest time, such as 2026-01-31 or 2026-01-31T08:00 (UTC)
    --service NAME      only entries about this service, group or file
    --output text|json  output format
    --adapter NAME      platform adapter
    """
    if output not in _OUTPUTS:
        return _usage_error(f"--output takes text or json, not {output!r}")
    try:
        start = _parse_time(since)
    except ValueError:
        return _usage_error(f"--since takes a time like 2026-01-31T08:00, not {since!r}")
    entries = _read_audit_entries(PLATFORMS.get(adapter)(platform), start, service)
    if isinstance(entries, Unavailable):
        print(f"canvasyoke: the platform does not answer: {entries.detail}", file=sys.stderr)
        return REFUSED
    print(msgspec.json.encode(entries).decode() if output == "json" else render_audit(entries))
    return DONE


def _read_audit_entries(
    platform: Platform, since: int, subject: str
) -> list[AuditEntry] | Unavailable:
    """Return the audit entries, completed by changes that only the root's history has."""
    entries = AuditTrail(platform).read(since, subject)
    root = read_root(platform)
    if isinstance(entries, Unavailable) or isinstance(root, Unavailable):
        return (
            entries
            if isinstance(entries, Unavailable)
            else Unavailable("cannot read the root object")
        )
    if not isinstance(root, Root):
        return entries
    known = {entry.id for entry in entries}
    for change in root.history:
        if change.submission in known or change.wall < since or subject not in ("", *change.files):
            continue
        entries.append(
            AuditEntry(
                wall=change.wall,
                id=change.submission,
                who=change.operator,
                action="submission",
                before=change.generation - 1,
                after=change.generation,
                changed=change.files,
                outcome="accepted",
                why="from the root's history",
            )
        )
    return sorted(entries, key=lambda entry: entry.wall)


def _parse_time(text: str) -> int:
    if not text:
        return 0
    timestamp = datetime.datetime.fromisoformat(text)
    if timestamp.tzinfo is None:
        timestamp = timestamp.replace(tzinfo=datetime.UTC)
    return round(timestamp.timestamp() * 1_000)


def _usage_error(text: str) -> int:
    print(f"canvasyoke: {text}", file=sys.stderr)
    return USAGE


@COMMANDS.register("version")
def version() -> int:
    """Print the program version and the protocol version."""
    print(f"canvasyoke {VERSION}, protocol {PROTOCOL_VERSION}")
    return DONE


def _ask_entry(entry: str, method: str, path: str) -> ApiAnswer | CallFailed:
    """Send a request to the administrative address of an entry."""
    client = ApiClient(entry, 1, _MAX_ANSWER_BYTES)
    return client.call(method, path, connect_timeout=_STATUS_TIMEOUT, read_timeout=_STATUS_TIMEOUT)
