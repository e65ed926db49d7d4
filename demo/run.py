"""Run both partners' demos: platform, workers, three daemons, tables, jobs through the CLI."""

import sys
import time
from dataclasses import dataclass
from pathlib import Path

from support.deployment import Deployment, Plan
from support.processes import Processes

TABLES_DIRECTORY = Path(__file__).parent.parent / "tables"


@dataclass(frozen=True, slots=True)
class DemoJob:
    """Job to submit: its route and the bodies of its tasks."""

    route: str
    bodies: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Partner:
    """Partner: the pool of its deployment and the jobs that it submits."""

    name: str
    pool: str
    jobs: tuple[DemoJob, ...]


PARTNERS = (
    Partner(
        "colonies-teranga",
        "enrolment",
        (
            DemoJob("place-check", tuple(f"sleep=60;seat {seat}" for seat in range(30))),
            DemoJob("deposit-confirmation", ("sleep=120;deposit 17",)),
            DemoJob("payment-receipt", ("sleep=80;receipt 17", "sleep=80;receipt 18")),
        ),
    ),
    Partner(
        "punarjani",
        "pickup-desk",
        (
            DemoJob("booking", ("sleep=50;wardrobe, Kochi",)),
            DemoJob("valuation", tuple(f"sleep=300;item {item}" for item in range(12))),
            DemoJob("listing", ("sleep=90;table", "sleep=90;chair")),
        ),
    ),
)


def run_partner(partner: Partner) -> bool:
    """Run one partner's deployment and jobs; return whether every job completed."""
    processes = Processes()
    try:
        deployment = Deployment(
            processes,
            Plan(
                workers=8,
                slots=8,
                speed="1.0,0.7,1.4",
                routes=Path(TABLES_DIRECTORY, partner.name, "routes.toml").read_text(),
                pool=partner.pool,
            ),
        )
        deployment.start()
        print(f"{partner.name}: {len(deployment.daemons)} daemons serve", flush=True)
        completed = [run_job(deployment, index, job) for index, job in enumerate(partner.jobs)]
        return all(completed)
    finally:
        still_running = processes.end_all()
        processes.close()
        if still_running:
            raise SystemExit(f"still running: {still_running}")


def run_job(deployment: Deployment, index: int, job: DemoJob) -> bool:
    """Submit a job to one of the daemons with the CLI and print its output."""
    daemon = deployment.daemons[f"d{index % len(deployment.daemons) + 1}"]
    started = time.monotonic()
    program = deployment.processes.spawn(
        "fireflybridge_cli",
        "submit",
        f"--daemon-url=http://{daemon.address}",
        job.route,
        *job.bodies,
    )
    exit_code = program.wait_exit()
    elapsed_s = time.monotonic() - started
    print(
        f"  {job.route}: {len(job.bodies)} tasks, exit {exit_code}, {elapsed_s:.2f} s with the CLI"
    )
    print("".join(f"    {line}\n" for line in program.read_stdout().splitlines()[:4]), end="")
    return exit_code == 0


if __name__ == "__main__":
    succeeded = [run_partner(partner) for partner in PARTNERS]
    sys.exit(0 if all(succeeded) else 1)
