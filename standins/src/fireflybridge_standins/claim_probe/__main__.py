"""Measure registrars and print the results as Markdown tables."""

import argparse

import anyio

from fireflybridge_standins.claim_probe._measurements import (
    LatencyResult,
    measure_catch_up,
    measure_cpu,
    measure_latency,
    measure_memory,
)

RATES_PER_S = (10.0, 125.0, 500.0)
INTERVALS_S = (0.0, 0.020, 0.050, 0.100, 0.200)
APPEND_S = 0.005
# Claims that a shard remembers for 600 s when 2,000 claims/s are spread over 16 shards.
PEAK_CLAIMS = 75_000
BATCH_SIZES = (1, 7, 60)


async def measure_rate(claims_per_s: float, duration_s: float) -> list[LatencyResult]:
    """Measure all intervals at one rate concurrently in this process."""
    results: list[LatencyResult] = []

    async def measure(interval_s: float) -> None:
        results.append(await measure_latency(claims_per_s, interval_s, APPEND_S, duration_s))

    async with anyio.create_task_group() as group:
        for interval_s in INTERVALS_S:
            group.start_soon(measure, interval_s)
    return sorted(results, key=lambda result: result.interval_ms)


async def measure_all(duration_s: float) -> None:
    """Run every measurement and print the results."""
    print(f"append {APPEND_S * 1000:g} ms, Poisson arrivals for {duration_s:g} s\n")
    print("| claims/s | interval, ms | claims | p50, ms | p99, ms | appends/s | B per claim |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for claims_per_s in RATES_PER_S:
        for result in await measure_rate(claims_per_s, duration_s):
            print(
                f"| {result.claims_per_s:g} | {result.interval_ms:g} | {result.claims} "
                f"| {result.p50_ms:.1f} | {result.p99_ms:.1f} | {result.appends_per_s:.1f} "
                f"| {result.bytes_per_claim:.0f} |",
                flush=True,
            )
    print("\n| cost | value |\n| --- | --- |")
    costs = [await measure_cpu(size, 20_000 // size) for size in BATCH_SIZES]
    costs.append(await measure_catch_up(PEAK_CLAIMS, BATCH_SIZES[1]))
    costs.append(measure_memory(PEAK_CLAIMS, BATCH_SIZES[1]))
    for cost in costs:
        print(f"| {cost.name} | {cost.value:.1f} |")


def main() -> None:
    """Read the command line and run the measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0, help="duration of each rate")
    arguments = parser.parse_args()
    anyio.run(measure_all, arguments.seconds, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
