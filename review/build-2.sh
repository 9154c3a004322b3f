#!/bin/sh
# Builds the stand-ins of review/6, review/8, review/9 and review/10. They are Python of the standard
# library, the store and the advice service of test/standin among them, so that
# there is nothing to compile: this checks that they can be read.
set -eu
cd "$(dirname "$0")/.."
for File in review/rig_2.py test/standin/platform_world.py; do
  python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$File"
done
