"""A small deployment: the store, the workers, and hosts started by the deploy file's command."""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from lib2.record import Record
from lib2.store import Store
from lib2.wire import Answer, ClientConnection
from lib2.worker import Worker

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "pickup-desk"
HOST_NAME = "nony24.example"
PREFIX = "/lohu930/"
FRONT_PORT = 8161
READY_PORT = 8167
FIRST_PORT = 7720
DEADLINE_MS = 1500
READY_TIMEOUT_S = 30.0
METRICS_PORT = 9464
HOST_PORTS = (FRONT_PORT, READY_PORT, FIRST_PORT, METRICS_PORT)
NETWORK_TRIES = 50
BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "recovery_s": 12,
    "hold_max_ms": 1000,
    "stop_ms": 50,
    "cancel_ms": 3000,
    "lease_ms": 3000,
    "retransmit_ms": 1300,
}


class CaseError(Exception):
    """The deployment could not be started, so the case says nothing."""


class Deployment:
    """Own the stand-ins and the processes of the hosts."""

    def __init__(self, zones: tuple[str, ...], hosts_per_zone: int, workers_per_zone: int) -> None:
        self.record = Record()
        self.zones = zones
        self._network = _choose_network()
        self.store = Store(f"{self._network}.1")
        self.workers = [
            Worker(f"{self._network}.2", f"w-{zone}-{n}", zone, SERVICE, self.store, self.record)
            for zone in zones
            for n in range(workers_per_zone)
        ]
        self.hosts = [f"front-{zone}-{n + 1}" for zone in zones for n in range(hosts_per_zone)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._hosts_per_zone = hosts_per_zone
        self._folder = tempfile.TemporaryDirectory()
        self._version = 0

    def find_ip(self, host: str) -> str:
        """Return the address of a host's machine."""
        return f"{self._network}.{10 + self.hosts.index(host)}"

    def find_store_address(self, _host: str) -> str:
        """Return the address at which a host's machine reaches the store."""
        return self.store.server.address

    async def start(self, **route: Any) -> None:
        """Start everything, and return once every host is ready."""
        await self.store.server.start()
        for worker in self.workers:
            await worker.start()
        self.configure(**route)
        for host in self.hosts:
            self.start_host(host)
        await wait_until(self._are_ready, READY_TIMEOUT_S)

    def configure(self, **route: Any) -> None:
        """Put a configuration with one queue in force."""
        self._version += 7
        queue = {
            "name": "slot-check",
            "host": HOST_NAME,
            "path_prefix": PREFIX,
            "type": "non_idempotent",
            "timeout_ms": 30000,
            "service": SERVICE,
            "priority": 0,
            "max_attempts": 3,
            "stretch": 1.6,
            "target_latency_ms": 60,
            **route,
        }
        services = [{"name": SERVICE, "rejects_overload": True}]
        configuration = {"version": self._version, "routes": [queue], "services": services}
        self.store.put("keyed.op", "config", configuration)

    def start_host(self, host: str) -> None:
        """Start the process of a host with the command of the deploy file."""
        settings = Path(self._folder.name, f"{host}.conf")
        settings.write_text("\n".join(self._list_settings(host)) + "\n")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["host"]["run"])
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "FIREFLYBRIDGE_SETTINGS": str(settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with Path(self._folder.name, f"{host}.log").open("ab") as log:
            self.processes[host] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.note("host started", host=host)

    def find_own_end(self, host: str) -> int | None:
        """Return the exit code of a host that has ended by itself, or None if it hasn't."""
        code = self.processes[host].poll()
        return code if code is not None and code >= 0 else None

    def _list_settings(self, host: str) -> list[str]:
        ip = self.find_ip(host)
        zone = self.zones[self.hosts.index(host) // self._hosts_per_zone]
        return [
            f"node_name={host}",
            "role=host",
            "machine_class=front",
            "serves=front",
            f"ip={ip}",
            f"zone={zone}",
            "region=kerala",
            *(f"zones.{name}=kerala" for name in self.zones),
            f"listen.front={ip}:{FRONT_PORT}",
            f"listen.ready={ip}:{READY_PORT}",
            f"port_range={FIRST_PORT},{FIRST_PORT + 15}",
            "bootstrap=true",
            "limits.cpu_share=0.537",
            "limits.cores=2",
            "limits.memory_mb=300",
            "limits.max_fds=4100",
            "heartbeat_ms=1500",
            "orders=call",
            f"platform.addr={self.find_store_address(host)}",
            "platform.form=log",
            *(f"bounds.{name}={value}" for name, value in BOUNDS.items()),
        ]

    async def _are_ready(self) -> bool:
        return all([await self.is_ready(host) for host in self.hosts])

    async def is_ready(self, host: str) -> bool:
        """Return whether a host says that it is ready."""
        connection = ClientConnection(self.find_ip(host), READY_PORT)
        try:
            await asyncio.wait_for(connection.open(), 1)
            call = connection.call("GET", "/fireflybridge/ready", {"host": "platform"})
            return (await asyncio.wait_for(call, 1)).status == 200
        except (OSError, TimeoutError):
            return False
        finally:
            connection.close()

    def find_leader(self, zone: str) -> str:
        """Return the host that the log of terms names for a zone."""
        value = self.store.find("keyed.leaders").newest[zone][1]
        return str(json.loads(value)["host"])

    def read_log(self, host: str) -> str:
        """Return what a host has written."""
        return Path(self._folder.name, f"{host}.log").read_text(errors="replace")

    async def connect(self, host: str) -> ClientConnection:
        """Open a client's connection."""
        connection = ClientConnection(self.find_ip(host), FRONT_PORT)
        await connection.open()
        return connection

    async def submit(
        self,
        connection: ClientConnection,
        job: str,
        step: dict[str, Any],
        work_ms: float,
        deadline_ms: int = DEADLINE_MS,
        **fields: Any,
    ) -> Answer:
        """Submit a job over a connection, and return its answer."""
        body = make_job(step, work_ms, **fields)
        self.record.note("sent", job=job, **fields)
        answer = await connection.call("POST", PREFIX + job, make_headers(deadline_ms), body)
        self.record.note(
            "answered", job=job, status=answer.status, body=answer.body.decode(), end=answer.detail
        )
        return answer

    def close(self) -> None:
        """End the processes of the hosts, and the stand-ins."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for worker in self.workers:
            if worker.is_up:
                worker.crash()
        self.store.server.kill()
        self._folder.cleanup()


def make_headers(deadline_ms: int) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "host": HOST_NAME,
        "content-type": "application/json",
        "x-deadline-ms": str(deadline_ms),
    }


def make_job(step: dict[str, Any], work_ms: float, **fields: Any) -> bytes:
    """Return the body of a job of one step; its spec tells the stand-in what the tasks take."""
    spec = json.dumps({"work_ms": work_ms, "cpu": step["cpu"]})
    steps = [{"estimate_ms": work_ms, "mem_mb": 64, **step}]
    return json.dumps({"spec": spec, "best_effort": True, "steps": steps, **fields}).encode()


def make_id() -> str:
    """Return a new job's id."""
    return uuid.uuid4().hex[:16]


async def wait_until(check: Callable[[], Awaitable[bool]], timeout_s: float) -> None:
    """Wait until a check holds; raise ``CaseError`` if it doesn't in time."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + timeout_s
    while not await check():
        if loop.time() > end_s:
            raise CaseError(f"{check.__name__} doesn't hold after {timeout_s} s")
        await asyncio.sleep(0.1)


def _choose_network() -> str:
    """Return the first three parts of loopback addresses on which the hosts' ports are free."""
    for _ in range(NETWORK_TRIES):
        network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        if all(_is_free(f"{network}.10", port) for port in HOST_PORTS):
            return network
    raise CaseError(f"the ports {HOST_PORTS} are in use on all addresses that were tried")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
        return True


def run_case(
    play: Callable[[Path, bool], Awaitable[int]], folder: Path, limit_s: float = 110.0
) -> int:
    """Run a case with or without its disruption, and return the exit code of the script.

    Whatever keeps the case from its end, SIGTERM included, gives 2, and ends the processes.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        return asyncio.run(_play_until_stopped(play(folder, trouble), limit_s))
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return 2


async def _play_until_stopped(case: Awaitable[int], limit_s: float) -> int:
    task = asyncio.ensure_future(case)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, limit_s)
