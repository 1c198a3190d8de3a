"""KNOWN-RED.txt lists existing tests, each with a cause and an issue."""

import ast
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]


def test_each_line_names_a_test_a_cause_and_an_issue() -> None:
    path = ROOT / "KNOWN-RED.txt"
    for line in path.read_text().splitlines() if path.exists() else []:
        test, cause, issue = (part.strip() for part in line.split("|"))
        file, _, case = test.partition("::")
        name = case.partition("[")[0]
        functions = ast.walk(ast.parse((ROOT / file).read_text()))
        assert name in {each.name for each in functions if isinstance(each, ast.FunctionDef)}
        assert cause
        assert issue.isdigit()
