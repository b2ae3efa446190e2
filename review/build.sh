#!/usr/bin/env bash
# Builds what the scripts of the review start beside the build of the deploy
# file. Their stand-ins are Python programs of this folder, which need no build;
# they are compiled here only to show that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common besides/*/*.py [1-5]/*.py <<'PY'
import ast
import pathlib
import sys
for name in sys.argv[1:]:
    path = pathlib.Path(name)
    for file in sorted(path.glob("*.py")) if path.is_dir() else [path]:
        ast.parse(file.read_text(encoding="utf-8"), str(file))
PY
