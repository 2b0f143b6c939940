"""Checks that the tests named in docs/PROMISES.md exist in the test sources.

The page names a test in backquotes as `kind: name`.
"""

import glob
import os
import re
import sys

KINDS = "correctness|failure|fuzz|golden|error|performance|clients"


def main():
    page = "docs/PROMISES.md"
    if not os.path.exists(page):
        return
    existing = set()
    for path in glob.glob("test/*/*.cpp"):
        with open(path, encoding="utf-8") as file:
            for name in re.findall(r'TEST_CASE\("([^"]+)"', file.read()):
                existing.add(f"{path.split('/')[1]}: {name}")
    with open(page, encoding="utf-8") as file:
        named = set(re.findall(rf"`((?:{KINDS}): [^`]+)`", file.read()))
    missing = sorted(named - existing)
    if missing:
        sys.exit(f"{page} names tests that do not exist: {missing}")


if __name__ == "__main__":
    main()
