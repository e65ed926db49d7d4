"""Run random faults, resubmissions and cancellations on real processes and report violations.

Each run draws its schedule from ``<seed>/<run>``, so ``--first`` repeats a single run. The schedule
is reproducible; the exact moments at which the processes act on it are not.
"""

import argparse
import random
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent))

from support.checks import RecordingClient, Request, make_request, make_unkeyed, read_starts
from support.control import send_control
from support.deployment import Deployment, Plan
from support.processes import Processes, run_with_processes
from support.schedule import TimedAction, run_schedule

DAEMONS = ("d1", "d2", "d3")
DEADLINE_MS = 4000
SUBMISSIONS = 24
FAULTS = 3
SPREAD_S = 2.5  # the first calls and the faults of a run begin within this time
# Each entry is equally likely, so worker faults are drawn twice as often as any other.
FAULT_KINDS = (
    "worker",
    "worker",
    "log",
    "partition",
    "link",
    "platform",
    "hosts",
    "pause",
    "pause-workers",
    "kill",
    "stop",
)


@dataclass(slots=True)
class Explorer:
    """Draws random schedules and runs them on one deployment.

    ``down`` holds the daemons that a fault of this run has killed or told to stop.
    """

    deployment: Deployment
    client: RecordingClient
    generator: random.Random = field(default_factory=random.Random)
    injected: Counter[str] = field(default_factory=Counter)
    down: set[str] = field(default_factory=set)
    workers_paused: bool = False

    def run(self, seed: str) -> list[str]:
        """Run the schedule of a seed, undo its faults, and return its actions as text."""
        self.generator.seed(seed)
        actions = [action for _ in range(SUBMISSIONS) for action in self._draw_submission()]
        actions += [action for _ in range(FAULTS) for action in self._draw_fault()]
        performed = run_schedule(actions)
        self._recover()
        self.client.wait_all()
        return performed

    def _draw_submission(self) -> list[TimedAction]:
        """Draw a submission, its resubmissions and sometimes a cancellation or a query."""
        draw = self.generator
        request, first = self._draw_request(), draw.choice(DAEMONS)
        at = draw.uniform(0.0, SPREAD_S)
        actions = [self._make_call(at, first, request, "POST")]
        if request.key:
            for _ in range(draw.choice((0, 1, 1, 2))):
                resent_at = at + draw.choice((0.0, 0.05, 0.5, 2.0))
                actions.append(self._make_call(resent_at, draw.choice(DAEMONS), request, "POST"))
            if draw.random() < 0.2:
                cancelled_at = at + draw.uniform(0.0, 0.5)
                actions.append(self._make_call(cancelled_at, first, request, "DELETE"))
            if draw.random() < 0.2:
                queried_at = at + draw.uniform(0.0, 2.0)
                actions.append(self._make_call(queried_at, draw.choice(DAEMONS), request, "GET"))
        return actions

    def _draw_request(self) -> Request:
        draw = self.generator
        sleep_ms, route = draw.choice((10, 100, 600)), draw.choice(("booking", "payment"))
        tasks = draw.choice((1, 4, 12))
        match draw.choice(("chosen", "prefixed", "single", "unkeyed")):
            case "prefixed":
                prefix = self.deployment.make_prefix(draw.choice(DAEMONS))
                return make_request(
                    tasks, sleep_ms, prefix=prefix, route=route, deadline_ms=DEADLINE_MS
                )
            case "single":
                return make_request(1, sleep_ms, route=route, single=True, deadline_ms=DEADLINE_MS)
            case "unkeyed":
                return make_unkeyed(sleep_ms)
            case _:
                return make_request(tasks, sleep_ms, route=route, deadline_ms=DEADLINE_MS)

    def _make_call(self, at: float, daemon: str, request: Request, method: str) -> TimedAction:
        def send_request() -> None:
            self.client.send(daemon, request, method)

        return TimedAction(at, f"{method} {request.key or 'unkeyed'} at {daemon}", send_request)

    def _draw_fault(self) -> list[TimedAction]:
        """Draw a fault and the action that ends it.

        Daemons that were killed or stopped start again only at the end of the run.
        """
        draw = self.generator
        at = draw.uniform(0.1, SPREAD_S)
        until = at + draw.choice((0.3, 1.0, 4.0))
        name = draw.choice(DAEMONS)
        other = draw.choice([one for one in DAEMONS if one != name])
        match draw.choice(FAULT_KINDS):
            case "worker":
                return self._draw_worker_fault(at, until)
            case "log":
                return self._draw_log_fault(at, until)
            case "partition":
                return self._draw_partition(
                    at, until, "partition", f"{name}-{other}", f"{other}-{name}"
                )
            case "link":
                return self._draw_link_fault(at, until, f"{name}-{other}")
            case "platform":
                return self._draw_partition(at, until, "platform", f"{name}-platform")
            case "hosts":
                return [
                    self._make_fault(at, "hosts empty", self._empty_host_list),
                    TimedAction(until, "hosts listed", self.deployment.update_host_list),
                ]
            case "pause-workers":
                return [
                    self._make_fault(at, "pause-workers", self._pause_workers),
                    TimedAction(until, "resume-workers", self._resume_workers),
                ]
            case "pause":
                return [
                    self._make_fault(at, f"pause {name}", lambda: self._pause(name)),
                    TimedAction(until, f"resume {name}", lambda: self._resume(name)),
                ]
            case kind:
                return [
                    self._make_fault(at, f"{kind} {name}", lambda: self._end_daemon(name, kind))
                ]

    def _draw_worker_fault(self, at: float, until: float) -> list[TimedAction]:
        fault = self.generator.choice(("reset", "truncate", "fail", "refuse", "hang"))
        workers = self.generator.sample(sorted(self.deployment.worker_addresses), 3)
        return [
            self._make_fault(at, f"worker-{fault}", lambda: self._set_fault(fault, *workers)),
            TimedAction(until, "workers recover", lambda: self._set_fault("none", *workers)),
        ]

    def _draw_log_fault(self, at: float, until: float) -> list[TimedAction]:
        mode = self.generator.choice(("refuse", "lose_answers", "hang", "slow"))
        set_fault = self.deployment.set_platform_fault
        return [
            self._make_fault(at, f"log-{mode}", lambda: set_fault(mode=mode, latency_ms=500)),
            TimedAction(until, "log recovers", lambda: set_fault(mode="none")),
        ]

    def _draw_link_fault(self, at: float, until: float, link: str) -> list[TimedAction]:
        """Draw a fault of one link between two daemons or of a worker's link.

        Most kinds affect one direction only.
        """
        draw = self.generator
        worker = f"worker-{draw.choice(sorted(self.deployment.worker_addresses))}"
        target, direction = draw.choice((link, worker)), draw.choice(("forward", "backward"))
        fault = draw.choice(
            (
                {"kind": "delay", "direction": direction, "delay_ms": 400},
                {"kind": "drop", "direction": direction},
                {"kind": "hold", "direction": direction},
                {"kind": "truncate", "direction": direction, "after_bytes": draw.randrange(600)},
                {"kind": "lose_answer", "count": 3},
            )
        )
        return self._make_link_fault(at, until, f"link-{fault['kind']}", fault, target)

    def _draw_partition(self, at: float, until: float, kind: str, *links: str) -> list[TimedAction]:
        """Draw whether links drop or hold their traffic."""
        fault = {"kind": self.generator.choice(("drop", "hold"))}
        return self._make_link_fault(at, until, kind, fault, *links)

    def _make_link_fault(
        self, at: float, until: float, kind: str, fault: dict[str, Any], *links: str
    ) -> list[TimedAction]:
        """Return the actions that set a fault on links and clear it."""
        proxy = self.deployment.proxy
        assert proxy is not None
        return [
            self._make_fault(
                at, f"{kind} {links[0]}", lambda: proxy.set_faults(*links, faults=[fault])
            ),
            TimedAction(until, f"heal {links[0]}", lambda: proxy.clear_faults(*links)),
        ]

    def _make_fault(self, at: float, name: str, action: Callable[[], None]) -> TimedAction:
        def count_and_act() -> None:
            self.injected[name.split()[0]] += 1
            action()

        return TimedAction(at, name, count_and_act)

    def _set_fault(self, fault: str, *workers: str) -> None:
        # Paused workers can't take the call; _recover clears their fault at the end of the run.
        if not self.workers_paused:
            self.deployment.set_worker_fault(fault, *workers)

    def _empty_host_list(self) -> None:
        for viewer in self.deployment.daemons:
            path = f"/view/{viewer}/control/hosts"
            send_control(self.deployment.platform.address, "PUT", path, {"hosts": []})

    def _pause_workers(self) -> None:
        self.workers_paused = True
        self.deployment.workers.pause()

    def _resume_workers(self) -> None:
        self.deployment.workers.resume()
        self.workers_paused = False

    def _pause(self, name: str) -> None:
        if name not in self.down:
            self.deployment.daemons[name].pause()

    def _resume(self, name: str) -> None:
        if name not in self.down:
            self.deployment.daemons[name].resume()

    def _end_daemon(self, name: str, kind: str) -> None:
        """Kill a daemon, or send it SIGTERM."""
        daemon = self.deployment.daemons[name]
        if name in self.down:
            return
        self.down.add(name)
        (self.client.killed if kind == "kill" else self.client.stopped).add(daemon.address)
        if kind == "kill":
            daemon.kill()
        else:
            daemon.resume()
            daemon.terminate()

    def _recover(self) -> None:
        """Undo every fault and restart the daemons that were killed or stopped."""
        self.deployment.set_platform_fault(mode="none")
        self._resume_workers()
        self.deployment.set_worker_fault("none")
        for name in sorted(self.down):
            self.deployment.daemons[name].wait_exit(60.0)
            self.deployment.start_daemon(name)
        self.down.clear()
        self.deployment.wait_serving()


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--first", type=int, default=0, help="number of the first run")
    return parser.parse_args()


def explore(processes: Processes, seed: int, first: int, runs: int) -> int:
    """Run schedules until one shows a violation; print the totals and return the exit code."""
    deployment = Deployment(processes, Plan(daemons=3, workers=2, proxied=True))
    deployment.start()
    client = RecordingClient(deployment)
    explorer = Explorer(deployment, client)
    violations: list[str] = []
    done = 0
    for number in range(first, first + runs):
        actions = explorer.run(f"{seed}/{number}")
        done += 1
        if violations := client.find_violations():
            print(f"run {number} of seed {seed}:", *actions, "", *violations, sep="\n")
            break
    client.close()
    faults = " ".join(f"{kind}={count}" for kind, count in sorted(explorer.injected.items()))
    print(f"seed {seed}: {done} runs, {len(client.calls)} calls, faults: {faults}")
    answers = Counter(
        call.state or call.problem or f"status {call.status}" for call in client.calls
    )
    print("answers:", *(f"{kind}={count}" for kind, count in sorted(answers.items())))
    print(f"{len(read_starts(deployment))} starts checked, {len(violations)} violations")
    return 1 if violations else 0


def main() -> int:
    """Run the explorer, end every process, and return the exit code."""
    arguments = parse_arguments()
    return run_with_processes(
        lambda processes: explore(processes, arguments.seed, arguments.first, arguments.runs)
    )


if __name__ == "__main__":
    sys.exit(main())
