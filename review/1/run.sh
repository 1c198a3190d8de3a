#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held and 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
command -v python3 >/dev/null || exit 2
exec python3 -m review.launch 1
