#!/bin/sh
# Prepares the stand-ins of review/4 to review/6: they are Python, so it only checks that they and
# the project's own stand-ins import with what deploy/build.sh has installed.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 -c '
import fakes.object_store, fakes.platform_engine
import review.standins.deployment, review.standins.record, review.standins.runner
import review.standins.deadly_server, review.standins.kept_channel, review.standins.slow_client
'
