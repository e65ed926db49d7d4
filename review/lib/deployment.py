"""A small deployment for a review's script: store, workers and hosts as separate processes."""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
STANDINS = ROOT / "review" / "standins"
HOST_NAME = "desk.example"
PREFIX = "/orders/"
CANNOT_RUN = 2
PORTS = (7720, 8161, 8167, 9464)


class CannotRun(Exception):
    """Signal that the case could not be set up."""


def wait_for(condition, timeout_s, what):
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise CannotRun(f"not within {timeout_s} s: {what}")
        time.sleep(0.005)


class Deployment:
    """Hosts ``h1``, ``h2`` and so on, one a zone, and workers of the kinds that are given."""

    def __init__(self, record, zones=("z1", "z2", "z3"), grace_s=6):
        self.record = Path(record)
        self.record.write_text("")
        self.zones = zones
        self.grace_s = grace_s
        self.temporary = tempfile.TemporaryDirectory()
        self.runs = Path(self.temporary.name, "runs.jsonl")
        self.runs.write_text("")
        self.processes = {}
        self.started = []
        self.lock = threading.Lock()
        self.network = _choose_network()
        self.store = self.free_address(200)
        self.workers = {}
        self.begun_s = time.time()

    def note(self, text):
        with self.lock, self.record.open("a") as file:
            file.write(f"{time.time() - self.begun_s:8.3f} s  {text}\n")

    def free_address(self, last):
        with socket.socket() as probe:
            probe.bind((f"{self.network}.{last}", 0))
            return "{}:{}".format(*probe.getsockname())

    def spawn(self, name, command, more=None):
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PYTHONPATH"] = "target/deps"
        environment |= more or {}
        log = open(Path(self.temporary.name, f"{name}.log"), "ab")
        process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.processes[name] = process
        self.started.append(process)
        return process

    def start_store(self):
        self.spawn("store", [sys.executable, str(STANDINS / "store.py"), "--address", self.store])
        wait_for(lambda: self.accepts(self.store), 10, "the store listens")

    def start_worker(self, name, zone, kind, rack="r1"):
        if name not in self.workers:
            self.workers[name] = self.free_address(100)
        options = {
            "id": name,
            "address": self.workers[name],
            "zone": zone,
            "rack": rack,
            "kind": kind,
            "store": self.store,
            "record": str(self.runs),
        }
        words = [word for key, value in options.items() for word in (f"--{key}", value)]
        self.spawn(name, [sys.executable, str(STANDINS / "worker.py"), *words])

    def start_host(self, name, cpu_share=1.0):
        index = int(name[1:])
        ip = f"{self.network}.{index}"
        lines = [
            f"node_name={name}",
            "role=host",
            "machine_class=front",
            "serves=front",
            f"ip={ip}",
            f"zone={self.zones[(index - 1) % len(self.zones)]}",
            "region=r",
            *(f"zones.{zone}=r" for zone in self.zones),
            f"listen.front={ip}:8161",
            f"listen.ready={ip}:8167",
            "port_range=7720,7735",
            "bootstrap=true",
            f"limits.cpu_share={cpu_share}",
            "limits.cores=1",
            "limits.memory_mb=300",
            "limits.max_fds=4100",
            "heartbeat_ms=1500",
            "bounds.contact_ms=3000",
            "bounds.drain_ms=2000",
            f"bounds.grace_s={self.grace_s}",
            "bounds.config_apply_ms=2000",
            "bounds.cancel_ms=3000",
            "bounds.stop_ms=50",
            "bounds.hold_max_ms=1000",
            "bounds.retransmit_ms=1300",
            "orders=call",
            f"platform.addr={self.store}",
            "platform.form=log",
            "platform.writes_per_s=600",
            "platform.reads_per_s=2000",
        ]
        path = Path(self.temporary.name, f"{name}.conf")
        path.write_text("\n".join(lines) + "\n")
        # The command of the deploy file.
        self.spawn(
            name, ["python3", "-m", "fireflybridge_adapter"], {"FIREFLYBRIDGE_SETTINGS": str(path)}
        )

    def host_ip(self, name):
        return f"{self.network}.{name[1:]}"

    def is_ready(self, name):
        try:
            connection = http.client.HTTPConnection(self.host_ip(name), 8167, timeout=1)
            connection.request("GET", "/fireflybridge/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def accepts(self, address):
        host, _, port = address.rpartition(":")
        try:
            socket.create_connection((host, int(port)), 0.5).close()
            return True
        except OSError:
            return False

    def put(self, topic, key, value):
        host, _, port = self.store.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        connection.request("POST", f"/standin/put/{topic}/{key}", json.dumps(value).encode())
        if connection.getresponse().status != 200:
            raise CannotRun(f"the store refused {topic} {key}")

    def configure(self, version=1, **policy):
        route = {
            "name": "r-orders",
            "host": HOST_NAME,
            "path_prefix": PREFIX,
            "type": "non_idempotent",
            "timeout_ms": 1500,
            "target_latency_ms": 60,
            "priority": 0,
            "service": "desk",
            "max_attempts": 4,
            "stretch": 1.6,
            **policy,
        }
        service = {
            "name": "desk",
            "health_path": "/healthz",
            "max_conns": 64,
            "proto": "h1",
            "tls": False,
            "rejects_overload": True,
            "spare": False,
        }
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        value = {"version": version, "routes": [route], "services": [service], "limits": limits}
        self.put("keyed.op", "config", value)

    def call(self, host, method, job, body=None, timeout_s=5.0, deadline_ms=None):
        """Return the status and the body of a caller's request; status 0 without an answer."""
        headers = {"Host": HOST_NAME, "Content-Type": "application/json"}
        if deadline_ms is not None:
            headers["X-Deadline-Ms"] = str(deadline_ms)
        connection = http.client.HTTPConnection(self.host_ip(host), 8161, timeout=timeout_s)
        try:
            data = None if body is None else json.dumps(body).encode()
            connection.request(method, PREFIX + job, data, headers)
            response = connection.getresponse()
            return response.status, response.read().decode()
        except (OSError, http.client.HTTPException) as error:
            return 0, repr(error)
        finally:
            connection.close()

    def read_runs(self):
        return [json.loads(line) for line in self.runs.read_text().splitlines()]

    def kill(self, name):
        process = self.processes[name]
        process.send_signal(signal.SIGKILL)
        process.wait(10)

    def close(self):
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.started:
            process.wait(10)
        self.temporary.cleanup()


def run_case(main):
    """Run a case: its function gets whether to make trouble, and returns the exit code."""
    signal.signal(signal.SIGTERM, _end)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        code = main(trouble)
    except CannotRun as error:
        print(f"could not run: {error}")
        code = CANNOT_RUN
    except Exception:  # a fault of the script says nothing of the rule
        traceback.print_exc()
        code = CANNOT_RUN
    sys.exit(code)


def _end(_number, _frame):
    """End through ``finally``, which ends the processes, when the time limit is reached."""
    sys.exit(CANNOT_RUN)


def _choose_network():
    """Return the first three parts of loopback addresses at which the hosts' ports are free."""
    while True:
        network = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        if all(_is_free(f"{network}.{last}", port) for last in range(1, 10) for port in PORTS):
            return network


def _is_free(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
        return True
