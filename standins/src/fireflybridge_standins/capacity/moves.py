"""Measure the total CPU of all daemons per start when tasks move between daemons.

Jobs are sent to one daemon or to all in turn, while all daemons own upstreams.
"""

import argparse
import json
import re
import sys
from dataclasses import asdict, dataclass

import anyio
import httpx

from fireflybridge_standins.capacity._deployment import ROUTE, Deployment, Scale
from fireflybridge_standins.capacity._programs import Program, Programs
from fireflybridge_standins.load import Plan, run_load

US_PER_S = 1e6
MOVED_TASKS = re.compile(r'^fireflybridge_tasks_moved_total{direction="out"} (\S+)', re.MULTILINE)
MESSAGES = re.compile(r'^fireflybridge_peer_messages_total{direction="out".*} (\S+)', re.MULTILINE)
HEARTBEAT = re.compile(r'^.*kind="Heartbeat".*\n', re.MULTILINE)


@dataclass(frozen=True, slots=True)
class MoveCost:
    """Cost of starts when jobs are sent to ``entries`` of the daemons.

    CPU is the sum over the daemons; messages do not include heartbeats.
    """

    daemons: int
    entries: int
    workers: int
    starts_per_s: float
    cpu_us_per_start: float
    moved_share: float
    messages_per_start: float
    refused: int


def main() -> int:
    """Print one line for each round and number of daemons that jobs are sent to."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemons", type=int, default=2)
    parser.add_argument("--workers", type=int, default=96)
    parser.add_argument("--jobs", type=int, default=40)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--body", default="sleep=100;" + "x" * 90)
    arguments = parser.parse_args()
    with Programs() as programs:
        scale = Scale(daemons=arguments.daemons, workers=arguments.workers, worker_processes=2)
        deployment = Deployment(programs, scale)
        for _ in range(arguments.rounds):
            for entries in (arguments.daemons, 1):
                cost = _measure(deployment, entries, arguments.jobs, arguments.body)
                print(json.dumps(asdict(cost)), flush=True)
    return 0


def _measure(deployment: Deployment, entries: int, jobs: int, body: str) -> MoveCost:
    daemons = deployment.daemons
    addresses = tuple(daemon.address for daemon in daemons[:entries])
    before = [(daemon.read_cpu_s(), *_read_metrics(daemon)) for daemon in daemons]
    plan = Plan(addresses, ROUTE, 300, jobs, 2 * len(daemons), 30.0, body)
    report = anyio.run(run_load, plan, backend_options={"use_uvloop": True})
    after = [(daemon.read_cpu_s(), *_read_metrics(daemon)) for daemon in daemons]
    cpu_s, moved, messages = (
        sum(row[index] for row in after) - sum(row[index] for row in before) for index in range(3)
    )
    return MoveCost(
        daemons=len(daemons),
        entries=entries,
        workers=deployment.scale.workers,
        starts_per_s=report.tasks_done / report.elapsed_s,
        cpu_us_per_start=cpu_s / report.tasks_done * US_PER_S,
        moved_share=moved / report.tasks_done,
        messages_per_start=messages / report.tasks_done,
        refused=report.submissions - report.answers.get("complete", 0),
    )


def _read_metrics(daemon: Program) -> tuple[float, float]:
    """Return the numbers of tasks moved out and of messages sent except heartbeats."""
    url = f"http://{daemon.ready['operators']}/metrics"
    text = HEARTBEAT.sub("", httpx.get(url, trust_env=False).text)
    return sum(map(float, MOVED_TASKS.findall(text))), sum(map(float, MESSAGES.findall(text)))


if __name__ == "__main__":
    sys.exit(main())
