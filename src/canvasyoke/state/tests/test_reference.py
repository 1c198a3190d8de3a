from pathlib import Path

import pytest

from canvasyoke.state.reference import configuration_page, settings_page

DOCS = Path(__file__).resolve().parents[4] / "docs"


@pytest.mark.parametrize(
    ("name", "page"),
    [("CONFIGURATION.md", configuration_page()), ("SETTINGS.md", settings_page())],
)
def test_committed_pages_match_the_models(name: str, page: str) -> None:
    assert (DOCS / name).read_text() == page, "run make docs"


def test_every_field_has_a_description() -> None:
    rows = [line for line in configuration_page().splitlines() if line.startswith("| `")]
    assert len(rows) > 30
    assert all(row.split("|")[-2].strip() for row in rows)
