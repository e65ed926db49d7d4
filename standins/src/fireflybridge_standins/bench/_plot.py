"""Plot of the results of a benchmark."""

import statistics
from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from fireflybridge_standins.bench._results import Summary


def plot_summaries(summaries: Sequence[Summary], path: Path) -> None:
    """Plot the share of jobs served at the peak and the p99 slowdown of short jobs over load."""
    figure, (service_axes, short_axes) = pyplot.subplots(1, 2, figsize=(11, 4))
    for policy in dict.fromkeys(summary.policy for summary in summaries):
        rows = [summary for summary in summaries if summary.policy == policy]
        loads = sorted({row.load for row in rows})
        rows_by_load = [[row for row in rows if row.load == load] for load in loads]
        service_axes.plot(
            loads,
            [statistics.fmean(row.peak_service for row in load_rows) for load_rows in rows_by_load],
            marker="o",
            label=policy,
        )
        short_axes.plot(
            loads,
            [statistics.fmean(row.short[2] for row in load_rows) for load_rows in rows_by_load],
            marker="o",
            label=policy,
        )
    service_axes.set(xlabel="load over capacity", ylabel="service at the peak", ylim=(0, 1.05))
    short_axes.set(xlabel="load over capacity", ylabel="short jobs: p99 of response over ideal")
    short_axes.set_yscale("log")
    service_axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
