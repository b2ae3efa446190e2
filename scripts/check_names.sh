#!/usr/bin/env bash
# Checks that names of the platform's wire stand in platform/ only.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Peridotreach-|PERIDOTREACH_|kv-(txn|watch|range|keep|lease|move|handle)|Kv-From|X-Api-Key|op/config|slo_ms'
if git grep -nE "$names" -- src standins proto; then
  echo "platform names stand outside platform/; decode them there"
  exit 1
fi
echo "platform names: only in platform/"
