#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs that use
# the standard library only, so it is enough that they compile.
set -e
cd "$(dirname "$0")"
for file in standins_2.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
