"""Command-line entry point for ``python -m canvasyoke``."""

import sys

from canvasyoke.cli import main

if __name__ == "__main__":
    sys.exit(main())
