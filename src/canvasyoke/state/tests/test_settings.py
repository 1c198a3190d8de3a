from pathlib import Path

import pytest

from canvasyoke.state import (
    DirectSettings,
    EntrySettings,
    Fault,
    TargetSettings,
    WatchedFile,
    load_settings,
)

VALID_SETTINGS = """
instance: e-1
domain: nbo-a
http: 127.0.0.1:8080
admin: 127.0.0.1:8081
link_key: "{key}"
platform: {{address: 127.0.0.1:9000}}
""".format(key="0f" * 32)


def load(tmp_path: Path, text: str) -> EntrySettings | list[Fault]:
    path = tmp_path / "e.yaml"
    path.write_text(text)
    return load_settings(str(path), EntrySettings)


def test_optional_settings_have_defaults(tmp_path: Path) -> None:
    settings = load(tmp_path, VALID_SETTINGS)
    assert isinstance(settings, EntrySettings)
    assert (settings.log.level, settings.platform.adapter) == ("info", "http-json")


def test_all_faults_are_reported_together(tmp_path: Path) -> None:
    text = VALID_SETTINGS.replace("127.0.0.1:8080", "localhost:80").replace("0f" * 32, "short")
    faults = load(tmp_path, text + "log: {level: loud}\ncolour: blue\n")
    assert isinstance(faults, list)
    assert [(f.line, f.path) for f in faults] == [
        (9, "colour"),
        (4, "http"),
        (6, "link_key"),
        (8, "log.level"),
    ]


@pytest.mark.parametrize("text", ["", "a: [", "- 1"])
def test_invalid_files_return_faults(tmp_path: Path, text: str) -> None:
    assert isinstance(load(tmp_path, text), list)


def test_missing_file_returns_a_fault() -> None:
    faults = load_settings("/nonexistent/t.yaml", TargetSettings)
    assert isinstance(faults, list)
    assert "cannot be read" in str(faults[0])


def test_each_file_change_is_reported_once(tmp_path: Path) -> None:
    path = tmp_path / "settings.yaml"
    watched = WatchedFile(str(path))
    assert not watched.has_changed()
    path.write_text("instance: a")
    assert watched.has_changed()
    assert not watched.has_changed()
    path.write_text("instance: longer")
    assert watched.has_changed()
    path.unlink()
    assert not watched.has_changed()


DIRECT_SETTINGS = """
instance: front-1
domain: nbo-a
http: 10.1.0.40:8227
ready: 10.1.0.40:8220
peer: 10.1.0.40:7340
metrics: 10.1.0.40:7341
store: 10.200.1.7:8223
adapter: objects
"""

#: Retry settings as integers and as fractions, with the expected values.
RETRY_SETTINGS = [
    ("retry_ratio", "0.2", 0.2),
    ("retry_ratio", "1", 1.0),
    ("retry_window_s", "10", 10.0),
    ("retry_window_s", "7.5", 7.5),
    ("retry_slack", "448", 448.0),
    ("retry_slack", "448.0", 448.0),
    ("retry_slack", "37.33", 37.33),
    ("retry_slack", "0", 0.0),
]


@pytest.mark.parametrize(("name", "text", "value"), RETRY_SETTINGS)
def test_retry_settings_accept_integers_and_fractions(
    tmp_path: Path, name: str, text: str, value: float
) -> None:
    path = tmp_path / "e.yaml"
    path.write_text(f"{DIRECT_SETTINGS}{name}: {text}\n")
    settings = load_settings(str(path), DirectSettings)
    assert isinstance(settings, DirectSettings)
    assert getattr(settings, name) == value


@pytest.mark.parametrize("name", ["retry_ratio", "retry_window_s", "retry_slack"])
@pytest.mark.parametrize("text", ["many", "-1", "true", "[1]"])
def test_invalid_retry_setting_is_one_fault(tmp_path: Path, name: str, text: str) -> None:
    path = tmp_path / "e.yaml"
    path.write_text(f"{DIRECT_SETTINGS}{name}: {text}\n")
    faults = load_settings(str(path), DirectSettings)
    assert isinstance(faults, list)
    assert [fault.path for fault in faults] == [name]
