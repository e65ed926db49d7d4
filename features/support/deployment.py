"""Start a deployment of platform, workers and daemons, optionally with a proxy on every link."""

import json
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx

from support.control import send_control
from support.processes import Processes, Program, wait_until
from support.proxy import Proxy, start_proxy

ROUTES = """
[[routes]]
name = "booking"
pool = "desk"
idempotent = true
window_ms = 10000
timeout_ms = 5000
expected_ms = 100

[[routes]]
name = "payment"
pool = "desk"
idempotent = false
window_ms = 10000
timeout_ms = 5000
expected_ms = 100
"""


@dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a deployment.

    Daemon ``d<i>`` is in failure domain ``fd<i>``, and there are ``workers`` workers per daemon.
    ``domains`` and ``total_workers``, unless 0, override the number of failure domains and workers.

    With ``proxied``, the proxy has a link ``<from>-<to>`` for each pair of daemons, a link
    ``<daemon>-platform`` to the platform and a link ``worker-<name>`` to each worker.
    """

    daemons: int = 3
    workers: int = 2
    slots: int = 4
    proxied: bool = False
    speed: str = "1.0"
    daemon_arguments: tuple[str, ...] = ()
    routes: str = ROUTES
    pool: str = "desk"
    domains: int = 0
    total_workers: int = 0


@dataclass(slots=True)
class Deployment:
    """The running programs of one deployment.

    ``leaving`` holds the hosts that the host list shows as leaving.
    """

    processes: Processes
    plan: Plan = field(default_factory=Plan)
    daemons: dict[str, Program] = field(default_factory=dict)
    platform: Program = field(init=False)
    workers: Program = field(init=False)
    proxy: Proxy | None = None
    leaving: set[str] = field(default_factory=set)
    revision: str = ""

    def start(self) -> None:
        """Start all programs, publish the tables and wait until every daemon serves."""
        self.platform = self.processes.start("fireflybridge_standins.platform")
        self.workers = self.processes.start(
            "fireflybridge_standins.worker",
            f"--count={self.plan.total_workers or self.plan.daemons * self.plan.workers}",
            f"--slots={self.plan.slots}",
            f"--speed={self.plan.speed}",
        )
        if self.plan.proxied:
            self.proxy = start_proxy(self.processes)
            for name, address in self.worker_addresses.items():
                self.proxy.add_link(f"worker-{name}", address)
        self.publish(self.plan.routes, self.make_pools())
        for index in range(1, self.plan.daemons + 1):
            self.start_daemon(f"d{index}")
        self.wait_serving()

    @property
    def worker_addresses(self) -> dict[str, str]:
        """Return the address of each worker by name."""
        return dict(self.workers.ready["workers"])

    def start_daemon(self, name: str) -> Program:
        """Start a daemon, or restart it under the same name, and add it to the host list."""
        url = f"http://{self.platform.address}"
        if self.proxy is not None:
            url = f"http://{self._link(f'{name}-platform', self.platform.address)}"
        self.daemons[name] = self.processes.start(
            "fireflybridge_daemon",
            f"--name={name}",
            f"--failure-domain={self.find_daemon_domain(name)}",
            f"--platform-url={url}/view/{name}",
            "--insecure-peers",
            "--callers-address=127.0.0.1:0",
            "--operators-address=127.0.0.1:0",
            "--peer-address=127.0.0.1:0",
            *self.plan.daemon_arguments,
        )
        self.update_host_list()
        return self.daemons[name]

    def update_host_list(self) -> None:
        """Set the host list on the platform, with the addresses that each daemon is to use."""
        for viewer in self.daemons:
            entries = [
                self._describe_host(name, "entry", self.find_daemon_domain(name), address)
                for name, address in self._find_peers(viewer)
            ]
            path = f"/view/{viewer}/control/hosts"
            body = {"hosts": entries + self.describe_workers()}
            send_control(self.platform.address, "PUT", path, body)

    def make_pools(self) -> str:
        """Return the pools table with every worker."""
        rows = [
            f'[[pools.upstreams]]\nname = "{name}"\naddress = "{self._find_worker(name, address)}"\n'
            f"slots = {self.plan.slots}\nconnections = 64\n"
            f'failure_domain = "{self._find_domain(index)}"\n'
            for index, (name, address) in enumerate(self.worker_addresses.items())
        ]
        return f'[[pools]]\nname = "{self.plan.pool}"\nguards = true\n' + "".join(rows)

    def publish(self, routes: str, pools: str) -> str:
        """Publish tables with the command-line client and return the revision."""
        with tempfile.TemporaryDirectory() as directory:
            Path(directory, "routes.toml").write_text(routes)
            Path(directory, "pools.toml").write_text(pools)
            program = self.processes.spawn(
                "fireflybridge_cli",
                "publish",
                directory,
                f"--platform-url=http://{self.platform.address}",
                "--author=features",
                "--json",
                *([f"--parent={self.revision}"] if self.revision else []),
            )
            code = program.wait_exit()
        assert code == 0, program.read_stdout() + program.read_stderr()
        self.revision = json.loads(program.read_stdout())["revision"]
        return self.revision

    def wait_serving(self, names: Sequence[str] = ()) -> None:
        """Wait until all daemons are ready and connected and each upstream has one owner."""
        chosen = list(names or self.daemons)
        upstreams = set(self.worker_addresses)

        def all_serve() -> bool:
            statuses = [self.read_status(name) for name in chosen]
            owned = [set(pool["owned"]) for status in statuses for pool in status["pools"]]
            return (
                all(status["ready"] for status in statuses)
                and all(len(status["peers"]) >= len(chosen) - 1 for status in statuses)
                and set().union(*owned) == upstreams
                and sum(map(len, owned)) == len(upstreams)
            )

        wait_until(all_serve, detail=f"{chosen} serve {sorted(upstreams)}")

    def read_status(self, name: str) -> dict[str, Any]:
        """Return a daemon's status from its operators' port."""
        status: dict[str, Any] = send_control(
            self.daemons[name].ready["operators"], "GET", "/v1/status"
        )
        return status

    def call(self, name: str, method: str, path: str, **options: Any) -> httpx.Response:
        """Send one request to the callers' port of a daemon."""
        url = f"http://{self.daemons[name].address}{path}"
        options = {"timeout": 60.0, **options}
        with httpx.Client(trust_env=False) as client:
            return client.request(method, url, **options)

    def submit(
        self, name: str, key: str, bodies: Sequence[str], *, route: str = "booking", **members: Any
    ) -> httpx.Response:
        """Submit a job and return the response."""
        job = {"route": route, "tasks": [{"body": body} for body in bodies], **members}
        return self.call(name, "POST", "/v1/jobs", json=job, headers={"Idempotency-Key": key})

    def make_prefix(self, name: str) -> str:
        """Return a key prefix issued by a daemon."""
        return str(self.call(name, "POST", "/v1/key-prefixes").json()["prefix"])

    def read_starts(self) -> list[dict[str, Any]]:
        """Return the start records of all workers."""
        starts: list[dict[str, Any]] = self.control_workers("GET", "/control/starts")
        return starts

    def set_worker_fault(self, fault: str, *workers: str) -> None:
        """Set the fault of the given workers, or of all workers if none are given."""
        for worker in workers or self.worker_addresses:
            self.control_workers("PUT", "/control/fault", {"fault": fault, "worker": worker})

    def control_workers(self, method: str, path: str, body: object = None) -> Any:
        """Call the workers' control port."""
        return send_control(self.workers.ready["control"], method, path, body)

    def set_platform_fault(self, **rule: Any) -> None:
        """Set the platform's fault mode."""
        send_control(self.platform.address, "PUT", "/control/fault", rule)

    def find_daemon_domain(self, name: str) -> str:
        """Return the failure domain of a daemon."""
        return self._find_domain(int(name.removeprefix("d")) - 1)

    def describe_workers(self) -> list[dict[str, str]]:
        """Return the host list entries of the workers."""
        return [
            self._describe_host(
                name, "upstream", self._find_domain(index), self._find_worker(name, address)
            )
            for index, (name, address) in enumerate(self.worker_addresses.items())
        ]

    def _find_peers(self, viewer: str) -> list[tuple[str, str]]:
        running = {name: p for name, p in self.daemons.items() if p.is_running()}
        return [
            (
                name,
                (
                    program.ready["peers"]
                    if self.proxy is None or name == viewer
                    else self._link(f"{viewer}-{name}", program.ready["peers"])
                ),
            )
            for name, program in running.items()
        ]

    def _link(self, name: str, target: str) -> str:
        assert self.proxy is not None
        links = send_control(self.proxy.program.address, "GET", "/links")
        if name not in links:
            return self.proxy.add_link(name, target)
        if links[name]["target"] != target:
            self.proxy.retarget(name, target)
        return str(links[name]["listen"])

    def _find_worker(self, name: str, address: str) -> str:
        return address if self.proxy is None else self._link(f"worker-{name}", address)

    def _find_domain(self, index: int) -> str:
        return f"fd{index % (self.plan.domains or self.plan.daemons) + 1}"

    def _describe_host(self, name: str, role: str, domain: str, address: str) -> dict[str, str]:
        state = "leaving" if name in self.leaving else "live"
        return {
            "name": name,
            "role": role,
            "state": state,
            "failure_domain": domain,
            "address": address,
        }
