#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: those of review/rig and the project's own store.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ]
PYTHONPATH=target/deps python3 -m compileall -q review standins
PYTHONPATH=target/deps python3 -c "import review.rig.server, standins.platform"
