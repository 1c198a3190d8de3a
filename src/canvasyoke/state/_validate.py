"""Validation of plain values against msgspec models that reports all faults at once.

msgspec stops at the first error. This module walks the fields of a model and converts each leaf
with msgspec separately.
"""

from __future__ import annotations

from typing import Annotated, Any, TypeVar, get_args, get_origin

import msgspec

from canvasyoke.state._document import Document, Fault, Path, parse_document
from canvasyoke.state._models import FileModel

ModelT = TypeVar("ModelT", bound=msgspec.Struct)


def validate(document: Document, model: type[ModelT]) -> ModelT | list[Fault]:
    """Convert ``document`` to ``model``; return all faults if it is invalid."""
    validator = _Validator(document)
    value = validator.convert(document.value, model, ())
    return validator.faults or value


def check_file(text: str, file: str) -> FileModel | list[Fault]:
    """Parse and validate a configuration file; return all faults if it is invalid."""
    document = parse_document(text, file)
    if isinstance(document, list):
        return document
    return validate(document, FileModel)


class _Validator:
    def __init__(self, document: Document) -> None:
        self.faults: list[Fault] = []
        self._document = document

    def convert(self, value: Any, kind: Any, path: Path) -> Any:
        """Convert ``value`` to ``kind``; on failure record a fault and return ``None``."""
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            return self._convert_struct(value, kind, path)
        inner = get_args(kind)[0] if get_origin(kind) is Annotated else kind
        origin, arguments = get_origin(inner), get_args(inner)
        if origin is dict and _is_model(arguments[1]):
            return self._convert_mapping(value, arguments[1], path)
        if origin is list and _is_model(arguments[0]):
            return self._convert_list(value, arguments[0], path)
        return self._convert_leaf(value, kind, path)

    def _add_fault(self, path: Path, expected: str) -> None:
        self.faults.append(self._document.fault(path, expected))

    def _convert_struct(self, value: Any, kind: type[msgspec.Struct], path: Path) -> Any:
        if not isinstance(value, dict):
            self._add_fault(path, f"expected a mapping, got {_describe(value)}")
            return None
        fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
        for name in value:
            if name not in fields:
                known = ", ".join(sorted(fields))
                self._add_fault((*path, name), f"unknown field; expected one of: {known}")
        before = len(self.faults)
        converted = {}
        for name, field in fields.items():
            if name in value:
                converted[field.name] = self.convert(value[name], field.type, (*path, name))
            elif field.required:
                self._add_fault((*path, name), "is required and missing")
        if len(self.faults) > before:
            return None
        return self._construct(kind, converted, path)

    def _construct(self, kind: type[msgspec.Struct], values: dict[str, Any], path: Path) -> Any:
        try:
            return kind(**values)
        except ValueError as exc:
            self._add_fault(path, str(exc))
            return None

    def _convert_mapping(self, value: Any, kind: Any, path: Path) -> Any:
        if not isinstance(value, dict):
            self._add_fault(path, f"expected a mapping of names, got {_describe(value)}")
            return None
        return {name: self.convert(item, kind, (*path, name)) for name, item in value.items()}

    def _convert_list(self, value: Any, kind: Any, path: Path) -> Any:
        if not isinstance(value, list):
            self._add_fault(path, f"expected a list, got {_describe(value)}")
            return None
        return [self.convert(item, kind, (*path, index)) for index, item in enumerate(value)]

    def _convert_leaf(self, value: Any, kind: Any, path: Path) -> Any:
        try:
            return msgspec.convert(value, kind)
        except msgspec.ValidationError as exc:
            self._add_fault(path, f"{str(exc).split(' - at')[0]} (got {_describe(value)})")
            return None


def _is_model(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _describe(value: Any) -> str:
    if isinstance(value, dict | list):
        return "a mapping" if isinstance(value, dict) else "a list"
    text = repr(value)
    return text if len(text) <= 40 else text[:37] + "..."
