#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the release build. Their
# stand-ins are Python programs: they are only checked here.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
  { echo "the cases need Python 3.11 or newer" >&2; exit 1; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for file in review/common-2/*.py review/{6,7,8,9,10}/*.py \
  tests/soak/store.py tests/soak/http_wire.py; do
  [ -e "$file" ] || continue
  python3 -c 'import py_compile, sys
py_compile.compile(sys.argv[1], cfile=sys.argv[2] + "/checked.pyc", doraise=True)' \
    "$file" "$folder"
done
test -x target/peridot-router || echo "target/peridot-router is missing: run the build of the deploy file"
