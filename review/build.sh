#!/usr/bin/env bash
# Builds what the scripts of review/ start besides the program itself. The
# stand-ins are plain Python without dependencies, so this only checks that they
# compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
