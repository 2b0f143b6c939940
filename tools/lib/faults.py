"""The faults that can be injected into a run, by name.

Each function gets the cluster and the length of the run in seconds, runs on its
own thread, and turns off the fault switches that it turned on.
"""

import json
import signal
import threading
import time

from cluster import model_document


def crash(_cluster, _seconds):
    """A marked request crashes the engine that runs it (set at the start)."""


def drop_answer(cluster, seconds):
    """Services and the log carry out calls but lose some responses."""
    for service in cluster.services:
        service.fault(drop_answer_percent=10)
    cluster.log.fault(drop_answer_percent=20)
    time.sleep(seconds)
    for service in cluster.services:
        service.fault(drop_answer_percent=0)
    cluster.log.fault(drop_answer_percent=0)


def silent(cluster, seconds):
    """Open connections to half of the engines stall, twice."""
    for _ in range(2):
        time.sleep(seconds / 3)
        for engine in cluster.engines[::2]:
            engine.fault(silent=1)


def pausing(cluster, seconds):
    """All engines pause for 2.5 s in each run."""
    for engine in cluster.engines:
        engine.fault(pause_ms=2500)
    time.sleep(seconds)


def crossed(cluster, seconds):
    """Late and doubled events of other attempts; service responses that bear
    the ID of another attempt."""
    for engine in cluster.engines:
        engine.fault(crossed_percent=5, doubled_percent=5)
    for service in cluster.services:
        service.fault(crossed_percent=5)
    time.sleep(seconds)
    for service in cluster.services:
        service.fault(crossed_percent=0)


def cut_stream(cluster, seconds):
    """Engines interrupt some streams."""
    for engine in cluster.engines:
        engine.fault(cut_percent=1)
    time.sleep(seconds)
    for engine in cluster.engines:
        engine.fault(cut_percent=0)


def log_outage(cluster, seconds):
    """The log is down for a third of the run."""
    time.sleep(seconds / 3)
    cluster.log.fault(outage=1)
    time.sleep(seconds / 3)
    cluster.log.fault(outage=0)


def slow_engine(cluster, _seconds):
    """One engine is five times slower."""
    cluster.engines[0].fault(slow_percent=500)


def daemon_kill(cluster, seconds):
    """A daemon is killed without notice and is replaced."""
    time.sleep(seconds / 3)
    victim = cluster.daemons[-1]
    victim.kill()
    time.sleep(2)
    victim.start()


def daemon_stop(cluster, seconds):
    """All daemons are replaced one after another by planned stops."""
    for daemon in cluster.daemons:
        time.sleep(max(0.2, seconds / (2 * len(cluster.daemons))))
        daemon.expected_down = True
        daemon.send(signal.SIGTERM)
        daemon.process.wait(timeout=60)
        daemon.start()
        end = time.time() + 15
        while time.time() < end and not cluster.ready(daemon):
            time.sleep(0.1)


def daemon_reclaim(cluster, seconds):
    """Two daemons are reclaimed one after another, with a third of a second
    to finish; they hand their streams over to peers."""
    time.sleep(seconds / 3)
    for daemon in cluster.daemons[:2]:
        daemon.expected_down = True
        daemon.send(signal.SIGTERM)
        daemon.process.wait(timeout=60)
        daemon.start()
        time.sleep(1)


def pause(cluster, seconds):
    """A daemon is paused for four seconds and then continues."""
    time.sleep(seconds / 4)
    victim = cluster.daemons[1]
    victim.send(signal.SIGSTOP)
    time.sleep(4)
    victim.send(signal.SIGCONT)


def reclaim_wave(cluster, seconds):
    """A whole zone's engines are reclaimed with three seconds of notice."""
    time.sleep(seconds / 3)
    zone = cluster.engines[0].entry["zone"]
    wave = [e for e in cluster.engines if e.entry["zone"] == zone]
    for engine in wave:
        engine.fault(leaving=1)
        cluster.register({**engine.entry, "state": "leaving"})
    time.sleep(3)
    for engine in wave:
        engine.kill()
    time.sleep(1)
    for engine in wave:
        engine.start()
        cluster.register(engine.entry)


def _start_rollout(cluster, seconds, name):
    document = model_document(
        {
            "from": "v1", "to": "v2", "deadline_s": max(6, int(seconds)),
            "canary_percent": 10, "soak_s": 1, "min_requests": 15,
        }
    )
    result = cluster.apply(name, [document], "--wait")
    print(f"demo: {name}: {result.stdout.strip()} {result.stderr.strip()}")


def _wait_for_end(cluster, seconds, expected):
    end = time.time() + seconds
    rollouts = []
    while time.time() < end:
        rollouts = cluster.status(cluster.daemons[0]).get("moves", [])
        if rollouts and rollouts[-1]["status"] != "running":
            break
        time.sleep(0.2)
    status = rollouts[-1]["status"] if rollouts else "none"
    print(f"demo: move ended as {json.dumps(rollouts[-1:])}")
    if status != expected:
        cluster.broken.append(f"the move is {status}, expected {expected}")


def bad_version(cluster, seconds):
    """A rollout of a version that fails a third of its requests."""
    for engine in cluster.new_engines:
        engine.fault(fail_percent=33)
    _start_rollout(cluster, seconds, "bad-version")
    _wait_for_end(cluster, seconds + 5, "taken-back")


def good_version(cluster, seconds):
    """A rollout of a version that works."""
    _start_rollout(cluster, seconds, "good-version")
    _wait_for_end(cluster, seconds + 5, "done")


def operator_race(cluster, seconds):
    """Two operators change the same service, based on the same revision."""
    time.sleep(seconds / 5)
    status = cluster.cli("status", "--daemon", cluster.daemons[0].address)
    base = _revision(cluster)
    codes = []

    def race(number):
        document = _plain_with_weight(number + 1)
        result = cluster.apply(
            f"race-{number}", [document], "--base", str(base)
        )
        codes.append(result.returncode)

    threads = [threading.Thread(target=race, args=(i,)) for i in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(f"demo: operator race ended with exit codes {sorted(codes)}")
    if sorted(codes) != [0, 4] or status.returncode != 0:
        cluster.broken.append(f"operator race: exit codes {sorted(codes)}")


def _plain_with_weight(weight):
    from cluster import plain_document

    document = plain_document()
    document["teams"] = [{"team": "crews", "weight": weight}]
    return document


def _revision(cluster):
    from cluster import call

    _, text = call(cluster.daemons[0].address, "GET", "/config")
    return json.loads(text)["jobdesk"]["revision"]


FAULTS = {
    "crash": crash,
    "drop-answer": drop_answer,
    "silent": silent,
    "pausing": pausing,
    "crossed": crossed,
    "cut-stream": cut_stream,
    "log-outage": log_outage,
    "slow-engine": slow_engine,
    "daemon-kill": daemon_kill,
    "daemon-stop": daemon_stop,
    "daemon-reclaim": daemon_reclaim,
    "pause": pause,
    "reclaim-wave": reclaim_wave,
    "bad-version": bad_version,
    "good-version": good_version,
    "operator-race": operator_race,
}
