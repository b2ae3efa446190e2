#!/usr/bin/env bash
# Checks format and lint of all sources. Needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files 'src/*.cc' 'src/*.h' 'platform/*.cc' \
  'platform/*.h' 'standins/*.cc' 'standins/*.h' 'tests/*.cc' 'tests/*.h')
clang-format --dry-run -Werror "${sources[@]}"
echo "format: ${#sources[@]} files clean"
mapfile -t units < <(git ls-files 'src/*.cc' 'platform/*.cc' 'standins/*.cc')
printf '%s\n' "${units[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet --extra-arg=-Wno-unknown-warning-option 2>/dev/null
echo "lint: ${#units[@]} files clean"
