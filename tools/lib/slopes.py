"""Measures slopes of the coordination components alone and of live clusters."""

import json
import os
import subprocess
import tempfile
import time

from cluster import BUILD, Cluster, model_document, plain_document

SECONDS = 6
TICKS = os.sysconf("SC_CLK_TCK")


def fit(points):
    """Fits y = a + b x by least squares; returns (a, b, standard error of b)."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    start = mean_y - slope * mean_x
    rest = sum((y - start - slope * x) ** 2 for x, y in points)
    error = (rest / max(1, n - 2) / spread) ** 0.5
    return start, slope, error


def measure_parts():
    result = subprocess.run(
        [os.path.join(BUILD, "toucanshed_slopes")],
        capture_output=True, text=True, check=True,
    )
    return [json.loads(line) for line in result.stdout.splitlines()]


def processor_seconds(node):
    with open(f"/proc/{node.process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_megabytes(node):
    with open(f"/proc/{node.process.pid}/status", encoding="utf-8") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


class Sample:
    """Sums over all daemons of a cluster at one moment."""

    def __init__(self, cluster):
        self.at = time.time()
        self.processor = sum(processor_seconds(d) for d in cluster.daemons)
        states = [cluster.status(d) for d in cluster.daemons]
        self.bytes = sum(s["peer_bytes_sent"] for s in states)
        self.messages = sum(s["peer_messages_sent"] for s in states)


def run_cluster(daemons, engines, rate):
    """Runs a live cluster; returns the average figures per daemon."""
    cluster = Cluster(tempfile.mkdtemp(prefix="toucanshed-slopes-"),
                      daemons=daemons, engines=engines)
    try:
        cluster.start()
        began = time.time()
        applied = cluster.apply(
            "first", [model_document(), plain_document()], "--wait"
        )
        apply_ms = (time.time() - began) * 1000 / 2
        if applied.returncode != 0:
            raise RuntimeError(applied.stderr)
        time.sleep(3)
        before = Sample(cluster)
        tokens = requests = 0
        if rate:
            report = os.path.join(cluster.folder, "load.json")
            subprocess.run(
                [os.path.join(BUILD, "standin"), "load",
                 "--target", cluster.balancer.address,
                 "--services", ",".join(s.address for s in cluster.services),
                 "--seconds", str(SECONDS), "--rate", str(rate),
                 "--report", report],
                capture_output=True, check=True,
            )
            with open(report, encoding="utf-8") as file:
                figures = json.load(file)
            tokens, requests = figures["tokens"], figures["sent"]
        else:
            time.sleep(SECONDS)
        after = Sample(cluster)
        seconds = after.at - before.at
        return {
            "core %": 100 * (after.processor - before.processor) / seconds / daemons,
            "peer bytes/s": (after.bytes - before.bytes) / seconds / daemons,
            "peer messages/s": (after.messages - before.messages) / seconds / daemons,
            "memory MB": sum(memory_megabytes(d) for d in cluster.daemons) / daemons,
            "apply everywhere ms": apply_ms,
            "requests/s": requests / seconds / daemons,
            "tokens/s": tokens / seconds / daemons,
        }
    finally:
        cluster.stop()


def measure_live():
    rows = []

    def add(role, name, size, figures, kept):
        for what in kept:
            rows.append({"role": role, "input": name, "size": size,
                         "what": what, "value": round(figures[what], 3)})

    for daemons in (3, 6, 12, 24):
        add("idle daemon", "daemons", daemons, run_cluster(daemons, 8, 0),
            ["core %", "peer bytes/s", "peer messages/s", "memory MB",
             "apply everywhere ms"])
    for engines in (8, 24, 60):
        # The cluster also starts half as many engines of the new version.
        add("idle daemon", "engines", engines * 3 // 2,
            run_cluster(3, engines, 0), ["core %", "memory MB"])
    for rate in (30, 90, 180, 270):
        figures = run_cluster(3, 24, rate)
        add("serving daemon", "requests/s", round(figures["requests/s"], 1),
            figures, ["core %", "memory MB"])
        add("serving daemon", "tokens/s", round(figures["tokens/s"], 1),
            figures, ["core %"])
    return rows


def group(rows):
    groups = {}
    for row in rows:
        key = (row["role"], row["input"], row["what"])
        groups.setdefault(key, []).append((row["size"], row["value"]))
    return groups


def table(groups):
    lines = ["| role | input | what | measured at | values | slope per unit | spread |",
             "| --- | --- | --- | --- | --- | --- | --- |"]
    for (role, name, what), points in groups.items():
        _, slope, error = fit(points)
        sizes = ", ".join(f"{x:g}" for x, _ in points)
        values = ", ".join(f"{y:.4g}" for _, y in points)
        lines.append(f"| {role} | {name} | {what} | {sizes} | {values} "
                     f"| {slope:.4g} | ± {error:.2g} |")
    return "\n".join(lines) + "\n"


def plot(groups):
    """Draws a small line plot for each group, in a grid, as SVG."""
    width, height, columns = 250, 150, 4
    rows = (len(groups) + columns - 1) // columns
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" font-family="sans-serif" '
             f'font-size="9" width="{columns * width}" height="{rows * height}">'
             f'<rect width="100%" height="100%" fill="white"/>']
    for number, ((role, name, what), points) in enumerate(groups.items()):
        left = number % columns * width + 20
        top = number // columns * height + 34
        most_x = max(x for x, _ in points) or 1
        most_y = max(y for _, y in points) or 1
        dots = [(left + x / most_x * (width - 50),
                 top + (1 - y / most_y) * (height - 60)) for x, y in points]
        line = " ".join(f"{x:.1f},{y:.1f}" for x, y in dots)
        parts.append(f'<text x="{left}" y="{top - 20}">{role}: {what}</text>'
                     f'<text x="{left}" y="{top - 9}" fill="gray">by {name}, '
                     f'up to {most_x:g}: {most_y:.4g}</text>'
                     f'<polyline points="{line}" fill="none" stroke="steelblue"/>')
        parts += [f'<circle cx="{x:.1f}" cy="{y:.1f}" r="2" fill="steelblue"/>'
                  for x, y in dots]
        bottom = top + height - 60
        parts.append(f'<line x1="{left}" y1="{bottom}" x2="{left + width - 50}" '
                     f'y2="{bottom}" stroke="gray"/>')
    return "".join(parts) + "</svg>\n"


def main():
    rows = measure_parts() + measure_live()
    groups = group(rows)
    with open("docs/slopes.json", "w", encoding="utf-8") as file:
        json.dump(rows, file, indent=1)
        file.write("\n")
    with open("docs/SLOPES.md", "w", encoding="utf-8") as file:
        commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"],
                                capture_output=True, text=True, check=True)
        file.write("# Measured slopes\n\nWritten by `tools/slopes` at commit "
                   f"{commit.stdout.strip()}; docs/CAPACITY.md uses them. "
                   "Plots: slopes.svg.\n\n")
        file.write(table(groups))
    with open("docs/slopes.svg", "w", encoding="utf-8") as file:
        file.write(plot(groups))
    print(table(groups))


if __name__ == "__main__":
    main()
