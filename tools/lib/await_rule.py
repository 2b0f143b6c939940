"""Finds braced and conditional temporaries in expressions with co_await.

g++ 12 copies such a temporary bitwise into the coroutine's frame and destroys
both copies, so that a string in it is freed twice: the process aborts, or
continues with a corrupted heap. A named local variable is safe.
"""

import re
import subprocess
import sys

TRIVIAL = {"CallTimeouts", "Millis", "Position", "TimePoint", "Fingerprint"}


def main():
    listed = subprocess.run(["git", "ls-files", "*.cpp", "*.h"],
                            capture_output=True, text=True, check=True)
    found = []
    for path in listed.stdout.split():
        if path.startswith("src/gen/"):
            continue
        with open(path, encoding="utf-8") as file:
            text = file.read()
        for match in re.finditer(r"co_await[^;]*?;", text, flags=re.S):
            # A conditional expression that yields a string is affected too.
            if re.search(r'\?[^;]*"[^;]*:', match.group(0)):
                line = text[:match.start()].count("\n") + 1
                found.append(f"{path}:{line}: a string selected by ?:")
            for name in re.findall(r"\b([A-Z]\w*)\{", match.group(0)):
                if name not in TRIVIAL:
                    line = text[:match.start()].count("\n") + 1
                    found.append(f"{path}:{line}: {name}{{...}}")
    if found:
        sys.exit("braced temporaries beside co_await: " + "; ".join(found))


if __name__ == "__main__":
    main()
