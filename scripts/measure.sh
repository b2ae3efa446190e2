#!/usr/bin/env bash
# Runs measurement scenarios; see measure.py for the flags.
set -euo pipefail
exec python3 "$(dirname "$0")/measure.py" "$@"
