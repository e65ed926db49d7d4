"""Soak test: run hosts on the users' platform under random faults and check their guarantees.

The seed determines the schedule but not the timing of the processes, so a seed that failed is run
several times.
"""

import argparse
import os
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from support.callers import UNANSWERED, Attempt, Callers
from support.invariants import find_violations
from support.placed_jobs import count_shared_jobs, find_double_placements, find_shared_jobs
from support.processes import Processes, run_with_processes, wait_until
from support.rotation import Rotation
from support.schedule import TimedAction, run_schedule
from support.site import SiteDeployment
from support.site_faults import SiteFaults

ZONES = 3
HOSTS_PER_ZONE = 2
UPSTREAMS_PER_ZONE = 3
WORK_MS = 100
JOBS_PER_S = 8  # a third of the capacity, so that refusals come from faults
ANY_HOST_SHARE = 0.25  # of callers whose hosts the platform doesn't choose
JOINED_UPSTREAMS = (None, 0)  # one host leads all failure domains, or each has its own leader
FAULT_INTERVAL_S = 0.9  # faults overlap: each lasts up to 4 s
READY_TIMEOUT_S = 20.0  # a lost leader is replaced and one host leads again within seconds
PERIOD_S = 12.0  # of faults, followed by recovery and the checks


@dataclass(slots=True)
class Soak:
    """Run periods of random jobs and faults on one deployment."""

    deployment: SiteDeployment
    callers: Callers
    rotation: Rotation
    faults: SiteFaults
    rng: random.Random

    def run_period(self) -> list[str]:
        """Run one period, clear its faults, and return its steps."""
        jobs = [self._make_job() for _ in range(int(JOBS_PER_S * PERIOD_S))]
        count = int(PERIOD_S / FAULT_INTERVAL_S)
        faults = [step for _ in range(count) for step in self._choose_fault()]
        steps = run_schedule([*jobs, *faults])
        self.faults.clear()
        self.callers.wait_all()
        return steps

    def find_violations(self) -> list[str]:
        """Return the violated guarantees and the hosts that aren't ready again."""
        runs = self.deployment.list_runs()
        unready = self._wait_ready()
        pairs = find_double_placements(self.deployment.read_logs())
        return [
            *unready,
            *(f"two leaders had placed tasks of one job: {pair}" for pair in pairs),
            *find_violations(self.callers.attempts, runs, self.faults.outages),
        ]

    def _choose_fault(self) -> list[TimedAction]:
        return self.faults.choose(self.rng.uniform(0.0, PERIOD_S))

    def _make_job(self) -> TimedAction:
        domain = self.rng.choice(sorted(set(self.rotation.domains.values())))
        goes_anywhere = self.rng.random() < ANY_HOST_SHARE
        rng = random.Random(self.rng.random())
        tasks = self.rng.choice((1, 1, 2, 4))
        at = self.rng.uniform(0.0, PERIOD_S)

        def choose_host() -> str:
            if goes_anywhere:
                return rng.choice(sorted(self.deployment.hosts))
            return self.rotation.choose_host(rng, domain)

        return TimedAction(
            at, f"job of {tasks} from {domain}", lambda: self.callers.submit(choose_host, tasks)
        )

    def close(self) -> None:
        """Stop the threads of the callers and of the rotation."""
        self.callers.close()
        self.rotation.close()

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
    rng = random.Random(seed)
    deployment = SiteDeployment(
        processes,
        ZONES,
        HOSTS_PER_ZONE,
        UPSTREAMS_PER_ZONE,
        WORK_MS,
        joined_upstreams=rng.choice(JOINED_UPSTREAMS),
        proxied=True,
    )
    deployment.start()
    soak = make_soak(deployment, rng)
    began_s = time.monotonic()
    violations: list[str] = []
    try:
        while not violations and time.monotonic() < began_s + seconds:
            steps = soak.run_period()
            violations = soak.find_violations()
            if violations:
                print(*steps, *soak.faults.list_holds(), *violations, sep="\n")
    finally:
        if violations or sys.exc_info()[0] is not None:
            save_logs(processes, logs / f"seed-{seed}-{os.getpid()}")
    soak.close()
    print_totals(soak, seed)
    print(f"{len(deployment.list_runs())} runs checked, {len(violations)} violations")
    deployment.close()
    return int(bool(violations))


def make_soak(deployment: SiteDeployment, rng: random.Random) -> Soak:
    """Return a soak of a deployment, with callers whom the platform's rotation sends to hosts."""
    addresses = {name: deployment.find_ip(name) for name in deployment.hosts}
    domains = {name: deployment.find_zone(name) for name in deployment.hosts}
    rotation = Rotation(addresses, domains)
    rotation.start()
    callers = Callers({name: f"{address}:8161" for name, address in addresses.items()})
    return Soak(deployment, callers, rotation, SiteFaults(deployment, rng), rng)


def print_totals(soak: Soak, seed: int) -> None:
    """Print the faults, the answers, and how many jobs two leaders had at the same time."""
    answers = count_answers(soak.callers.attempts)
    shared = find_shared_jobs(soak.deployment.read_logs())
    print(f"seed {seed}: faults {dict(soak.faults.injected)}, answers {answers}")
    for pair in shared:
        print(f"two leaders had one job: {pair}")
    leads_all = soak.deployment.joined_upstreams is None
    print(f"one host leads all: {leads_all}, shared jobs {count_shared_jobs(shared)}")


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
