#!/usr/bin/env bash
# Prepares the stand-ins of the cases 4 to 8. They are Python (standard library
# only), so this checks that they compile; the daemon comes from the build line
# of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - platform_2.py ./[4-8]/case.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print("checked", path)
CHECK
