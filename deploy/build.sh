#!/bin/sh
# Installs the package and its pinned libraries into target/deps.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/deps/canvasyoke
python3 -m pip install --quiet --disable-pip-version-check --require-hashes --upgrade \
    --target target/deps --requirement deploy/requirements.lock
cp -r src/canvasyoke target/deps/canvasyoke
find target/deps/canvasyoke -name tests -type d -prune -exec rm -rf {} +
python3 -m compileall -q target/deps
touch target/deps/canvasyoke/.built
