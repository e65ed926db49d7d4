"""Tables of the measurement."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio

from fireflybridge_dispatch import PoolQueue
from fireflybridge_standins.policy_probe._baselines import (
    Fifo,
    LeastOutstanding,
    Ours,
    Policy,
    RandomOrder,
    RoundRobin,
)
from fireflybridge_standins.policy_probe._ideal import admit_clairvoyantly, find_ideal_response
from fireflybridge_standins.policy_probe._run import Result, run_policy
from fireflybridge_standins.policy_probe._workload import (
    SINGLE,
    Arrival,
    draw_arrivals,
    list_speeds,
    make_pool,
)

WARM_UP_S = 10.0  # arrivals before this teach the estimates and are not counted

POLICIES: dict[str, Callable[[int], Policy]] = {
    "ours": lambda seed: Ours(PoolQueue(make_pool(), anyio.current_time)),
    "fifo": lambda seed: Fifo(),
    "random": RandomOrder,
    "round robin": lambda seed: RoundRobin(),
    "least outstanding": lambda seed: LeastOutstanding(tuple(list_speeds())),
}


def find_quantile(values: Sequence[float], quantile: float) -> float:
    """Return a quantile, or NaN of nothing."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


@dataclass(frozen=True, slots=True)
class Served:
    """Hold shares of what was offered that was answered whole within the window."""

    jobs: float
    tasks: float
    work: float


def share(part: Sequence[Arrival], whole: Sequence[Arrival]) -> Served:
    """Return the part's share of jobs, tasks and work."""
    return Served(
        len(part) / len(whole),
        sum(len(one.sizes_s) for one in part) / sum(len(one.sizes_s) for one in whole),
        sum(one.work_s for one in part) / sum(one.work_s for one in whole),
    )


def format_slowdowns(results: Sequence[Result]) -> str:
    """Return mean, p50, p99 and p99.9 of response over ideal."""
    ratios = [
        one.response_s / find_ideal_response(one.arrival)
        for one in results
        if one.served and one.response_s is not None
    ]
    mean = sum(ratios) / len(ratios) if ratios else float("nan")
    figures = (mean, *(find_quantile(ratios, quantile) for quantile in (0.5, 0.99, 0.999)))
    return " / ".join(f"{figure:.1f}" for figure in figures)


def format_row(name: str, results: Sequence[Result], ideal: Served) -> str:
    """Return the table row of one policy at one load."""
    offered = [one.arrival for one in results]
    served = share([one.arrival for one in results if one.served], offered)
    peak = [one for one in results if one.arrival.peak]
    at_peak = share([one.arrival for one in peak if one.served], [one.arrival for one in peak])
    waits = [
        one.first_wait_s
        for one in results
        if one.arrival.kind is SINGLE and one.first_wait_s is not None
    ]
    short = [one for one in results if not one.arrival.kind.long]
    long = [one for one in results if one.arrival.kind.long]
    refused = sum(not one.admitted for one in results) / len(results)
    broken = sum(one.admitted and not one.served for one in results) / len(results)
    cells = (
        name,
        f"{at_peak.jobs:.3f}",
        f"{at_peak.tasks:.3f}",
        f"{at_peak.work:.3f}",
        f"{served.work / ideal.work:.3f}",
        f"{served.tasks / ideal.tasks:.3f}",
        f"{refused:.3f}",
        f"{broken:.3f}",
        format_slowdowns(short),
        format_slowdowns(long),
        f"{find_quantile(waits, 0.5) * 1e3:.0f} / {find_quantile(waits, 0.99) * 1e3:.0f}",
    )
    return "| " + " | ".join(cells) + " |"


HEADER = (
    "policy",
    "jobs at peak",
    "tasks at peak",
    "work at peak",
    "work / ideal",
    "tasks / ideal",
    "refused",
    "missed",
    "short: mean / p50 / p99 / p99.9",
    "long: mean / p50 / p99 / p99.9",
    "wait of single, p50 / p99 ms",
)


def print_report(seeds: Sequence[int], loads: Sequence[float], length_s: float, only: Sequence[str] | None) -> None:
    """Run every policy at every load and print one table for each load."""
    for load in loads:
        runs = {seed: draw_arrivals(seed, load, length_s) for seed in seeds}
        counted = [one for run in runs.values() for one in run if one.at_s >= WARM_UP_S]
        ideal_jobs = [
            one
            for run in runs.values()
            for one in admit_clairvoyantly(run)
            if one.at_s >= WARM_UP_S
        ]
        ideal = share(ideal_jobs, counted)
        print(f"\nLoad {load}: {len(counted)} jobs; clairvoyant: {ideal}\n")
        print("| " + " | ".join(HEADER) + " |")
        print("|" + " --- |" * len(HEADER))
        for name, make in POLICIES.items():
            if only and name not in only:
                continue
            results = [
                result
                for seed, run in runs.items()
                for result in run_policy(lambda make=make, seed=seed: make(seed), run)  # type: ignore[misc]
                if result.arrival.at_s >= WARM_UP_S
            ]
            print(format_row(name, results, ideal), flush=True)
