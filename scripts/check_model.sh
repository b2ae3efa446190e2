#!/usr/bin/env bash
# Checks the models under spec/ with spin: every property holds, and every
# mutation (a rule taken out) is caught.
# Usage: check_model.sh [MODEL ...]
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
models=("$@")
if [ ${#models[@]} -eq 0 ]; then
  models=(sessions config orders stream handover move)
fi
failures=0
passed=0

# Verifies one model with the given definitions; prints the verifier's report.
verify() {
  local model=$1
  shift
  (cd "$folder" && rm -f pan* ./*.trail &&
    spin -a "$@" "$root/spec/$model.pml" >/dev/null &&
    gcc -O2 -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -o pan pan.c 2>/dev/null &&
    ./pan -m200000 -w22 2>&1)
}

for model in "${models[@]}"; do
  report=$(verify "$model")
  states=$(grep -oE '[0-9.e+]+ states, stored' <<<"$report" | head -n 1)
  depth=$(grep -oE 'depth reached [0-9]+' <<<"$report" | head -n 1)
  if grep -q 'errors: 0' <<<"$report" &&
     ! grep -q 'max search depth too small' <<<"$report"; then
    echo "$model: holds, $states, $depth"
    passed=$((passed + 1))
  else
    echo "$model: VIOLATED"
    grep -E 'pan:|errors' <<<"$report" || true
    failures=$((failures + 1))
  fi
  mutations=$(sed -n '/Mutations:/,/\*\//p' "spec/$model.pml" |
    grep -oE '[A-Z]+(_[A-Z]+)+')
  for mutation in $mutations; do
    report=$(verify "$model" "-D$mutation")
    if grep -qE 'assertion violated' <<<"$report"; then
      echo "$model without its rule ($mutation): caught"
      passed=$((passed + 1))
    else
      echo "$model without its rule ($mutation): NOT CAUGHT"
      failures=$((failures + 1))
    fi
  done
done
echo "$passed passed, $failures failed"
[ "$failures" -eq 0 ]
