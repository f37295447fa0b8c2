#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:.
export PYTHONPATH
python3 -c "import importlib; importlib.import_module('review.15.case')" || exit 2
exec python3 -m review.15.case
