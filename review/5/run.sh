#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || exit 2
export PYTHONPATH=target/deps
python3 -c 'import review.rig.deployment, standins.platform' || exit 2
timeout --kill-after=5 110 python3 -m review.5.play
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
