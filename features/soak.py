"""Run hosts on the users' platform under random faults and check what they promise.

The schedule follows from the seed. The moments at which processes act on it do not, so a seed that
failed is played several times.
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
from support.processes import Processes, run_over_processes, wait_until
from support.promises import Disturbance, find_violations
from support.schedule import Step, play_steps
from support.site import SiteDeployment

ZONES = 3
HOSTS_EACH = 2
UPSTREAMS_EACH = 3
WORK_MS = 100
JOBS_PER_S = 8  # a third of the room, so that refusals come from faults
FAULT_GAP_S = 1.2  # faults overlap: each lasts up to 4 s
READY_LIMIT_S = 20.0  # a lost leader is replaced and joined again within a few seconds
PERIOD_S = 12.0  # faults, then recovery and the checks
PAUSES_S = (0.3, 1.0, 3.0)
LASTS_S = (0.5, 2.0, 4.0)
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
    """Own one deployment, and draw and play periods over it."""

    deployment: SiteDeployment
    callers: Callers
    draw: random.Random
    injected: Counter[str] = field(default_factory=Counter)
    disturbances: list[Disturbance] = field(default_factory=list)
    down: dict[str, float] = field(default_factory=dict)
    paused: dict[str, float] = field(default_factory=dict)

    def play(self) -> list[str]:
        """Play one period, undo its faults, and return its steps."""
        jobs = [self._make_job() for _ in range(int(JOBS_PER_S * PERIOD_S))]
        count = int(PERIOD_S / FAULT_GAP_S)
        faults = [step for _ in range(count) for step in self._draw_fault()]
        played = play_steps([*jobs, *faults])
        self._undo()
        self.callers.wait_all()
        return played

    def find_violations(self) -> list[str]:
        """Return what callers and upstreams saw against the promises."""
        runs = self.deployment.list_runs()
        unready = self._wait_ready()
        return [*unready, *find_violations(self.callers.attempts, runs, self.disturbances)]

    def _make_job(self) -> Step:
        hosts = choose_hosts(self.draw, self.deployment.hosts)
        tasks = self.draw.choice((1, 1, 2, 4))
        at = self.draw.uniform(0.0, PERIOD_S)
        return Step(at, f"job of {tasks} at {hosts[0]}", lambda: self.callers.submit(hosts, tasks))

    def _draw_fault(self) -> list[Step]:
        at = self.draw.uniform(0.0, PERIOD_S)
        host = self.draw.choice(sorted(self.deployment.hosts))
        upstream = self.draw.choice(sorted(self.deployment.control("state")["fences"]))
        match self.draw.choice(
            ("kill", "stop", "pause", "hup", "store", "link", "upstream", "log")
        ):
            case "pause":
                until = at + self.draw.choice(PAUSES_S)
                return self._pair(
                    "pause", at, until, lambda: self._pause(host), lambda: self._resume(host), host
                )
            case "kill" | "stop" as kind:
                until = at + self.draw.choice(PAUSES_S)
                return self._pair(
                    kind,
                    at,
                    until,
                    lambda: self._end(host, kind),
                    lambda: self._restart(host),
                    host,
                )
            case "hup":
                return [self._make_fault("hup", at, lambda: self._reload(host), host)]
            case "store":
                names = self.draw.choice(([host], sorted(self.deployment.hosts)))
                return self._draw_link_fault("store", at, [f"store-{name}" for name in names])
            case "link":
                return self._draw_link_fault("link", at, [upstream])
            case "upstream":
                return self._draw_upstream_fault(at, upstream)
            case _:
                return [self._make_fault("log", at, self._disturb_log, "")]

    def _draw_link_fault(self, kind: str, at: float, links: list[str]) -> list[Step]:
        proxy = self.deployment.proxy
        assert proxy is not None
        fault = self.draw.choice(LINK_FAULTS)
        until = at + self.draw.choice(LASTS_S)
        return self._pair(
            kind,
            at,
            until,
            lambda: proxy.set_faults(*links, faults=[fault]),
            lambda: proxy.clear_faults(*links),
            f"{fault['kind']} {links[0]}",
        )

    def _draw_upstream_fault(self, at: float, upstream: str) -> list[Step]:
        fault = self.draw.choice(UPSTREAM_FAULTS)
        until = at + self.draw.choice(LASTS_S)
        path = f"upstreams/{upstream}"
        return self._pair(
            "upstream",
            at,
            until,
            lambda: self._control(path, {fault: True}),
            lambda: self._control(path, {fault: False}),
            f"{fault} {upstream}",
        )

    def _pair(
        self,
        kind: str,
        at: float,
        until: float,
        begin: Callable[[], None],
        end: Callable[[], None],
        detail: str,
    ) -> list[Step]:
        return [self._make_fault(kind, at, begin, detail), Step(until, f"end {kind} {detail}", end)]

    def _make_fault(self, kind: str, at: float, act: Callable[[], None], detail: str) -> Step:
        def count_and_act() -> None:
            self.injected[kind] += 1
            act()

        return Step(at, f"{kind} {detail}", count_and_act)

    def _control(self, path: str, body: dict[str, Any]) -> None:
        self.deployment.control(path, body)

    def _disturb_log(self) -> None:
        """Lose the answer of the next append, and drop the history of the terms."""
        self._control("store", {"lost_appends": 1})
        self._control("forget/keyed.leaders", {})

    def _pause(self, host: str) -> None:
        if host not in self.down and host not in self.paused:
            self.paused[host] = time.monotonic()
            self.deployment.hosts[host].pause()

    def _resume(self, host: str) -> None:
        began_s = self.paused.pop(host, None)
        if began_s is not None:
            self.deployment.hosts[host].resume()
            self.disturbances.append(Disturbance(host, began_s, time.monotonic()))

    def _reload(self, host: str) -> None:
        """Send SIGHUP as soon as the program has begun; before, it ends the interpreter itself."""
        program = self.deployment.hosts[host]
        if host not in self.down:
            wait_until(program.handles_reload, detail=f"{host} has begun")
            program.reload()

    def _end(self, host: str, kind: str) -> None:
        """Kill a host, or send it SIGTERM."""
        if host in self.down:
            return
        self._resume(host)
        self.down[host] = time.monotonic()
        program = self.deployment.hosts[host]
        if kind == "kill":
            program.kill()
            self.disturbances.append(Disturbance(host, self.down[host], time.monotonic()))
        else:
            program.terminate()

    def _restart(self, host: str) -> None:
        if self.down.pop(host, None) is not None:
            self.deployment.hosts[host].wait_exit()
            self.deployment.start_host(host)

    def _undo(self) -> None:
        """Undo every fault and start the hosts that have ended."""
        deployment = self.deployment
        for host in list(self.paused):
            self._resume(host)
        for host in list(self.down):
            self._restart(host)
        state = deployment.control("state")
        assert deployment.proxy is not None
        links = [*state["fences"], *(f"store-{host}" for host in deployment.hosts)]
        deployment.proxy.clear_faults(*links)
        for upstream in state["fences"]:
            self._control(f"upstreams/{upstream}", dict.fromkeys(UPSTREAM_FAULTS, False))
        self._control("store", {"lost_appends": 0})

    def _wait_ready(self) -> list[str]:
        """Return the hosts that don't take jobs again although every fault is over."""
        return [
            f"{name} is not ready, exit code {program.process.poll()}"
            for name, program in self.deployment.hosts.items()
            if not self._becomes_ready(name)
        ]

    def _becomes_ready(self, host: str) -> bool:
        try:
            wait_until(lambda: self.deployment.is_ready(host), READY_LIMIT_S)
        except AssertionError:
            return False
        return True


def run_soak(processes: Processes, seed: int, seconds: float, logs: Path) -> int:
    """Play periods for a time or until one breaks a promise; print the totals.

    The logs of every program go to a folder if a promise was broken.
    """
    deployment = SiteDeployment(processes, ZONES, HOSTS_EACH, UPSTREAMS_EACH, WORK_MS, proxied=True)
    deployment.start()
    callers = Callers({name: f"{deployment.find_ip(name)}:8161" for name in deployment.hosts})
    soak = Soak(deployment, callers, random.Random(seed))
    began_s = time.monotonic()
    violations: list[str] = []
    try:
        while not violations and time.monotonic() < began_s + seconds:
            played = soak.play()
            violations = soak.find_violations()
            print(*(played if violations else ()), *violations, sep="\n", end="")
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
    """Return how many tries got which answer."""
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
    """Soak and end every process."""
    arguments = parse_arguments()
    return run_over_processes(
        lambda processes: run_soak(processes, arguments.seed, arguments.seconds, arguments.logs)
    )


if __name__ == "__main__":
    sys.exit(main())
