"""Ablation switches match the code, and runs yield the expected table."""

from __future__ import annotations

import re
import sys
from pathlib import Path

import pytest

from bench.ablation import Switch, ablate, load_switches

ROOT = Path(__file__).resolve().parent.parent


@pytest.mark.parametrize("switch", load_switches(), ids=lambda switch: switch.name)
def test_each_switch_matches_the_code_once(switch: Switch) -> None:
    assert (ROOT / switch.file).read_text().count(switch.old) == 1
    assert switch.new != switch.old


def test_a_switch_without_a_match_is_an_error(tmp_path: Path) -> None:
    (tmp_path / "module.py").write_text("LIMIT = 2\n")
    with pytest.raises(ValueError, match=r"expected 1 match in module\.py, found 0$"):
        Switch("limit", "module.py", "LIMIT = 3", "LIMIT = 9").apply(tmp_path)


def test_the_table_shows_the_effect_of_each_mechanism(tmp_path: Path) -> None:
    old = "_SAME_PACE: Final = 1.4"
    file = "src/canvasyoke/direct/_groups.py"
    switch = Switch("pace", file, old, "_SAME_PACE: Final = 1.9")
    script = (
        f"import re; text = open({file!r}).read(); "
        "print('worth', re.search(r'_SAME_PACE: Final = (.*)', text).group(1))"
    )
    figure = re.compile(r"worth (\S+)")
    result = ablate([switch], tmp_path, figure, [sys.executable, "-c", script])
    assert result.tables[0].rows == [["nothing", 1.4, 0.0], ["pace", 1.9, -0.5]]
