#!/usr/bin/env bash
# The stand-ins are Python (standard library only): nothing to build but a check
# that they can be read. The daemon is built by the deploy file's `build` line.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
