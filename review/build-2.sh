#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the daemon: the project's stand-in of
# the store and the stand-ins in review/rig2.  Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/rig2 review/6 review/7 review/8 review/9 review/10
PYTHONPATH=target/deps python3 -c "import standins.platform, review.rig2.script, review.rig2.proxy"
