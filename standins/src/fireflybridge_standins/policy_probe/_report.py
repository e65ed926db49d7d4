"""Report of the simulations as Markdown tables."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial

import anyio

from fireflybridge_dispatch import PoolQueue
from fireflybridge_standins.policy_probe._baselines import (
    DaemonPolicy,
    Fifo,
    LeastOutstanding,
    Policy,
    RandomOrder,
    RoundRobin,
)
from fireflybridge_standins.policy_probe._ideal import admit_clairvoyantly, compute_ideal_response
from fireflybridge_standins.policy_probe._simulation import Result, run_policy
from fireflybridge_standins.policy_probe._workload import (
    BATCH,
    FLOOD_TEAM,
    SINGLE,
    Arrival,
    JobKind,
    add_flood,
    compute_mean_residual_s,
    draw_arrivals,
    list_speeds,
    make_pool,
)

WARM_UP_S = 10.0  # earlier arrivals only train the run-time estimates and are not counted

DAEMON_POLICY = "ours"

POLICIES: dict[str, Callable[[int], Policy]] = {
    DAEMON_POLICY: lambda seed: DaemonPolicy(PoolQueue(make_pool(), anyio.current_time)),
    "fifo": lambda seed: Fifo(),
    "random": RandomOrder,
    "round robin": lambda seed: RoundRobin(),
    "least outstanding": lambda seed: LeastOutstanding(tuple(list_speeds())),
}


def compute_quantile(values: Sequence[float], quantile: float) -> float:
    """Return a quantile, or NaN if there are no values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


@dataclass(frozen=True, slots=True)
class AnsweredShares:
    """Shares of the offered jobs, tasks and work that were completely answered in the window."""

    jobs: float
    tasks: float
    work: float


def compute_shares(part: Sequence[Arrival], whole: Sequence[Arrival]) -> AnsweredShares:
    """Return the shares of the jobs, tasks and work of ``whole`` that are in ``part``."""
    return AnsweredShares(
        len(part) / len(whole),
        sum(len(arrival.run_times_s) for arrival in part)
        / sum(len(arrival.run_times_s) for arrival in whole),
        sum(arrival.work_s for arrival in part) / sum(arrival.work_s for arrival in whole),
    )


def format_slowdowns(results: Sequence[Result]) -> str:
    """Return mean, p50, p99 and p99.9 of response time divided by the ideal."""
    ratios = [
        result.response_s / compute_ideal_response(result.arrival)
        for result in results
        if result.served and result.response_s is not None
    ]
    mean = sum(ratios) / len(ratios) if ratios else float("nan")
    statistics = (mean, *(compute_quantile(ratios, quantile) for quantile in (0.5, 0.99, 0.999)))
    return " / ".join(f"{statistic:.1f}" for statistic in statistics)


def format_row(name: str, results: Sequence[Result], ideal: AnsweredShares) -> str:
    """Return the table row of one policy at one load."""
    offered = [result.arrival for result in results]
    served = compute_shares([result.arrival for result in results if result.served], offered)
    peak_results = [result for result in results if result.arrival.in_peak]
    at_peak = compute_shares(
        [result.arrival for result in peak_results if result.served],
        [result.arrival for result in peak_results],
    )
    waits = [
        result.first_wait_s
        for result in results
        if result.arrival.kind is SINGLE and result.first_wait_s is not None
    ]
    short = [result for result in results if not result.arrival.kind.long]
    long = [result for result in results if result.arrival.kind.long]
    refused = sum(not result.admitted for result in results) / len(results)
    missed = sum(result.admitted and not result.served for result in results) / len(results)
    cells = (
        name,
        f"{at_peak.jobs:.3f}",
        f"{at_peak.tasks:.3f}",
        f"{at_peak.work:.3f}",
        f"{served.work / ideal.work:.3f}",
        f"{served.tasks / ideal.tasks:.3f}",
        f"{refused:.3f}",
        f"{missed:.3f}",
        format_slowdowns(short),
        format_slowdowns(long),
        f"{compute_quantile(waits, 0.5) * 1e3:.0f} / {compute_quantile(waits, 0.99) * 1e3:.0f}",
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
    ideal_jobs = [arrival for jobs in admitted for arrival in jobs if arrival.at_s >= WARM_UP_S]
    offered = [arrival for run in runs.values() for arrival in run if arrival.at_s >= WARM_UP_S]
    ideal = compute_shares(ideal_jobs, offered)
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
        if name == DAEMON_POLICY:
            summary = format_summary(results, len(seeds) * (length_s - WARM_UP_S))
    if DAEMON_POLICY in only:
        print("\n" + summary)


def format_summary(results: Sequence[Result], length_s: float) -> str:
    """Return the goodput and the p99 response times of short jobs under the daemon's policy."""
    served = [result.arrival for result in results if result.served]
    lines = [
        f"Ours answers {sum(len(arrival.run_times_s) for arrival in served) / length_s:.0f}"
        f" tasks/s and {sum(arrival.work_s for arrival in served) / length_s:.1f} s of work per s"
        " within the window.",
    ]
    for kind in (SINGLE, BATCH):
        answered = [
            result
            for result in results
            if result.arrival.kind is kind and result.response_s is not None
        ]
        response = compute_quantile([result.response_s or 0.0 for result in answered], 0.99)
        ideal = compute_quantile(
            [compute_ideal_response(result.arrival) for result in answered], 0.99
        )
        bound = 1.5 * ideal + compute_mean_residual_s()
        lines.append(
            f"p99 of {kind.route}: {response:.2f} s; ideal {ideal:.2f} s; 1.5 of the ideal and"
            f" one residual slot time {bound:.2f} s."
        )
    return "\n".join(lines)


def print_flood(seeds: Sequence[int], length_s: float) -> None:
    """Print how a flood by one team changes the p99 response time of the others' short jobs."""
    print("\n## Flood by one team\n")
    print("| policy | p99 of others, calm s | p99 of others, flood s | ratio | ratio of single |")
    print("| --- | --- | --- | --- | --- |")
    baseline = {seed: draw_arrivals(seed, 0.5, length_s) for seed in seeds}
    flooded = {seed: add_flood(seed, run, length_s) for seed, run in baseline.items()}
    for name in POLICIES:
        results = run_seeds(name, baseline), run_seeds(name, flooded)
        (baseline_s, flood_s), (baseline_single_s, flood_single_s) = (
            [compute_p99_response(run, kinds) for run in results]
            for kinds in ((SINGLE, BATCH), (SINGLE,))
        )
        print(
            f"| {name} | {baseline_s:.3f} | {flood_s:.3f} | {flood_s / baseline_s:.2f}"
            f" | {flood_single_s / baseline_single_s:.2f} |",
            flush=True,
        )


def compute_p99_response(results: Sequence[Result], kinds: Sequence[JobKind]) -> float:
    """Return the p99 response time of the jobs of some kinds, without those of the flood.

    A job without a complete answer counts with its window, so that dropped jobs do not lower the
    result.
    """
    return compute_quantile(
        [
            result.arrival.kind.window_s if result.response_s is None else result.response_s
            for result in results
            if result.arrival.kind in kinds and result.arrival.team != FLOOD_TEAM
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
