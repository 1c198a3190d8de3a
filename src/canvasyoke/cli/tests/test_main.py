from pathlib import Path

import pytest

from canvasyoke.cli import main

DEMO = Path(__file__).resolve().parents[4] / "demo"


@pytest.mark.parametrize(
    ("argv", "code", "expected_output"),
    [
        ([], 2, "Commands:"),
        (["--help"], 0, "Exit codes"),
        (["apply", "--help"], 0, "--generation N"),
        (["version"], 0, "canvasyoke"),
        (["version", "1"], 2, "unexpected argument"),
        (["version", "--long"], 2, "unknown option"),
        (["check"], 2, "at least one FILE"),
        (["check", "x", "-v"], 2, "unknown option"),
        (["status", "--entry"], 2, "needs a value"),
        (["status", "--entry", "a", "--entry", "b"], 2, "--entry is given more than once"),
        (["apply", "f", "--platform", "p"], 2, "--generation is required"),
        (["apply", "f", "--platform", "p", "--generation", "x"], 2, "takes a number"),
        (["nonsense"], 2, "unknown command"),
        (["entry", "--settings", "/nonexistent"], 1, "cannot be read"),
    ],
)
def test_output_and_exit_code(
    capsys: pytest.CaptureFixture[str], argv: list[str], code: int, expected_output: str
) -> None:
    assert main(argv) == code
    output = capsys.readouterr()
    assert expected_output in output.out + output.err


@pytest.mark.parametrize("fleet", ["panelmtaa", "volta"])
def test_demo_configurations_are_valid(capsys: pytest.CaptureFixture[str], fleet: str) -> None:
    files = [str(DEMO / f"{fleet}.yaml"), str(DEMO / f"{fleet}-organisations.yaml")]
    assert main(["check", *files]) == 0
    assert main(["check", files[0], files[0]]) == 1
    assert "given twice" in capsys.readouterr().err


def test_numeric_arguments_stay_strings(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Fire would convert the file name ``1`` to an integer."""
    path = tmp_path / "1"
    path.write_text("services: {}")
    assert main(["check", str(path)]) == 0
