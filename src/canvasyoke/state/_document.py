"""YAML parsing that records the line number of each value."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeAlias

import yaml

#: Keys and indices from the root of a document to a value.
Path: TypeAlias = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Fault:
    """An error at a position in a file."""

    #: File path as given by the operator.
    file: str
    #: Line number of the value, starting at 1.
    line: int
    #: Path in the document, such as ``services.inkmodel.kind``.
    path: str
    #: Description of the expected and the actual value.
    expected: str

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}"
        return (
            f"{where}: {self.path}: {self.expected}" if self.path else f"{where}: {self.expected}"
        )


@dataclass(frozen=True, slots=True)
class Document:
    """Parsed values of one file with their line numbers."""

    file: str
    value: Any
    lines: dict[Path, int]

    def fault(self, path: Path, expected: str) -> Fault:
        """Return a fault at ``path``, with the line of its nearest existing ancestor."""
        nearest = path
        while nearest and nearest not in self.lines:
            nearest = nearest[:-1]
        return Fault(self.file, self.lines.get(nearest, 1), format_path(path), expected)


def format_path(path: Path) -> str:
    """Return ``path`` in dotted notation, such as ``engines.ink-1.slots`` or ``routes[0]``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else part
    return text


def parse_document(text: str, file: str) -> Document | list[Fault]:
    """Parse ``text`` as YAML; return all syntax errors and duplicate keys if there are any."""
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as exc:
        line = exc.problem_mark.line + 1 if exc.problem_mark else 1
        return [Fault(file, line, "", f"invalid YAML: {exc.problem}")]
    except yaml.YAMLError as exc:
        return [Fault(file, 1, "", f"invalid YAML: {exc}")]
    builder = _DocumentBuilder(file)
    value = {} if node is None else builder.build(node, ())
    return builder.faults or Document(file, value, builder.lines)


class _DocumentBuilder:
    """Builds plain values from YAML nodes; records line numbers and duplicate keys."""

    def __init__(self, file: str) -> None:
        self.lines: dict[Path, int] = {}
        self.faults: list[Fault] = []
        self._file = file
        self._scalar_loader = yaml.SafeLoader("")

    def build(self, node: yaml.Node, path: Path) -> Any:
        """Return the plain value of ``node``."""
        self.lines.setdefault(path, node.start_mark.line + 1)
        if isinstance(node, yaml.MappingNode):
            return self._build_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [self.build(item, (*path, index)) for index, item in enumerate(node.value)]
        return self._scalar_loader.construct_object(node)

    def _build_mapping(self, node: yaml.MappingNode, path: Path) -> dict[str, Any]:
        values: dict[str, Any] = {}
        for key_node, value_node in node.value:
            line = key_node.start_mark.line + 1
            key = str(key_node.value)
            if key in values:
                self.faults.append(
                    Fault(self._file, line, format_path((*path, key)), "duplicate key")
                )
                continue
            self.lines[(*path, key)] = line
            values[key] = self.build(value_node, (*path, key))
        return values
