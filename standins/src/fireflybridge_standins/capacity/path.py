"""Measure the CPU that one daemon spends on a start, and compare it with a TCP echo.

Each round measures in turn the daemon of each ``--tree``, a directory with a ``packages`` folder,
so that two versions can be compared in one run.
"""

import argparse
import json
import statistics
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from pathlib import Path

import anyio

from fireflybridge_standins.capacity._deployment import ROUTE, Deployment, Scale
from fireflybridge_standins.capacity._echo import measure_echo, serve_echo
from fireflybridge_standins.capacity._programs import Program, Programs
from fireflybridge_standins.load import Plan, run_load

ROOT = Path(__file__).parents[4]
SIZES = (300, 30, 1, 0)
CONNECTIONS = 6
WORKERS = 24
WORKER_PROCESSES = 2
ECHO_CONNECTIONS = 192
US_PER_S = 1e6
BACKEND_OPTIONS = {"use_uvloop": True}


@dataclass(frozen=True, slots=True)
class StartCost:
    """Cost of starts in jobs of ``size`` tasks; 0 stands for single requests.

    ``busy`` is the CPU time of the daemon divided by the elapsed time, ``load_busy`` that of the
    load generator and ``worker_busy`` that of the busiest worker process. The daemon is the
    bottleneck if ``busy`` is near 1 and the others are lower.
    """

    tree: str
    size: int
    cpu_us_per_start: float
    echo_us: float
    starts_per_s: float
    busy: float
    load_busy: float
    worker_busy: float
    p50_ms: float
    refused: int


def main() -> int:
    """Run the rounds; print each measurement to stderr and the medians of each tree."""
    arguments = parse_arguments()
    if arguments.echo_server:
        anyio.run(serve_echo, backend_options=BACKEND_OPTIONS)
        return 0
    costs = [*measure_rounds(arguments.tree, arguments.size, arguments.rounds, arguments.tasks)]
    for tree in arguments.tree:
        for size in arguments.size:
            print(json.dumps(summarize(tree, size, costs)))
    return 0


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tree", action="append", help="checkout to measure; may be repeated")
    parser.add_argument("--size", action="append", type=int, help="tasks of a job; 0: single")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--tasks", type=int, default=9000, help="tasks of one measurement")
    parser.add_argument("--echo-server", action="store_true", help="only serve the bare stream")
    arguments = parser.parse_args()
    arguments.tree = arguments.tree or [str(ROOT)]
    arguments.size = arguments.size or list(SIZES)
    return arguments


def measure_rounds(
    trees: list[str], sizes: list[int], rounds: int, tasks: int
) -> Iterator[StartCost]:
    """Warm up each tree, then yield the costs of each round, size and tree."""
    with Programs() as programs:
        echo = programs.start("fireflybridge_standins.capacity.path", "--echo-server")
        deployments = {tree: _start_deployment(programs, tree) for tree in trees}
        for tree in trees:
            _measure(deployments[tree], echo, tree, 300, tasks // 3)
        for _ in range(rounds):
            for size in sizes:
                for tree in trees:
                    count = tasks if size > 1 else tasks // 5
                    cost = _measure(deployments[tree], echo, tree, size, count)
                    print(json.dumps(asdict(cost)), file=sys.stderr, flush=True)
                    yield cost


def summarize(tree: str, size: int, all_costs: list[StartCost]) -> dict[str, object]:
    """Return the medians over the rounds; ratios are computed within each round."""
    costs = [cost for cost in all_costs if (cost.tree, cost.size) == (tree, size)]
    first_costs = [c for c in all_costs if (c.tree, c.size) == (all_costs[0].tree, size)]
    cpu_us = [cost.cpu_us_per_start for cost in costs]
    ratios = [
        c.cpu_us_per_start / f.cpu_us_per_start for c, f in zip(costs, first_costs, strict=True)
    ]
    return {
        "tree": tree,
        "size": size,
        "ratio_to_first": round(statistics.median(ratios), 3),
        "cpu_us_per_start": round(statistics.median(cpu_us), 1),
        "least_us": round(min(cpu_us), 1),
        "spread_us": round(max(cpu_us) - min(cpu_us), 1),
        "echo_us": round(statistics.median(cost.echo_us for cost in costs), 1),
        "ratio_to_echo": round(
            statistics.median(cost.cpu_us_per_start / cost.echo_us for cost in costs), 2
        ),
        "starts_per_s": round(statistics.median(cost.starts_per_s for cost in costs)),
        "starts_per_core_s": round(US_PER_S / statistics.median(cpu_us)),
        "busy": round(statistics.median(cost.busy for cost in costs), 2),
        "load_busy": round(statistics.median(cost.load_busy for cost in costs), 2),
        "worker_busy": round(statistics.median(cost.worker_busy for cost in costs), 2),
        "refused": sum(cost.refused for cost in costs),
    }


def make_python_path(tree: str) -> str:
    """Return a ``PYTHONPATH`` that finds every library in one checkout."""
    return ":".join(
        map(str, [*sorted(Path(tree).glob("packages/*/src")), Path(tree, "standins/src")])
    )


def _start_deployment(programs: Programs, tree: str) -> Deployment:
    environment = {"PYTHONPATH": make_python_path(tree)}
    scale = Scale(workers=WORKERS, worker_processes=WORKER_PROCESSES)
    return Deployment(programs, scale, (environment,))


@contextmanager
def _measure_cpu(programs: list[Program]) -> Iterator[list[float]]:
    """Yield a list that on exit receives the CPU seconds that each program used in the block."""
    before_s = [program.read_cpu_s() for program in programs]
    used_s: list[float] = []
    yield used_s
    used_s.extend(
        program.read_cpu_s() - start_s for program, start_s in zip(programs, before_s, strict=True)
    )


def _measure(deployment: Deployment, echo: Program, tree: str, size: int, tasks: int) -> StartCost:
    echo_us = anyio.run(
        measure_echo, echo.address, ECHO_CONNECTIONS, 10_000, backend_options=BACKEND_OPTIONS
    )
    daemon = deployment.daemons[0]
    connections = CONNECTIONS if size > 1 else 4 * CONNECTIONS
    plan = Plan((daemon.address,), ROUTE, size, tasks // max(size, 1), connections, 30.0, "x" * 100)
    with _measure_cpu([daemon, *deployment.workers]) as used_s:
        report = anyio.run(run_load, plan, backend_options=BACKEND_OPTIONS)
    return StartCost(
        tree=tree,
        size=size,
        cpu_us_per_start=used_s[0] / report.tasks_done * US_PER_S,
        echo_us=echo_us,
        starts_per_s=report.tasks_done / report.elapsed_s,
        busy=used_s[0] / report.elapsed_s,
        load_busy=report.cpu_s / report.elapsed_s,
        worker_busy=max(used_s[1:]) / report.elapsed_s,
        p50_ms=report.p50_ms,
        refused=report.submissions - report.answers.get("complete", 0),
    )


if __name__ == "__main__":
    sys.exit(main())
