"""Parallel test processes get different ports."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from fakes.launcher import ROOT
from fakes.ports import PortClaims

#: Claims a port, prints the result, and holds the port until stdin closes.
_HOLDER = """
import sys
from pathlib import Path
from fakes.ports import PortClaims
claims = PortClaims(Path(sys.argv[1]))
print(claims.claim(12_345), flush=True)
sys.stdin.read()
"""


def test_a_port_belongs_to_one_process_until_it_ends(tmp_path: Path) -> None:
    path = tmp_path / "ports"
    command = [sys.executable, "-c", _HOLDER, str(path)]
    holder = subprocess.Popen(
        command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    assert holder.stdout is not None
    assert holder.stdout.readline().strip() == "True"
    claims = PortClaims(path)
    assert not claims.claim(12_345)
    assert claims.claim(12_346)
    holder.communicate()
    assert claims.claim(12_345)
