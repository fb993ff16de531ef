#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start. The stand-ins are Python and
# run in the process of the script, so that nothing is compiled: this checks
# that they can be imported from the build of the deploy file alone.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:.:review" EVENTLET_NO_GREENDNS=yes
export PYTHONDONTWRITEBYTECODE=1
python3 -S -W ignore -c "import harness_2"
