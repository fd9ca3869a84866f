#!/usr/bin/env bash
# The stand-ins are plain Python of the standard library; this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
from pathlib import Path

for path in sorted(Path(".").glob("**/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("ok", path)
CHECK
