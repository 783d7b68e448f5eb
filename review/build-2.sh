#!/bin/sh
# Checks the stand-ins and scripts of the cases 4 to 8.  They are plain Python
# with its standard library alone, so there is nothing else to build.
cd "$(dirname "$0")/.." || exit 1
for source in review/standins-2/*.py review/[4-8]/*.py; do
    [ -e "$source" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
        "$source" || exit 1
done
