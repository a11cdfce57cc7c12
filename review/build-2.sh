#!/bin/sh
# Builds the stand-ins that the scripts of this review start (review/4, 5).
# They are Python programs without dependencies: there is nothing to compile.
# Checks that Python can read them.
cd "$(dirname "$0")" || exit 1
for file in standins-2/standins2.py 4/run.py 5/run.py; do
  python3 -c 'import ast, sys, tomllib; ast.parse(open(sys.argv[1]).read())' \
    "$file" || exit 1
done
