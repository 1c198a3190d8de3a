#!/bin/sh
# Checks that the stand-ins can be imported with the libraries of the deploy file.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 -c '
import fakes.object_store, fakes.platform_engine, fakes.ports
import review.engines, review.harness, review.launch, review.stream_engine
'
