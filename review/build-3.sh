#!/usr/bin/env bash
# Checks that every stand-in which the scripts of the third review start can be
# loaded. All of them are Python of the standard library, the project's own too.
set -euo pipefail
cd "$(dirname "$0")"
python3 - cell3.py ../test/standin/platform_world.py 1[1-5]/*.py <<'PY'
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for name in sys.argv[1:]:
    with open(name) as source:
        compile(source.read(), name, "exec")
    print("loads:", name)
PY
