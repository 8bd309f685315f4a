#!/bin/bash
# Builds the stand-ins of the cases. They are Python programs that use the standard library alone, so
# that there is nothing to compile: this checks that the interpreter is new enough and reads them.
set -eu
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - lib/*.py [0-9]/case.py <<'PY'
import sys
import tomllib

for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
print(f"{len(sys.argv) - 1} files of stand-ins and cases can be run")
PY
