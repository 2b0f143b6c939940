"""Runs the whole system under load and reports violations of its guarantees."""

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time

from cluster import BUILD, Cluster, model_document, plain_document
from faults import FAULTS

RECLAIMABLE_PRICE = 0.3  # of an on-demand instance's price, per second


def parse_arguments():
    parser = argparse.ArgumentParser(
        prog="tools/demo", description=__doc__,
        epilog="Faults: " + "; ".join(
            f"{name}: {fault.__doc__}" for name, fault in FAULTS.items()
        ),
    )
    parser.add_argument("--seconds", type=int, default=15)
    parser.add_argument("--daemons", type=int, default=6)
    parser.add_argument("--engines", type=int, default=12)
    parser.add_argument("--rate", type=float, default=40,
                        help="requests per second")
    parser.add_argument("--tokens", type=int, default=48,
                        help="maximum tokens of a response")
    parser.add_argument("--faults", default="", help="names, separated by commas")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--report", help="write the figures as JSON")
    parser.add_argument("--keep", action="store_true",
                        help="keep the processes running until interrupted")
    parser.add_argument("--endpoints", help="write names, pids and URLs as JSON")
    parser.add_argument("--folder", help="settings and logs of the run")
    options = parser.parse_args()
    options.faults = [name for name in options.faults.split(",") if name]
    unknown = [name for name in options.faults if name not in FAULTS]
    if unknown:
        parser.error(f"--faults: given {unknown}, allowed {sorted(FAULTS)}")
    return options


def write_endpoints(path, cluster):
    entries = []
    for node in cluster.nodes:
        entry = {"name": node.name, "pid": node.process.pid,
                 "url": f"http://{node.address}"}
        if hasattr(node, "callers"):
            entry["callers"] = f"http://{node.callers}"
        entries.append(entry)
    with open(path, "w", encoding="utf-8") as file:
        json.dump(entries, file, indent=2)


def restart_crashed(cluster, stop):
    """Restarts engines that crashed as new processes, as the cloud does."""
    while not stop.wait(0.5):
        for node in cluster.engines + cluster.new_engines:
            if not node.alive() and not node.expected_down:
                cluster.crashes += 1
                node.start()


def run_load(cluster, options, report_path):
    command = [
        os.path.join(BUILD, "standin"), "load",
        "--target", cluster.balancer.address,
        "--services", ",".join(s.address for s in cluster.services),
        "--seconds", str(options.seconds), "--rate", str(options.rate),
        "--seed", str(options.seed), "--report", report_path,
        "--tokens", str(options.tokens),
    ]
    if "crash" in options.faults:
        command += ["--poison", "2"]
    return subprocess.run(command, check=False).returncode


def check_daemons(cluster):
    for daemon in cluster.daemons:
        if not daemon.alive():
            cluster.broken.append(f"{daemon.name} is down")


def finish(cluster, options, report_path, load_code):
    with open(report_path, encoding="utf-8") as file:
        report = json.load(file)
    report["engines"] = cluster.engine_sums()
    report["engine_crashes"] = cluster.crashes
    report["moved"] = cluster.counter("toucanshed_streams_moved_total")
    report["recomputed_baseline"] = cluster.counter(
        "toucanshed_resumed_tokens_total")
    engines = len(cluster.engines) + len(cluster.new_engines)
    report["cost"] = round(engines * options.seconds * RECLAIMABLE_PRICE, 1)
    report["broken"] = cluster.broken
    sums = report["engines"]
    print(f"engine crashes {cluster.crashes}, streams moved {report['moved']}, "
          f"cost {report['cost']} on-demand instance seconds")
    print(f"recomputed tokens {sums['recomputed']}; starting over would have "
          f"recomputed {report['recomputed_baseline']}; prompt tokens "
          f"{sums['prompt_tokens']}")
    for line in cluster.broken:
        print(f"BROKEN: {line}")
    if options.report:
        with open(options.report, "w", encoding="utf-8") as file:
            json.dump(report, file, indent=2)
    return 0 if load_code == 0 and not cluster.broken else 1


def run(options, cluster):
    cluster.crashes = 0
    cluster.broken = []
    cluster.start()
    first = cluster.apply(
        "first", [model_document(), plain_document()], "--wait"
    )
    print("demo: " + first.stdout.strip().replace("\n", "; ")
          + first.stderr.strip())
    if first.returncode != 0:
        return 1
    if options.endpoints:
        write_endpoints(options.endpoints, cluster)
    time.sleep(1)  # the instance list lags; after this it contains all engines
    stop = threading.Event()
    watcher = threading.Thread(target=restart_crashed, args=(cluster, stop))
    watcher.start()
    threads = [
        threading.Thread(target=FAULTS[name], args=(cluster, options.seconds))
        for name in options.faults
    ]
    for thread in threads:
        thread.start()
    report_path = os.path.join(cluster.folder, "load.json")
    load_code = run_load(cluster, options, report_path)
    for thread in threads:
        thread.join()
    stop.set()
    watcher.join()
    check_daemons(cluster)
    code = finish(cluster, options, report_path, load_code)
    if options.keep:
        print("demo: processes stay up until interrupted")
        try:
            signal.pause()
        except KeyboardInterrupt:
            pass
    return code


def interrupt(*_):
    raise KeyboardInterrupt


def main():
    # A shell starts background jobs with SIGINT ignored. --keep has to be
    # interruptible, so the handler is set here.
    signal.signal(signal.SIGINT, interrupt)
    signal.signal(signal.SIGTERM, interrupt)
    options = parse_arguments()
    folder = options.folder or tempfile.mkdtemp(prefix="toucanshed-demo-")
    cluster = Cluster(
        folder, options.daemons, options.engines, options.seed,
        crash="crash" in options.faults,
        drain_ms=300 if "daemon-reclaim" in options.faults else None,
    )
    try:
        code = run(options, cluster)
    finally:
        cluster.stop()
    print(f"demo: settings and logs in {folder}")
    print("demo: " + ("passed" if code == 0 else "FAILED"))
    return code


if __name__ == "__main__":
    sys.exit(main())
