#!/usr/bin/env bash
# Checks that the stand-ins of the third review can be started after the build
# of the deploy file: Python's own library and target/deps are all they need.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.:review/standins-3 PYTHONDONTWRITEBYTECODE=1
python3 - <<'PY'
import sys

import egretthread.scheduling.linkchoice
import egretthread_standins.platformsite.backendserver
import egretthread_standins.platformsite.site
import egretthread_standins.platformsite.store
import egretthread_standins.platformsite.web
import joins3
import kit3

print("stand-ins ready on Python", sys.version.split()[0])
PY
