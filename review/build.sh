#!/bin/sh
# The stand-ins need the standard library only: this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - standins/*.py [0-9]*/*.py <<'CHECK'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as source:
        ast.parse(source.read(), path)
CHECK
[ -d ../target/deps ] || echo 'run the build of deploy/system.toml first' >&2
