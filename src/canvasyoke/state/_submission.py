"""Atomic submission of configuration files.

Files are immutable objects named by their hash, and a root object lists the active files. A
submission first writes its files and then replaces the root with a single conditional write. The
root includes the ids of recent submissions, so that a write whose response was lost can be
distinguished from one that failed.
"""

from __future__ import annotations

import hashlib
import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final, TypeAlias

import msgspec

from canvasyoke._clock import SECOND, Clock
from canvasyoke.state._config import ReferenceFault, build_config
from canvasyoke.state._keeper import Snapshot
from canvasyoke.state._models import FileModel
from canvasyoke.state._platform import (
    CREATE,
    Absent,
    Conflict,
    Found,
    Platform,
    Unavailable,
    Written,
)
from canvasyoke.state._root import Change, Root

#: Key of the root object.
ROOT_KEY: Final = "config/root"
_CONTENT_PREFIX: Final = "config/content/"
_MAX_HISTORY: Final = 64
_INITIAL_BACKOFF: Final = 50
_MAX_BACKOFF: Final = 1 * SECOND


@dataclass(frozen=True, slots=True)
class Submission:
    """Configuration files that an operator wants to activate or remove."""

    #: Unique id, also used for its entry in the audit trail.
    id: str
    operator: str
    #: Generation on which the files are based.
    base: int
    files: Mapping[str, FileModel]
    #: Names of files to remove.
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Accepted:
    """The submission is active as this generation."""

    generation: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The submission was rejected and has no effect."""

    detail: str
    #: Active generation.
    generation: int = 0
    #: Changes since the submission's base.
    changes: tuple[Change, ...] = ()
    faults: tuple[ReferenceFault, ...] = field(default_factory=tuple)


@dataclass(frozen=True, slots=True)
class Ambiguous:
    """The result is unknown after a timeout; submitting again with the same id is safe."""

    detail: str


SubmitResult: TypeAlias = Accepted | Rejected | Ambiguous


def read_root(platform: Platform) -> Root | Absent | Unavailable:
    """Read the root object from the platform."""
    found = platform.read(ROOT_KEY)
    return _decode_root(found.value) if isinstance(found, Found) else found


def load_snapshot(
    platform: Platform, root: bytes, known: Mapping[str, bytes]
) -> Snapshot | Unavailable:
    """Load the snapshot of ``root``, reading only contents that are not in ``known``."""
    contents = {}
    for digest in msgspec.json.decode(root, type=Root).files.values():
        if digest in known:
            contents[digest] = known[digest]
            continue
        found = platform.read(_CONTENT_PREFIX + digest)
        if not isinstance(found, Found):
            return Unavailable(f"content {digest[:12]} cannot be read")
        contents[digest] = found.value
    return Snapshot(root, contents)


def submit(
    platform: Platform,
    submission: Submission,
    clock: Clock,
    timeout: int = 20 * SECOND,
    sleep: Callable[[float], None] = time.sleep,
    rng: random.Random | None = None,
) -> SubmitResult:
    """Activate ``submission``; retry until it is accepted, rejected or timed out."""
    return _SubmitOperation(
        platform, submission, clock, timeout, sleep, rng or random.Random()
    ).run()


class _SubmitOperation:
    """State of one :func:`submit` call."""

    def __init__(
        self,
        platform: Platform,
        submission: Submission,
        clock: Clock,
        timeout: int,
        sleep: Callable[[float], None],
        rng: random.Random,
    ) -> None:
        self._platform = platform
        self._submission = submission
        self._clock = clock
        self._deadline = clock.now() + timeout
        self._sleep = sleep
        self._rng = rng
        self._backoff = _INITIAL_BACKOFF
        self._last_error = ""

    def run(self) -> SubmitResult:
        while self._clock.now() < self._deadline:
            result = self._try_once()
            if isinstance(result, Unavailable):
                self._last_error = result.detail
                self._back_off()
                continue
            return result
        return Ambiguous(f"the platform gave no answer in time: {self._last_error}")

    def _back_off(self) -> None:
        self._sleep(self._backoff * self._rng.uniform(0.5, 1.5) / SECOND)
        self._backoff = min(self._backoff * 2, _MAX_BACKOFF)

    def _try_once(self) -> SubmitResult | Unavailable:
        """Read the root, then write; a retry detects a write whose response was lost."""
        found = self._platform.read(ROOT_KEY)
        if isinstance(found, Unavailable):
            return found
        version = found.version if isinstance(found, Found) else CREATE
        root = _decode_root(found.value) if isinstance(found, Found) else _EMPTY_ROOT
        applied = root.find(self._submission.id)
        if applied is not None:
            return Accepted(applied.generation)
        if root.generation != self._submission.base:
            return self._reject_conflict(root)
        merged = self._merge(root)
        if not isinstance(merged, _MergedConfig):
            return merged
        unavailable = self._write_contents(merged.contents)
        if unavailable is not None:
            return unavailable
        return self._write_root(merged.root, version)

    def _reject_conflict(self, root: Root) -> Rejected:
        base = self._submission.base
        detail = f"written against generation {base}, but {root.generation} is in force"
        return Rejected(detail, root.generation, tuple(root.since(base)))

    def _merge(self, root: Root) -> _MergedConfig | Rejected | Unavailable:
        """Merge the submission into the active files and validate the result."""
        models: dict[str, FileModel] = {}
        for name, digest in root.files.items():
            if name in self._submission.files or name in self._submission.removed:
                continue
            found = self._platform.read(_CONTENT_PREFIX + digest)
            if not isinstance(found, Found):
                return Unavailable(f"content of {name} cannot be read")
            models[name] = msgspec.json.decode(found.value, type=FileModel)
        absent = [n for n in self._submission.removed if n not in root.files]
        if absent:
            return Rejected(f"not in force, so cannot be removed: {', '.join(absent)}")
        models.update(self._submission.files)
        built = build_config(root.generation + 1, models)
        if isinstance(built, list):
            detail = "does not fit together with the files in force"
            return Rejected(detail, root.generation, faults=tuple(built))
        return self._encode(root, models)

    def _encode(self, root: Root, models: Mapping[str, FileModel]) -> _MergedConfig:
        encoded = {name: encode_file(model) for name, model in models.items()}
        files = {name: content_digest(data) for name, data in sorted(encoded.items())}
        changed = sorted({*self._submission.files, *self._submission.removed})
        change = Change(
            generation=root.generation + 1,
            submission=self._submission.id,
            operator=self._submission.operator,
            wall=self._clock.wall(),
            files=changed,
        )
        history = [*root.history, change][-_MAX_HISTORY:]
        new_root = Root(generation=change.generation, files=files, history=history)
        contents = {files[n]: encoded[n] for n in self._submission.files}
        return _MergedConfig(new_root, contents)

    def _write_contents(self, contents: Mapping[str, bytes]) -> Unavailable | None:
        for digest, data in contents.items():
            result = self._platform.write(_CONTENT_PREFIX + digest, data, CREATE)
            if isinstance(result, Unavailable):
                return result
        return None

    def _write_root(self, root: Root, version: int) -> SubmitResult | Unavailable:
        result = self._platform.write(ROOT_KEY, msgspec.json.encode(root), version)
        if isinstance(result, Written):
            return Accepted(root.generation)
        if isinstance(result, Conflict):
            return Unavailable("another write came first")
        return result


@dataclass(frozen=True, slots=True)
class _MergedConfig:
    root: Root
    contents: dict[str, bytes]


_EMPTY_ROOT: Final = Root(generation=0, files={})


def _decode_root(data: bytes) -> Root:
    return msgspec.json.decode(data, type=Root)


def encode_file(model: FileModel) -> bytes:
    """Serialize a file as JSON with sorted keys, so that equal files have equal hashes."""
    return msgspec.json.encode(model, order="deterministic")


def content_digest(data: bytes) -> str:
    """Return the SHA-256 that names a content object."""
    return hashlib.sha256(data).hexdigest()
