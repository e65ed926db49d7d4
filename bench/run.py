"""Replay seeded traces against the baselines and the daemons, interleaved, and print a table."""

import argparse
import json
import os
from collections.abc import Sequence
from dataclasses import asdict
from functools import partial
from pathlib import Path

import anyio
import httpx
from support.deployment import Deployment, Plan
from support.processes import Processes

from fireflybridge_standins.bench import (
    JOB_KINDS,
    PEAK_END_SHARE,
    PEAK_START_SHARE,
    SLOTS_PER_WORKER,
    SPEEDS,
    WORKERS,
    Baseline,
    LeastOutstanding,
    RandomChoice,
    RoundRobin,
    SharedFifo,
    Summary,
    digest_trace,
    make_trace,
    plot_summaries,
    replay_baseline,
    replay_daemons,
    summarize,
)

RESULTS_DIRECTORY = Path(__file__).parent / "results"
BASELINES = {
    "random": RandomChoice(),
    "round-robin": RoundRobin(),
    "one-fifo": SharedFifo(),
    "least-outstanding": LeastOutstanding(),
}
DAEMON_POLICY = "fireflybridge"
DAEMONS = 7
DOMAINS = 3
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--loads", default="0.7,1.0,1.5,2.0")
    parser.add_argument("--seconds", type=float, default=15.0, help="length of one trace")
    parser.add_argument("--policies", default=",".join([*BASELINES, DAEMON_POLICY]))
    parser.add_argument("--output", default=str(RESULTS_DIRECTORY / "latest.json"))
    return parser.parse_args()


def make_routes() -> str:
    """Return the routes table of the traces; the declared run times are deliberately inaccurate."""
    return "".join(
        f'[[routes]]\nname = "{kind.route}"\npool = "bench"\nidempotent = false\n'
        f"window_ms = {kind.window_ms}\ntimeout_ms = 60000\nexpected_ms = 300\n"
        for kind in JOB_KINDS
    )


def read_cpu_s(pids: Sequence[int]) -> float:
    """Return the total CPU time that processes have used, in seconds."""
    fields = [Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split() for pid in pids]
    return sum(int(row[11]) + int(row[12]) for row in fields) / TICKS_PER_S


def count_wasted_messages(deployment: Deployment) -> float:
    """Return the number of messages between all daemons that moved no task."""
    total = 0.0
    for program in deployment.daemons.values():
        text = httpx.get(f"http://{program.ready['operators']}/metrics", trust_env=False).text
        rows = [
            row
            for row in text.splitlines()
            if row.startswith("fireflybridge_wasted_messages_total")
        ]
        total += sum(float(row.split()[1]) for row in rows)
    return total


def run_policy(
    deployment: Deployment, policy: str, load: float, seed: int, seconds: float
) -> Summary:
    """Replay one trace under one policy."""
    jobs = make_trace(seed, load, seconds)
    peak_s = (PEAK_END_SHARE - PEAK_START_SHARE) * seconds
    pids = [program.pid for program in deployment.daemons.values()]
    if policy in BASELINES:
        addresses = list(deployment.worker_addresses.values())
        baseline = Baseline(BASELINES[policy], addresses, seed)
        start_cpu_s = sum(os.times()[:2])
        results = anyio.run(
            partial(replay_baseline, jobs, baseline), backend_options={"use_uvloop": True}
        )
        cpu_s, wasted = sum(os.times()[:2]) - start_cpu_s, 0.0
    else:
        addresses = [program.address for program in deployment.daemons.values()]
        start_cpu_s, wasted = read_cpu_s(pids), count_wasted_messages(deployment)
        results = anyio.run(
            partial(replay_daemons, jobs, addresses, seed), backend_options={"use_uvloop": True}
        )
        cpu_s, wasted = read_cpu_s(pids) - start_cpu_s, count_wasted_messages(deployment) - wasted
    return summarize(policy, load, seed, peak_s, results, wasted, cpu_s)


def print_row(summary: Summary) -> None:
    """Print one line of the table."""
    goodput_share = summary.peak_goodput_s / max(1e-9, summary.peak_bound_s)
    short = " ".join(f"{value:7.2f}" for value in summary.short)
    long = " ".join(f"{value:7.2f}" for value in summary.long)
    print(
        f"{summary.load:4.1f} {summary.seed:4d} {summary.policy:18s} {summary.jobs:5d} "
        f"{summary.peak_service:7.3f} {goodput_share:7.3f} {summary.refused:7.3f}  {short}  {long} "
        f"{summary.wasted_per_task:7.4f} {summary.cpu_us_per_task:7.0f}",
        flush=True,
    )


def main() -> None:
    """Run every policy at every load and seed, and write the results."""
    arguments = parse_arguments()
    processes = Processes()
    try:
        plan = Plan(
            daemons=DAEMONS,
            workers=WORKERS,
            total_workers=WORKERS,
            domains=DOMAINS,
            slots=SLOTS_PER_WORKER,
            # Workers are assigned to the failure domains in turn, so each domain gets every speed.
            speed=",".join(str(speed) for speed in SPEEDS for _ in range(DOMAINS)),
            routes=make_routes(),
            pool="bench",
        )
        deployment = Deployment(processes, plan)
        deployment.start()
        print(
            "load seed policy              jobs service goodput refused"
            "  short: mean, p50, p99, p99.9     long: mean, p50, p99, p99.9     wasted  cpu_us"
        )
        summaries = []
        for seed in map(int, arguments.seeds.split(",")):
            for load in map(float, arguments.loads.split(",")):
                for policy in arguments.policies.split(","):
                    summaries.append(run_policy(deployment, policy, load, seed, arguments.seconds))
                    print_row(summaries[-1])
    finally:
        processes.end_all()
        processes.close()
    traces = {
        f"seed {seed}, load {load}": digest_trace(
            make_trace(int(seed), float(load), arguments.seconds)
        )
        for seed in arguments.seeds.split(",")
        for load in arguments.loads.split(",")
    }
    output = Path(arguments.output)
    output.parent.mkdir(exist_ok=True)
    data = {
        "seconds": arguments.seconds,
        "time_scale": 1.0,
        "traces": traces,
        "rows": [asdict(summary) for summary in summaries],
    }
    output.write_text(json.dumps(data, indent=1) + "\n")
    plot_summaries(summaries, output.with_suffix(".png"))


if __name__ == "__main__":
    main()
