"""Finds tests that listen on the same ports.

If two such tests run at the same time, one of them fails.
"""

import re
import subprocess
import sys

PORTS = 10  # number of ports that a test harness uses, from its first port


def main():
    listed = subprocess.run(["git", "ls-files", "-co", "--exclude-standard",
                             "test/*.cpp"],
                            capture_output=True, text=True, check=True)
    harnesses = []
    for path in listed.stdout.split():
        with open(path, encoding="utf-8") as file:
            for number, line in enumerate(file, 1):
                match = re.search(r"PlatformHarness \w+\((\d+)\)", line)
                if match:
                    harnesses.append((int(match.group(1)), f"{path}:{number}"))
    harnesses.sort()
    found = [f"{where}: port {port}, and {other} from {next_port}"
             for (port, where), (next_port, other) in zip(harnesses, harnesses[1:])
             if next_port < port + PORTS]
    if found:
        sys.exit("\n".join(found))


if __name__ == "__main__":
    main()
