#!/bin/sh
# Checks that the stand-ins can be imported with the libraries of the deploy file.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -c 'import review.engines, review.harness, fakes.object_store'
