#!/usr/bin/env bash
# Installs packages, builds, and runs all tests: units, replay, models,
# processes and the stock client.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
scripts/build.sh
(cd tests/clients && npm ci --no-audit --no-fund --loglevel=error)
ctest --test-dir build --output-on-failure --timeout 600
