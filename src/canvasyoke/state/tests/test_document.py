import pytest

from canvasyoke.state import FileModel, check_file

VALID_FILE = """
services:
  ink:
    kind: model
engines:
  ink-1: {service: ink, slots: 4}
"""


def check_faults(text: str) -> list[str]:
    result = check_file(text, "f.yaml")
    assert isinstance(result, list)
    return [str(fault) for fault in result]


def test_valid_file() -> None:
    model = check_file(VALID_FILE, "f.yaml")
    assert isinstance(model, FileModel)
    assert model.engines["ink-1"].slots == 4


def test_empty_file_is_valid() -> None:
    assert check_file("", "f.yaml") == FileModel()


def test_all_faults_are_reported_together() -> None:
    text = """
services:
  ink:
    kind: modle
    deadline_ms: 0
    colour: blue
engines:
  ink-1: {slots: many, service: ink}
  ink-2: 7
organisations:
  kibanda: {}
"""
    found = check_faults(text)
    assert [f.split(": ")[0] for f in found] == [
        "f.yaml:6",
        "f.yaml:4",
        "f.yaml:5",
        "f.yaml:8",
        "f.yaml:9",
        "f.yaml:11",
    ]
    assert "services.ink.colour: unknown field" in found[0]
    assert "organisations.kibanda.token_sha256: is required" in found[5]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("a: [", "invalid YAML"),
        ("services: {ink: {kind: model}, ink: {kind: plain}}", "duplicate key"),
        ("services: 3", "expected a mapping"),
        ("- 1", "expected a mapping"),
        ("services: {Ink Model: {kind: model}}", "is not a valid name"),
    ],
)
def test_invalid_files(text: str, expected: str) -> None:
    assert any(expected in fault for fault in check_faults(text))
