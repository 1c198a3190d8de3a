#!/bin/sh
# Installs the pinned libraries and the package into target/deps. The libraries are kept
# while their lock is unchanged; the package is copied afresh each time.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
if ! cmp -s deploy/requirements.lock "$deps/.requirements.lock"; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --require-hashes \
        --target "$deps" --requirement deploy/requirements.lock
    python3 -m compileall -q "$deps"
    cp deploy/requirements.lock "$deps/.requirements.lock"
fi
rm -rf "$deps/canvasyoke"
cp -r src/canvasyoke "$deps/canvasyoke"
find "$deps/canvasyoke" \( -name tests -o -name __pycache__ \) -type d -prune -exec rm -rf {} +
python3 -m compileall -q "$deps/canvasyoke"
