"""Performance of the daemon's policy, in the figures for which there are targets."""

from dataclasses import dataclass

from fireflybridge_standins.policy_probe._ideal import admit_clairvoyantly, compute_ideal_response
from fireflybridge_standins.policy_probe._report import (
    DAEMON_POLICY,
    WARM_UP_S,
    compute_p99_response,
    compute_quantile,
    run_seeds,
)
from fireflybridge_standins.policy_probe._workload import (
    BATCH,
    SINGLE,
    add_flood,
    compute_mean_residual_s,
    draw_arrivals,
)

IDEAL_FACTOR = 1.5


@dataclass(frozen=True, slots=True)
class PolicyPerformance:
    """Goodput and p99 response time of single requests, and the bounds to compare them with.

    Goodput is the tasks per second of jobs that were completely answered within the window.
    """

    goodput: float
    ideal_goodput: float
    single_p99_s: float
    single_bound_s: float


def measure_load(seed: int, load: float, length_s: float) -> PolicyPerformance:
    """Simulate the policy with the arrivals of one seed at one load."""
    arrivals = draw_arrivals(seed, load, length_s)
    results = run_seeds(DAEMON_POLICY, {seed: arrivals})
    served = sum(len(result.arrival.run_times_s) for result in results if result.served)
    ideal = sum(
        len(arrival.run_times_s)
        for arrival in admit_clairvoyantly(arrivals)
        if arrival.at_s >= WARM_UP_S
    )
    singles = [result.arrival for result in results if result.arrival.kind is SINGLE]
    ideal_s = compute_quantile([compute_ideal_response(arrival) for arrival in singles], 0.99)
    return PolicyPerformance(
        goodput=served / (length_s - WARM_UP_S),
        ideal_goodput=ideal / (length_s - WARM_UP_S),
        single_p99_s=compute_p99_response(results, (SINGLE,)),
        single_bound_s=IDEAL_FACTOR * ideal_s + compute_mean_residual_s(),
    )


def measure_flood(seed: int, length_s: float) -> tuple[float, float]:
    """Return the p99 of short jobs, in seconds, without and with another team's flood."""
    baseline = draw_arrivals(seed, 0.5, length_s)
    runs = baseline, add_flood(seed, baseline, length_s)
    baseline_s, flood_s = (
        compute_p99_response(run_seeds(DAEMON_POLICY, {seed: run}), (SINGLE, BATCH)) for run in runs
    )
    return baseline_s, flood_s
