"""Tables of the measurement."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial

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
    BATCH,
    FLOOD_TEAM,
    SINGLE,
    Arrival,
    Kind,
    add_flood,
    draw_arrivals,
    find_residual,
    list_speeds,
    make_pool,
)

WARM_UP_S = 10.0  # arrivals before this teach the estimates and are not counted

OURS = "ours"

POLICIES: dict[str, Callable[[int], Policy]] = {
    OURS: lambda seed: Ours(PoolQueue(make_pool(), anyio.current_time)),
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


def run_seeds(name: str, runs: Mapping[int, Sequence[Arrival]]) -> list[Result]:
    """Run a policy over the arrivals of each seed and return the results after the warm-up."""
    return [
        result
        for seed, run in runs.items()
        for result in run_policy(partial(POLICIES[name], seed), run)
        if result.arrival.at_s >= WARM_UP_S
    ]


def print_load(seeds: Sequence[int], load: float, length_s: float, only: Sequence[str]) -> None:
    """Run every policy at one load and print its table."""
    runs = {seed: draw_arrivals(seed, load, length_s) for seed in seeds}
    admitted = [admit_clairvoyantly(run) for run in runs.values()]
    ideal_jobs = [one for jobs in admitted for one in jobs if one.at_s >= WARM_UP_S]
    offered = [one for run in runs.values() for one in run if one.at_s >= WARM_UP_S]
    ideal = share(ideal_jobs, offered)
    print(
        f"\n## Load {load}\n\n{len(offered)} jobs. Clairvoyant admission answers"
        f" {ideal.jobs:.3f} of the jobs, {ideal.tasks:.3f} of the tasks and {ideal.work:.3f} of the"
        " work.\n"
    )
    print("| " + " | ".join(HEADER) + " |")
    print("|" + " --- |" * len(HEADER))
    for name in only:
        results = run_seeds(name, runs)
        print(format_row(name, results, ideal), flush=True)
        if name == OURS:
            summary = format_summary(results, len(seeds) * (length_s - WARM_UP_S))
    if OURS in only:
        print("\n" + summary)


def format_summary(results: Sequence[Result], length_s: float) -> str:
    """Return goodput and the response of short jobs of the project's own policy."""
    served = [one.arrival for one in results if one.served]
    lines = [
        f"Ours answers {sum(len(one.sizes_s) for one in served) / length_s:.0f} tasks/s and"
        f" {sum(one.work_s for one in served) / length_s:.1f} s of work per s within the window.",
    ]
    for kind in (SINGLE, BATCH):
        mine = [one for one in results if one.arrival.kind is kind and one.response_s is not None]
        response = find_quantile([one.response_s or 0.0 for one in mine], 0.99)
        ideal = find_quantile([find_ideal_response(one.arrival) for one in mine], 0.99)
        bound = 1.5 * ideal + find_residual()
        lines.append(
            f"p99 of {kind.route}: {response:.2f} s; ideal {ideal:.2f} s; 1.5 of the ideal and"
            f" one residual slot time {bound:.2f} s."
        )
    return "\n".join(lines)


def print_flood(seeds: Sequence[int], length_s: float) -> None:
    """Print how much a flood by one team moves the short response of the other teams."""
    print("\n## Flood by one team\n")
    print("| policy | p99 of others, calm s | p99 of others, flood s | ratio | ratio of single |")
    print("| --- | --- | --- | --- | --- |")
    calm = {seed: draw_arrivals(seed, 0.5, length_s) for seed in seeds}
    flooded = {seed: add_flood(seed, run, length_s) for seed, run in calm.items()}
    for name in POLICIES:
        results = run_seeds(name, calm), run_seeds(name, flooded)
        (calm_s, flood_s), (calm_single_s, flood_single_s) = (
            [find_response(run, kinds) for run in results] for kinds in ((SINGLE, BATCH), (SINGLE,))
        )
        print(
            f"| {name} | {calm_s:.3f} | {flood_s:.3f} | {flood_s / calm_s:.2f}"
            f" | {flood_single_s / calm_single_s:.2f} |",
            flush=True,
        )


def find_response(results: Sequence[Result], kinds: Sequence[Kind]) -> float:
    """Return the p99 of response of the jobs of some kinds that do not belong to the flood.

    A job without a whole answer counts with its window, so that dropped jobs do not look fast.
    """
    return find_quantile(
        [
            one.arrival.kind.window_s if one.response_s is None else one.response_s
            for one in results
            if one.arrival.kind in kinds and one.arrival.team != FLOOD_TEAM
        ],
        0.99,
    )


def print_report(
    seeds: Sequence[int], loads: Sequence[float], length_s: float, only: Sequence[str] | None
) -> None:
    """Run every policy at every load, then the flood, and print the tables."""
    for load in loads:
        print_load(seeds, load, length_s, only or tuple(POLICIES))
    if not only:
        print_flood(seeds, length_s)
