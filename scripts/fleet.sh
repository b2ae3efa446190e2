#!/usr/bin/env bash
# Starts or stops a fleet on loopback; see fleet.py for the flags.
set -euo pipefail
exec python3 "$(dirname "$0")/fleet.py" "$@"
