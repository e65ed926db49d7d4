"""Soak test: run hosts on the users' platform under random faults and check their guarantees.

The seed determines the schedule but not the timing of the processes, so a seed that failed is run
several times.
"""

import argparse
import random
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent))

from support.callers import UNANSWERED, Attempt, Callers, choose_hosts
from support.invariants import Outage, find_violations
from support.processes import Processes, run_with_processes, wait_until
from support.schedule import TimedAction, run_schedule
from support.site import SiteDeployment

ZONES = 3
HOSTS_PER_ZONE = 2
UPSTREAMS_PER_ZONE = 3
WORK_MS = 100
JOBS_PER_S = 8  # a third of the capacity, so that refusals come from faults
FAULT_INTERVAL_S = 1.2  # faults overlap: each lasts up to 4 s
READY_TIMEOUT_S = 20.0  # a lost leader is replaced and one host leads again within seconds
PERIOD_S = 12.0  # of faults, followed by recovery and the checks
PAUSE_DURATIONS_S = (0.3, 1.0, 3.0)
FAULT_DURATIONS_S = (0.5, 2.0, 4.0)
LINK_FAULTS: tuple[dict[str, Any], ...] = (
    {"kind": "delay", "direction": "backward", "delay_ms": 150},
    {"kind": "drop", "direction": "forward"},
    {"kind": "drop", "direction": "backward"},
    {"kind": "hold", "direction": "forward"},
    {"kind": "hold", "direction": "backward"},
    {"kind": "refuse"},
    {"kind": "truncate", "direction": "backward", "after_bytes": 40},
    {"kind": "lose_answer", "count": 3},
)
UPSTREAM_FAULTS = ("fails", "hangs", "unhealthy", "mute")


@dataclass(slots=True)
class Soak:
    """Run periods of random jobs and faults on one deployment."""

    deployment: SiteDeployment
    callers: Callers
    rng: random.Random
    injected: Counter[str] = field(default_factory=Counter)
    outages: list[Outage] = field(default_factory=list)
    down: dict[str, float] = field(default_factory=dict)
    paused: dict[str, float] = field(default_factory=dict)

    def run_period(self) -> list[str]:
        """Run one period, clear its faults, and return its steps."""
        jobs = [self._make_job() for _ in range(int(JOBS_PER_S * PERIOD_S))]
        count = int(PERIOD_S / FAULT_INTERVAL_S)
        faults = [step for _ in range(count) for step in self._choose_fault()]
        steps = run_schedule([*jobs, *faults])
        self._clear_faults()
        self.callers.wait_all()
        return steps

    def find_violations(self) -> list[str]:
        """Return the violated guarantees and the hosts that aren't ready again."""
        runs = self.deployment.list_runs()
        unready = self._wait_ready()
        return [*unready, *find_violations(self.callers.attempts, runs, self.outages)]

    def _make_job(self) -> TimedAction:
        hosts = choose_hosts(self.rng, self.deployment.hosts)
        tasks = self.rng.choice((1, 1, 2, 4))
        at = self.rng.uniform(0.0, PERIOD_S)
        return TimedAction(
            at, f"job of {tasks} at {hosts[0]}", lambda: self.callers.submit(hosts, tasks)
        )

    def _choose_fault(self) -> list[TimedAction]:
        at = self.rng.uniform(0.0, PERIOD_S)
        host = self.rng.choice(sorted(self.deployment.hosts))
        upstream = self.rng.choice(sorted(self.deployment.control("state")["fences"]))
        match self.rng.choice(("kill", "stop", "pause", "hup", "store", "link", "upstream", "log")):
            case "pause":
                until = at + self.rng.choice(PAUSE_DURATIONS_S)
                return self._make_fault_pair(
                    "pause",
                    at,
                    until,
                    lambda: self._pause_host(host),
                    lambda: self._resume_host(host),
                    host,
                )
            case "kill" | "stop" as kind:
                until = at + self.rng.choice(PAUSE_DURATIONS_S)
                return self._make_fault_pair(
                    kind,
                    at,
                    until,
                    lambda: self._stop_host(host, kind),
                    lambda: self._restart_host(host),
                    host,
                )
            case "hup":
                return [self._make_counted_step("hup", at, lambda: self._reload_host(host), host)]
            case "store":
                names = self.rng.choice(([host], sorted(self.deployment.hosts)))
                return self._make_link_fault("store", at, [f"store-{name}" for name in names])
            case "link":
                return self._make_link_fault("link", at, [upstream])
            case "upstream":
                return self._make_upstream_fault(at, upstream)
            case _:
                return [self._make_counted_step("log", at, self._disturb_log, "")]

    def _make_link_fault(self, kind: str, at: float, links: list[str]) -> list[TimedAction]:
        proxy = self.deployment.proxy
        assert proxy is not None
        fault = self.rng.choice(LINK_FAULTS)
        until = at + self.rng.choice(FAULT_DURATIONS_S)
        return self._make_fault_pair(
            kind,
            at,
            until,
            lambda: proxy.set_faults(*links, faults=[fault]),
            lambda: proxy.clear_faults(*links),
            f"{fault['kind']} {links[0]}",
        )

    def _make_upstream_fault(self, at: float, upstream: str) -> list[TimedAction]:
        fault = self.rng.choice(UPSTREAM_FAULTS)
        until = at + self.rng.choice(FAULT_DURATIONS_S)
        path = f"upstreams/{upstream}"
        return self._make_fault_pair(
            "upstream",
            at,
            until,
            lambda: self._control(path, {fault: True}),
            lambda: self._control(path, {fault: False}),
            f"{fault} {upstream}",
        )

    def _make_fault_pair(
        self,
        kind: str,
        at: float,
        until: float,
        begin: Callable[[], None],
        end: Callable[[], None],
        detail: str,
    ) -> list[TimedAction]:
        return [
            self._make_counted_step(kind, at, begin, detail),
            TimedAction(until, f"end {kind} {detail}", end),
        ]

    def _make_counted_step(
        self, kind: str, at: float, act: Callable[[], None], detail: str
    ) -> TimedAction:
        def count_and_act() -> None:
            self.injected[kind] += 1
            act()

        return TimedAction(at, f"{kind} {detail}", count_and_act)

    def _control(self, path: str, body: dict[str, Any]) -> None:
        self.deployment.control(path, body)

    def _disturb_log(self) -> None:
        """Lose the response to the next append, and delete the history of the terms."""
        self._control("store", {"lost_appends": 1})
        self._control("forget/keyed.leaders", {})

    def _pause_host(self, host: str) -> None:
        if host not in self.down and host not in self.paused:
            self.paused[host] = time.monotonic()
            self.deployment.hosts[host].pause()

    def _resume_host(self, host: str) -> None:
        began_s = self.paused.pop(host, None)
        if began_s is not None:
            self.deployment.hosts[host].resume()
            self.outages.append(Outage(host, began_s, time.monotonic()))

    def _reload_host(self, host: str) -> None:
        """Send SIGHUP once the program handles it; before, it would terminate the interpreter."""
        program = self.deployment.hosts[host]
        if host not in self.down:
            wait_until(program.handles_reload, detail=f"{host} handles SIGHUP")
            program.reload()

    def _stop_host(self, host: str, kind: str) -> None:
        """Kill a host, or send it SIGTERM."""
        if host in self.down:
            return
        self._resume_host(host)
        self.down[host] = time.monotonic()
        program = self.deployment.hosts[host]
        if kind == "kill":
            program.kill()
            self.outages.append(Outage(host, self.down[host], time.monotonic()))
        else:
            program.terminate()

    def _restart_host(self, host: str) -> None:
        if self.down.pop(host, None) is not None:
            self.deployment.hosts[host].wait_exit()
            self.deployment.start_host(host)

    def _clear_faults(self) -> None:
        """Clear every fault and start the hosts that were stopped."""
        deployment = self.deployment
        for host in list(self.paused):
            self._resume_host(host)
        for host in list(self.down):
            self._restart_host(host)
        state = deployment.control("state")
        assert deployment.proxy is not None
        links = [*state["fences"], *(f"store-{host}" for host in deployment.hosts)]
        deployment.proxy.clear_faults(*links)
        for upstream in state["fences"]:
            self._control(f"upstreams/{upstream}", dict.fromkeys(UPSTREAM_FAULTS, False))
        self._control("store", {"lost_appends": 0})

    def _wait_ready(self) -> list[str]:
        """Return the hosts that aren't ready again although every fault was cleared."""
        return [
            f"{name} is not ready, exit code {program.process.poll()}"
            for name, program in self.deployment.hosts.items()
            if not self._becomes_ready(name)
        ]

    def _becomes_ready(self, host: str) -> bool:
        try:
            wait_until(lambda: self.deployment.is_ready(host), READY_TIMEOUT_S)
        except AssertionError:
            return False
        return True


def run_soak(processes: Processes, seed: int, seconds: float, logs: Path) -> int:
    """Run periods for a time or until one violates a guarantee; print the totals.

    The logs of all programs are saved in a folder if a guarantee was violated.
    """
    deployment = SiteDeployment(
        processes, ZONES, HOSTS_PER_ZONE, UPSTREAMS_PER_ZONE, WORK_MS, proxied=True
    )
    deployment.start()
    callers = Callers({name: f"{deployment.find_ip(name)}:8161" for name in deployment.hosts})
    soak = Soak(deployment, callers, random.Random(seed))
    began_s = time.monotonic()
    violations: list[str] = []
    try:
        while not violations and time.monotonic() < began_s + seconds:
            steps = soak.run_period()
            violations = soak.find_violations()
            print(*(steps if violations else ()), *violations, sep="\n", end="")
    finally:
        if violations or sys.exc_info()[0] is not None:
            save_logs(processes, logs / f"seed-{seed}")
    callers.close()
    print(f"seed {seed}: faults {dict(soak.injected)}, answers {count_answers(callers.attempts)}")
    print(f"{len(deployment.list_runs())} runs checked, {len(violations)} violations")
    deployment.close()
    return int(bool(violations))


def save_logs(processes: Processes, folder: Path) -> None:
    """Write what each program logged to a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    for program in processes.programs:
        output = program.read_stdout() + program.read_stderr()
        folder.joinpath(f"{program.pid}.log").write_text(output)
    print(f"logs are in {folder}")


def count_answers(attempts: list[Attempt]) -> dict[str, int]:
    """Return how many attempts got each answer."""
    return dict(
        Counter(
            attempt.state or ("none" if attempt.status == UNANSWERED else str(attempt.status))
            for attempt in attempts
        )
    )


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--logs", type=Path, default=Path("tmp/soak"), help="for failed seeds")
    return parser.parse_args()


def main() -> int:
    """Run the soak and end every process."""
    arguments = parse_arguments()
    return run_with_processes(
        lambda processes: run_soak(processes, arguments.seed, arguments.seconds, arguments.logs)
    )


if __name__ == "__main__":
    sys.exit(main())
