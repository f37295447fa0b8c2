#!/bin/sh
# Builds what the cases 11 to 15 start beside the daemon: the servers of rig3 and the project's
# stand-in of the store. Run it after the build of the deploy file; it needs no network.
cd "$(dirname "$0")/.." || exit 2
set -e
python3 -m compileall -q standins review/rig3 review/11 review/12 review/13 review/14 review/15
PYTHONPATH=target/deps:. python3 -c "import review.rig3.rig, review.rig3.server, standins.platform"
