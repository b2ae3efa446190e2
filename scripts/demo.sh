#!/usr/bin/env bash
# Installs packages, builds, and shows the system at work.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
scripts/build.sh
exec python3 scripts/demo.py
