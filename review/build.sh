#!/bin/sh
# Checks that the stand-ins of all cases can be read. They are Python programs on its standard library, so that
# nothing has to be compiled.
set -eu
cd "$(dirname "$0")"
for file in lib/rig.py [0-9]*/case.py; do
  python3 -B -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read())" "$file"
done
echo "the stand-ins are ready"
