"""Deployment to measure: platform, workers and daemons on loopback."""

import os
import time
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import anyio
import httpx

from fireflybridge_platform import HttpLog
from fireflybridge_standins.capacity._programs import Program, Programs
from fireflybridge_tables import (
    TABLES_STREAM,
    Pool,
    Quota,
    Revision,
    RevisionHead,
    Route,
    Tables,
    Upstream,
    compute_changes,
    encode_record,
)

ROUTE = "load"
POOL = "pool"
WINDOW_MS = 60_000
READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
DOMAINS = 5


@dataclass(frozen=True, slots=True)
class Scale:
    """Size of a deployment; the workers are distributed evenly over ``worker_processes``."""

    daemons: int = 1
    workers: int = 24
    worker_processes: int = 1
    slots: int = 8
    routes: int = 1
    teams: int = 1


class Deployment:
    """Running programs of one deployment, and the tables that it uses."""

    def __init__(
        self,
        programs: Programs,
        scale: Scale,
        environments: tuple[Mapping[str, str], ...] = ({},),
        module: str = "fireflybridge_daemon",
    ) -> None:
        self._programs = programs
        self.scale = scale
        self._tables = Tables()
        self._revision_count = 0
        self.platform = programs.start("fireflybridge_standins.platform")
        self.workers = [
            programs.start(
                "fireflybridge_standins.worker",
                f"--name=w{index}",
                f"--count={scale.workers // scale.worker_processes}",
                "--forget-starts",
            )
            for index in range(scale.worker_processes)
        ]
        self.publish(self.make_tables())
        self.daemons = [
            self._start_daemon(index, module, environments[index % len(environments)])
            for index in range(scale.daemons)
        ]
        self._publish_hosts()
        self.wait_until_serving()

    def make_tables(self, extra_routes: int = 0, teams: int = 0, expected_ms: int = 1) -> Tables:
        """Return the tables of this scale.

        ``extra_routes`` are added; ``teams``, unless 0, replaces the number of quotas;
        ``expected_ms`` is the declared run time of the route that the load uses.
        """
        upstreams = tuple(
            Upstream(name, address, self.scale.slots, 64, f"domain-{index % DOMAINS}")
            for index, (name, address) in enumerate(self._list_workers())
        )
        quotas = tuple(Quota(f"team-{index}") for index in range(teams or self.scale.teams))
        names = [ROUTE, *(f"route-{n}" for n in range(1, self.scale.routes + extra_routes))]
        routes = {name: Route(name, POOL, True, WINDOW_MS, WINDOW_MS // 2, 1) for name in names}
        routes[ROUTE] = replace(routes[ROUTE], expected_ms=expected_ms)
        return Tables(routes, {POOL: Pool(POOL, upstreams, True, quotas)})

    def publish(self, tables: Tables) -> str:
        """Append a revision with these tables to the log and return its id."""
        parent = f"revision-{self._revision_count}" if self._revision_count else ""
        self._revision_count += 1
        revision = f"revision-{self._revision_count}"
        head = RevisionHead(revision, parent, "capacity", "2026-12-04T08:00:00Z")
        record = encode_record(Revision(head, tuple(compute_changes(self._tables, tables))))
        anyio.run(_append, f"http://{self.platform.address}", record)
        self._tables = tables
        return revision

    def wait_until_serving(self) -> None:
        """Wait until all daemons are ready and know each other, and all upstreams are owned."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not self._is_serving():
            if time.monotonic() > deadline:
                raise RuntimeError(f"the deployment does not serve after {READY_TIMEOUT_S} s")
            time.sleep(POLL_INTERVAL_S)

    def measure_in_force_s(self, tables: Tables) -> float:
        """Publish tables and return the seconds until the last daemon has them in force."""
        started = time.monotonic()
        revision = self.publish(tables)
        waiting = list(self.daemons)
        with httpx.Client(trust_env=False, timeout=READY_TIMEOUT_S) as client:
            while waiting:
                waiting = [
                    daemon
                    for daemon in waiting
                    if _read_status(client, daemon)["tables_revision"] != revision
                ]
                if time.monotonic() - started > READY_TIMEOUT_S:
                    raise RuntimeError(f"{revision} is not in force after {READY_TIMEOUT_S} s")
        return time.monotonic() - started

    def read_counters(self) -> dict[str, Any]:
        """Return the counters of the platform stand-in."""
        url = f"http://{self.platform.address}/control/counters"
        counters: dict[str, Any] = httpx.get(url, trust_env=False).json()
        return counters

    def end(self) -> None:
        """End every program of the deployment."""
        self._programs.end([*self.daemons, *self.workers, self.platform])

    def _is_serving(self) -> bool:
        with httpx.Client(trust_env=False, timeout=READY_TIMEOUT_S) as client:
            statuses = [_read_status(client, daemon) for daemon in self.daemons]
        owned = sum(len(pool["owned"]) for status in statuses for pool in status["pools"])
        worker_count = sum(len(worker.ready["workers"]) for worker in self.workers)
        peers_complete = all(len(status["peers"]) == len(self.daemons) - 1 for status in statuses)
        return (
            peers_complete and owned == worker_count and all(status["ready"] for status in statuses)
        )

    def _start_daemon(self, index: int, module: str, environment: Mapping[str, str]) -> Program:
        return self._programs.start(
            module,
            f"--name=d{index}",
            f"--failure-domain=domain-{index % DOMAINS}",
            f"--platform-url=http://{self.platform.address}",
            "--insecure-peers",
            "--callers-address=127.0.0.1:0",
            "--operators-address=127.0.0.1:0",
            "--peer-address=127.0.0.1:0",
            "--log-level=error",
            environment={**os.environ, **environment},
        )

    def _publish_hosts(self) -> None:
        daemons = ((f"d{n}", "entry", d.ready["peers"]) for n, d in enumerate(self.daemons))
        workers = ((name, "upstream", address) for name, address in self._list_workers())
        hosts = [
            {
                "name": name,
                "role": role,
                "state": "live",
                "failure_domain": f"domain-{index % DOMAINS}",
                "address": address,
            }
            for entries in (daemons, workers)
            for index, (name, role, address) in enumerate(entries)
        ]
        url = f"http://{self.platform.address}/control/hosts"
        httpx.put(url, json={"hosts": hosts}, trust_env=False).raise_for_status()

    def _list_workers(self) -> list[tuple[str, str]]:
        return [entry for worker in self.workers for entry in worker.ready["workers"].items()]


async def _append(url: str, record: bytes) -> None:
    async with HttpLog(url) as log:
        (await log.append(TABLES_STREAM, record)).unwrap()


def _read_status(client: httpx.Client, daemon: Program) -> dict[str, Any]:
    status: dict[str, Any] = client.get(f"http://{daemon.ready['operators']}/v1/status").json()
    return status
