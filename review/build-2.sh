#!/bin/bash
# Checks that all that the scripts of review/6 to review/10 start can be loaded.
# It runs after the build line of the deploy file; nothing has to be compiled.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH=review/standins-2:target/deps:. PYTHONDONTWRITEBYTECODE=1
python3 -c "import kit; from egretthread.scheduling import linkchoice"
python3 -c "import egretthread.platform.entryprogram, egretthread.platform.agentprogram"
