"""Starts the daemons and stand-ins of a run as processes, and stops them."""

import hashlib
import http.client
import json
import os
import signal
import socket
import subprocess
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.environ.get("TOUCANSHED_BUILD", os.path.join(ROOT, "build", "release"))
ZONES = ["kingston", "spanish-town", "montego-bay", "mandeville"]
TEAMS = ["crews", "estimators"]


def call(address, method, path, body=None, timeout=5):
    """Makes an HTTP call; returns (status, text), or (0, reason) if it fails."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        payload = json.dumps(body) if body is not None else None
        connection.request(method, path, payload)
        response = connection.getresponse()
        return response.status, response.read().decode()
    except (OSError, http.client.HTTPException) as error:
        return 0, str(error)
    finally:
        connection.close()


def wait_until(condition, seconds, what):
    """Polls until the condition holds; raises RuntimeError on a timeout."""
    end = time.time() + seconds
    while time.time() < end:
        if condition():
            return
        time.sleep(0.05)
    raise RuntimeError(f"{what}: not within {seconds} s")


class Node:
    """One process, with the command and address to start it again."""

    def __init__(self, name, command, address, log_path):
        self.name = name
        self.command = command
        self.address = address
        self.log_path = log_path
        self.process = None
        self.expected_down = False

    def start(self):
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        self.expected_down = False

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.alive():
            self.process.send_signal(number)

    def kill(self):
        self.expected_down = True
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def fault(self, **switches):
        call(self.address, "POST", "/faults", switches)


class Cluster:
    """All processes of a run."""

    def __init__(self, run_folder, daemons=6, engines=12, seed=1, crash=False,
                 drain_ms=None):
        self.folder = run_folder
        self.crash = crash
        self.drain_ms = drain_ms
        self.seed = seed
        self.nodes = []
        self.ports = set()
        # Each run uses its own loopback address, so that concurrent runs never
        # use the same ports.
        self.host = f"127.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}.1"
        os.makedirs(run_folder, exist_ok=True)
        self.log = self.standin("log", "log")
        self.instances = self.standin("instances", "instances")
        self.cloud = self.standin("cloud", "cloud")
        self.weights = self.standin("weights", "weights")
        self.services = [
            self.standin(f"service-{i}", "service") for i in range(2)
        ]
        self.engines = [self.engine(i, "v1") for i in range(engines)]
        # Enough engines of the new version for all traffic after a rollout.
        self.new_engines = [
            self.engine(engines + i, "v2") for i in range(max(2, engines // 2))
        ]
        self.daemons = [self.daemon(i) for i in range(daemons)]
        self.balancer = self.make_balancer()

    def port(self):
        while True:
            with socket.socket() as probe:
                probe.bind((self.host, 0))
                port = probe.getsockname()[1]
            if port not in self.ports:
                self.ports.add(port)
                return port

    def add(self, name, command, address):
        node = Node(name, command, address, os.path.join(self.folder, f"{name}.log"))
        self.nodes.append(node)
        return node

    def standin(self, name, kind, *options):
        address = f"{self.host}:{self.port()}"
        command = [os.path.join(BUILD, "standin"), kind, "--listen", address]
        command += ["--seed", str(self.seed + len(self.nodes)), *options]
        return self.add(name, command, address)

    def engine(self, number, version):
        zone = ZONES[number % len(ZONES)]
        name = f"engine-{number}"
        node = self.standin(
            name, "engine", "--id", name, "--service", "survey",
            "--version", version, "--zone", zone,
            *(["--fault", "crash"] if self.crash else []),
        )
        node.entry = {
            "id": name, "role": "backend", "service": "survey",
            "version": version, "zone": zone, "address": node.address,
            "state": "live", "slots": 8, "class": "reclaimable",
        }
        return node

    def daemon(self, number):
        name = f"daemon-{number}"
        ports = [self.port() for _ in range(3)]
        settings = {
            "id": name,
            "zone": ZONES[number % len(ZONES)],
            "address": self.host,
            "caller_port": ports[0],
            "operator_port": ports[1],
            "peer_port": ports[2],
            "log": self.log.address,
            "instances": self.instances.address,
            "teams": [
                {
                    "team": team,
                    "token_sha256": hashlib.sha256(
                        f"{team}-token".encode()
                    ).hexdigest(),
                }
                for team in TEAMS
            ],
            "balancer_delay_ms": 800,
            **({"drain_ms": self.drain_ms} if self.drain_ms else {}),
        }
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file, indent=2)
        command = [os.path.join(BUILD, "toucanshedd"), "--settings", path]
        node = self.add(name, command, f"{self.host}:{ports[1]}")
        node.callers = f"{self.host}:{ports[0]}"
        node.entry = {
            "id": name, "role": "entry", "zone": settings["zone"],
            "peer_address": f"{self.host}:{ports[2]}", "state": "live",
        }
        return node

    def make_balancer(self):
        address = f"{self.host}:{self.port()}"
        targets = ",".join(f"{d.callers}/{d.address}" for d in self.daemons)
        command = [os.path.join(BUILD, "standin"), "balancer"]
        command += ["--listen", address, "--targets", targets]
        return self.add("balancer", command, address)

    def register(self, entry):
        call(self.instances.address, "POST", "/instances", entry)

    def start(self):
        for node in self.nodes:
            if node not in self.daemons:
                node.start()
        wait_until(
            lambda: call(self.instances.address, "GET", "/instances")[0] == 200,
            10, "the instance list answers",
        )
        for node in self.engines + self.new_engines + self.daemons:
            self.register(node.entry)
        for number, node in enumerate(self.services):
            self.register({
                "id": node.name, "role": "backend", "service": "jobdesk",
                "version": "v1", "zone": ZONES[number], "address": node.address,
                "state": "live", "slots": 200, "incarnation": "1",
            })
        for node in self.daemons:
            node.start()
        wait_until(
            lambda: all(self.ready(d) for d in self.daemons), 20, "daemons are ready"
        )

    @staticmethod
    def ready(daemon):
        return call(daemon.address, "GET", "/readyz", timeout=1)[0] == 200

    def cli(self, *arguments):
        return subprocess.run(
            [os.path.join(BUILD, "toucanshed"), *arguments],
            capture_output=True, text=True, timeout=60, check=False,
        )

    def apply(self, name, services, *options):
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"services": services}, file, indent=2)
        return self.cli(
            "apply", path, "--daemon", self.daemons[0].address, *options
        )

    def status(self, daemon):
        status, text = call(daemon.address, "GET", "/status")
        return json.loads(text) if status == 200 else {}

    def engine_sums(self):
        sums = {"recomputed": 0, "prompt_tokens": 0, "generated": 0}
        for node in self.engines + self.new_engines:
            status, text = call(node.address, "GET", "/load", timeout=1)
            if status == 200:
                report = json.loads(text)
                for key in sums:
                    sums[key] += report.get(key, 0)
        return sums

    def counter(self, name):
        """Returns the sum of a counter over all daemons."""
        total = 0
        for daemon in self.daemons:
            _, text = call(daemon.address, "GET", "/metrics")
            for line in text.splitlines():
                if line.startswith((name + " ", name + "{")):
                    total += int(line.rsplit(" ", 1)[1])
        return total

    def stop(self):
        for node in self.nodes:
            node.send(signal.SIGCONT)
            node.expected_down = True
            node.send(signal.SIGTERM if node in self.daemons else signal.SIGKILL)
        end = time.time() + 20
        for node in self.nodes:
            if node.process is None:
                continue
            try:
                node.process.wait(timeout=max(0.1, end - time.time()))
            except subprocess.TimeoutExpired:
                node.process.kill()
                node.process.wait()


def model_document(move=None):
    """Returns the document of the demo's model service."""
    document = {
        "service": "survey",
        "kind": "MODEL",
        "versions": [
            {"name": "v1", "share_percent": 100},
            {"name": "v2", "share_percent": 0},
        ],
        "teams": [{"team": team, "weight": 1} for team in TEAMS],
        "first_token_target_ms": 320,
    }
    if move:
        document["move"] = move
    return document


def plain_document():
    """Returns the document of the demo's plain service."""
    return {
        "service": "jobdesk",
        "kind": "PLAIN",
        "versions": [{"name": "v1", "share_percent": 100}],
        "routes": [
            {"prefix": "/jobs", "repeatable": True, "timeout_ms": 2000},
            {"prefix": "/bookings", "repeatable": False, "timeout_ms": 3000},
        ],
    }
