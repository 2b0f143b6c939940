"""Finds tests that listen on the same ports: run side by side, one fails."""

import re
import subprocess
import sys

PORTS = 10  # that a world may use from its first one on


def main():
    listed = subprocess.run(["git", "ls-files", "-co", "--exclude-standard",
                             "test/*.cpp"],
                            capture_output=True, text=True, check=True)
    worlds = []
    for path in listed.stdout.split():
        with open(path, encoding="utf-8") as file:
            for number, line in enumerate(file, 1):
                match = re.search(r"PlatformHarness \w+\((\d+)\)", line)
                if match:
                    worlds.append((int(match.group(1)), f"{path}:{number}"))
    worlds.sort()
    found = [f"{where}: port {port}, and {other} from {next_port}"
             for (port, where), (next_port, other) in zip(worlds, worlds[1:])
             if next_port < port + PORTS]
    if found:
        sys.exit("\n".join(found))


if __name__ == "__main__":
    main()
