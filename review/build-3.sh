#!/bin/sh
# The stand-ins and scripts of review 3 are Python programs that use the
# standard library only, so it is enough that they can be parsed.
set -e
cd "$(dirname "$0")"
for file in standins_3.py 1[1-5]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
