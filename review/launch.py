"""Runs a case with a temporary folder of its own, and maps all unforeseen errors to exit code 2.

python3 -m review.launch N
"""

from __future__ import annotations

import os
import runpy
import signal
import sys
import tempfile
import traceback
from pathlib import Path

#: Exit code of a case that could not run; Python itself would exit with 1.
_NOT_RUN = 2


def main() -> int:
    """Run the case in the folder named by the argument and return its exit code."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(_NOT_RUN))
    case = Path(__file__).resolve().parent / sys.argv[1] / "case.py"
    with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
        # The stand-ins keep their list of ports in the folder for temporary files.
        os.environ["TMPDIR"] = tempfile.tempdir = folder
        try:
            return int(runpy.run_path(str(case))["main"]())
        except Exception:
            traceback.print_exc()
            return _NOT_RUN


if __name__ == "__main__":
    sys.exit(main())
