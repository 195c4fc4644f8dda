#!/bin/sh
# Builds the stand-ins of the review. They are Python modules that use only the
# packages which the build line of deploy/system.toml installs, so they are
# compiled and imported once.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:.:review" PYTHONDONTWRITEBYTECODE=1 \
  python3 -c "import standins.store, standins.worker, standins.site"
