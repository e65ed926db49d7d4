"""Figures of the project's own policy that stated targets bound."""

from dataclasses import dataclass

from fireflybridge_standins.policy_probe._ideal import admit_clairvoyantly, find_ideal_response
from fireflybridge_standins.policy_probe._report import (
    OURS,
    WARM_UP_S,
    find_quantile,
    find_response,
    run_seeds,
)
from fireflybridge_standins.policy_probe._workload import (
    BATCH,
    SINGLE,
    add_flood,
    draw_arrivals,
    find_residual,
)

IDEAL_FACTOR = 1.5


@dataclass(frozen=True, slots=True)
class Targets:
    """Hold tasks per second answered whole within the window, and the p99 of single requests."""

    goodput: float
    ideal_goodput: float
    single_p99_s: float
    single_bound_s: float


def measure_load(seed: int, load: float, length_s: float) -> Targets:
    """Run the policy over one seed's arrivals at one load."""
    arrivals = draw_arrivals(seed, load, length_s)
    results = run_seeds(OURS, {seed: arrivals})
    served = sum(len(one.arrival.sizes_s) for one in results if one.served)
    ideal = sum(len(one.sizes_s) for one in admit_clairvoyantly(arrivals) if one.at_s >= WARM_UP_S)
    singles = [one.arrival for one in results if one.arrival.kind is SINGLE]
    ideal_s = find_quantile([find_ideal_response(one) for one in singles], 0.99)
    return Targets(
        goodput=served / (length_s - WARM_UP_S),
        ideal_goodput=ideal / (length_s - WARM_UP_S),
        single_p99_s=find_response(results, (SINGLE,)),
        single_bound_s=IDEAL_FACTOR * ideal_s + find_residual(),
    )


def measure_flood(seed: int, length_s: float) -> tuple[float, float]:
    """Return the p99 of short jobs, in seconds, without and with another team's flood."""
    calm = draw_arrivals(seed, 0.5, length_s)
    runs = calm, add_flood(seed, calm, length_s)
    calm_s, flood_s = (find_response(run_seeds(OURS, {seed: run}), (SINGLE, BATCH)) for run in runs)
    return calm_s, flood_s
