"""Start hosts on a stand-in for the users' platform and submit jobs to them."""

import json
import os
import tempfile
import time
import uuid
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from http.client import HTTPConnection
from itertools import combinations, count
from pathlib import Path
from typing import Any

import httpx

from support.peer_links import PeerLinks, add_peer_links
from support.processes import Processes, Program, wait_until
from support.proxy import Proxy, start_proxy

TASK = {"cpu": 6800, "mem_mb": 64, "estimate_ms": 50}
TIMEOUT_MS = 3000
HEADERS = {"host": "desk.example", "x-deadline-ms": str(TIMEOUT_MS)}
ADDRESSES_PER_DEPLOYMENT = 8
FIRST_PORT = 7720  # hosts serve each other there
LONGEST_ESTIMATE_MS = 800
REPEATED_STATUSES = frozenset({0, 502, 503, 504})
RESUBMISSION_DELAY_S = 1.3
MAX_SUBMISSIONS = 5
_deployments = count()


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold the answer to a caller; status 0 means that the connection ended without one."""

    status: int
    state: str = ""
    retry_after: str = ""


@dataclass(slots=True)
class SiteDeployment:
    """Run the stand-in and the hosts of one scenario; host ``h1`` is in zone ``z1`` and so on."""

    processes: Processes
    zones: int = 3
    hosts_per_zone: int = 1
    upstreams: int = 2
    work_ms: int = 50
    first_host: int = 1
    joined_upstreams: int | None = None
    """Largest number of upstreams for which one host leads all zones; None for the default."""
    proxied: bool = False
    """Whether hosts reach the store, the upstreams and each other through links of a proxy."""
    proxy: Proxy | None = None
    peer_links: PeerLinks | None = None
    """Links between the hosts, if the hosts were given any."""
    site: Program = field(init=False)
    hosts: dict[str, Program] = field(default_factory=dict)
    started: list[Program] = field(default_factory=list)
    """Every process of a host, also those that have ended."""
    version: int = 0
    _directory: tempfile.TemporaryDirectory[str] = field(
        default_factory=tempfile.TemporaryDirectory
    )
    _network: str = field(default_factory=lambda: choose_network(os.getpid()))
    _address_offset: int = field(
        default_factory=lambda: next(_deployments) * ADDRESSES_PER_DEPLOYMENT % 240
    )
    _store_links: dict[str, str] = field(default_factory=dict)
    _callers: ThreadPoolExecutor = field(default_factory=lambda: ThreadPoolExecutor(64))

    def start(self) -> None:
        """Start everything and wait until every host is ready."""
        self.site = self.processes.start(
            "fireflybridge_standins.site",
            *(f"--zone=z{index}" for index in range(1, self.zones + 1)),
            f"--upstreams={self.upstreams}",
            f"--work-ms={self.work_ms}",
        )
        if self.proxied:
            self._add_proxy()
        self.configure({"orders": "/orders/"})
        for name in self._list_names():
            self.start_host(name)
        for name in self.hosts:
            wait_until(lambda name=name: self.is_ready(name), detail=f"{name} is ready")

    def _add_proxy(self) -> None:
        self.proxy = start_proxy(self.processes)
        for name, address in self.control("state")["addresses"].items():
            self.control(f"upstreams/{name}", {"address": self.proxy.add_link(name, address)})
        addresses = {name: f"{self.find_ip(name)}:{FIRST_PORT}" for name in self._list_names()}
        self.peer_links = add_peer_links(self.proxy, addresses)

    def _list_names(self) -> list[str]:
        last = self.zones * self.hosts_per_zone
        return [f"h{number}" for number in range(self.first_host, last + 1)]

    def find_store(self, host: str) -> str:
        """Return the address at which a host reaches the store; each has a link of its own."""
        store = str(self.site.ready["store"])
        if self.proxy is None:
            return store
        if host not in self._store_links:
            self._store_links[host] = self.proxy.add_link(f"store-{host}", store)
        return self._store_links[host]

    def start_host(self, name: str) -> None:
        """Start a host, or restart it under the same name."""
        path = Path(self._directory.name, f"{name}.conf")
        path.write_text("\n".join(self._write_settings(name)))
        environment = {"FIREFLYBRIDGE_SETTINGS": str(path)}
        if self.joined_upstreams is not None:
            environment["FIREFLYBRIDGE_JOINED_UPSTREAMS"] = str(self.joined_upstreams)
        module = "fireflybridge_adapter"
        if self.peer_links is not None:
            module = "fireflybridge_standins.linked_host"
            environment |= self.peer_links.make_environment(name)
        self.hosts[name] = self.processes.spawn(module, environment=environment)
        self.started.append(self.hosts[name])

    @property
    def estimate_ms(self) -> int:
        """Return the estimated duration of a task, capped so that the job isn't refused.

        A run far beyond its estimate may be moved to another upstream, sooner on a loaded machine.
        """
        return min(self.work_ms, LONGEST_ESTIMATE_MS)

    def find_zone(self, name: str) -> str:
        """Return the zone of a host."""
        return f"z{(int(name[1:]) - 1) % self.zones + 1}"

    def is_ready(self, name: str) -> bool:
        """Return whether a host reports that it is ready."""
        try:
            url = f"http://{self.find_ip(name)}:8167/fireflybridge/ready"
            return httpx.get(url, timeout=2).status_code == 200
        except httpx.HTTPError:
            return False

    def configure(self, prefixes: dict[str, str], **overrides: object) -> None:
        """Put a configuration with these routes in force."""
        self.version += 1
        routes = [
            {
                "name": name,
                "host": "desk.example",
                "path_prefix": prefix,
                "type": "non_idempotent",
                "timeout_ms": TIMEOUT_MS,
                "target_latency_ms": 1000,
                "priority": 0,
                "service": "desk",
                "max_attempts": 3,
                "stretch": 1.6,
                **overrides,
            }
            for name, prefix in prefixes.items()
        ]
        self.control("put/keyed.op/config", {"version": self.version, "routes": routes})

    def control(self, path: str, body: dict[str, Any] | None = None) -> dict[str, Any]:
        """Call the stand-in's control port."""
        url = f"http://{self.site.address}/control/{path}"
        response = httpx.post(url, json=body or {}, timeout=10)
        assert response.status_code == 200, f"{path}: {response.status_code}"
        return dict(response.json())

    def append(self, topic: str, content: bytes) -> None:
        """Append a record's key and value, which need not be well-formed, to a topic."""
        url = f"http://{self.site.address}/control/append/{topic}"
        assert httpx.post(url, content=content, timeout=10).status_code == 200

    def find_leader(self, zone: str = "z1") -> str:
        """Return the host that the log names as the leader of a zone."""
        return str(self.control("state")["leaders"].get(zone, ""))

    def submit(
        self,
        host: str,
        tasks: int,
        job: str = "",
        timeout_s: float = TIMEOUT_MS / 1000 + 1,
        spec: str = "work",
    ) -> Answer:
        """Submit a job and return its answer, or disconnect after ``timeout_s``."""
        url = f"http://{self.find_ip(host)}:8161/orders/{job or uuid.uuid4().hex[:16]}"
        body = self._answer_question(tasks, spec)
        try:
            response = httpx.post(url, json=body, headers=HEADERS, timeout=timeout_s)
        except httpx.HTTPError:
            return Answer(0)
        state = response.json()["state"] if response.status_code == 200 else ""
        return Answer(response.status_code, state, response.headers.get("retry-after", ""))

    def _answer_question(self, tasks: int, spec: str) -> dict[str, object]:
        step = {"count": tasks, **TASK, "estimate_ms": self.estimate_ms}
        return {"spec": spec, "best_effort": True, "steps": [step]}

    def connect(self, host: str) -> HTTPConnection:
        """Open a caller's connection to a host."""
        connection = HTTPConnection(self.find_ip(host), 8161, timeout=TIMEOUT_MS / 1000 + 1)
        connection.connect()
        return connection

    def send(self, connection: HTTPConnection, tasks: int, job: str) -> None:
        """Send a job over a caller's connection without waiting for the answer."""
        body = json.dumps(self._answer_question(tasks, "work"))
        connection.request("POST", f"/orders/{job}", body, HEADERS)

    def receive_later(self, connection: HTTPConnection) -> "Future[Answer]":
        """Receive the answer over a caller's connection in another thread."""
        return self._callers.submit(_receive, connection)

    def submit_later(self, host: str, tasks: int, job: str = "") -> "Future[Answer]":
        """Submit a job from another thread."""
        return self._callers.submit(self.submit, host, tasks, job)

    def submit_until_final(self, host: str, spec: str) -> Answer:
        """Submit a job of one task until it has an answer of its own, as a caller does that comes back."""
        job = uuid.uuid4().hex[:16]
        answer = Answer(0)
        for _ in range(MAX_SUBMISSIONS):
            answer = self.submit(host, 1, job, spec=spec)
            if answer.status not in REPEATED_STATUSES:
                break
            time.sleep(RESUBMISSION_DELAY_S)
        return answer

    def submit_until_final_later(self, host: str, spec: str) -> "Future[Answer]":
        """Submit a job from another thread until its answer allows no further submission."""
        return self._callers.submit(self.submit_until_final, host, spec)

    def list_runs(self) -> list[dict[str, Any]]:
        """Return every run that the upstreams have seen."""
        return list(self.control("state")["runs"])

    def read_events(self, host: str, event_id: int) -> list[dict[str, Any]]:
        """Return the log lines of a host with an event id."""
        return [line for line in self.read_all_events(host) if line["event_id"] == event_id]

    def read_all_events(self, host: str) -> list[dict[str, Any]]:
        """Return the log lines of a host."""
        return parse_log(self.hosts[host])

    def read_logs(self) -> list[list[dict[str, Any]]]:
        """Return the log lines of each process of a host, also of those that have ended."""
        return list(map(parse_log, self.started))

    def close(self) -> None:
        """End the callers' threads and delete the settings files."""
        self._callers.shutdown(wait=False, cancel_futures=True)
        self._directory.cleanup()

    def find_ip(self, name: str) -> str:
        """Return the IP address of a host."""
        return f"{self._network}.{self._address_offset + int(name[1:])}"

    def _write_settings(self, name: str) -> Iterator[str]:
        ip = self.find_ip(name)
        yield f"node_name={name}"
        yield f"ip={ip}"
        yield f"zone={self.find_zone(name)}"
        yield from (f"zones.z{index}=region" for index in range(1, self.zones + 1))
        yield f"listen.front={ip}:8161"
        yield f"listen.ready={ip}:8167"
        yield f"port_range={FIRST_PORT},{FIRST_PORT + 15}"
        # The first host is the strongest, so it leads.
        yield f"limits.cpu_share={1 / int(name[1:])}"
        yield "limits.cores=3"
        yield "bounds.grace_s=6"
        yield f"bounds.retransmit_ms={RESUBMISSION_DELAY_S * 1000:.0f}"
        yield f"platform.addr={self.find_store(name)}"


def _receive(connection: HTTPConnection) -> Answer:
    response = connection.getresponse()
    body = response.read()
    state = json.loads(body)["state"] if response.status == 200 else ""
    return Answer(response.status, state, response.headers.get("retry-after", ""))


def parse_log(program: Program) -> list[dict[str, Any]]:
    """Return the log lines of a host's process."""
    return list(map(json.loads, program.read_stdout().splitlines()))


def choose_network(pid: int) -> str:
    """Return the first three parts of loopback addresses that no other test process uses.

    When addresses were chosen by the process id modulo 200, two processes could share theirs, and
    the hosts of one could not listen.
    """
    return f"127.{1 + pid // 256 % 254}.{pid % 256}"


def find_overlaps(runs: list[dict[str, Any]]) -> list[tuple[dict[str, Any], dict[str, Any]]]:
    """Return the pairs of runs of one task that were under way at the same time."""
    tasks: dict[str, list[dict[str, Any]]] = {}
    for run in runs:
        tasks.setdefault(run["task"], []).append(run)
    return [
        pair
        for runs_of_task in tasks.values()
        for pair in combinations(runs_of_task, 2)
        if _overlap(*pair)
    ]


def count_starts(runs: list[dict[str, Any]]) -> Counter[str]:
    """Return the number of starts of each task."""
    return Counter(run["task"] for run in runs)


def _overlap(first: dict[str, Any], second: dict[str, Any]) -> bool:
    earlier, later = sorted((first, second), key=lambda run: float(run["started_s"]))
    return not earlier["how"] or later["started_s"] < earlier["ended_s"]
