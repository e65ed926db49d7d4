"""Plots the figures of a bench run."""

import statistics
from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from fireflybridge_standins.bench._results import Summary


def plot_summaries(summaries: Sequence[Summary], path: Path) -> None:
    """Write one picture: service at the peak and p99 of short responses over load."""
    figure, (service, short) = pyplot.subplots(1, 2, figsize=(11, 4))
    for policy in dict.fromkeys(summary.policy for summary in summaries):
        rows = [summary for summary in summaries if summary.policy == policy]
        loads = sorted({row.load for row in rows})
        means = [[row for row in rows if row.load == load] for load in loads]
        service.plot(
            loads,
            [statistics.fmean(row.peak_service for row in group) for group in means],
            marker="o",
            label=policy,
        )
        short.plot(
            loads,
            [statistics.fmean(row.short[2] for row in group) for group in means],
            marker="o",
            label=policy,
        )
    service.set(xlabel="load over capacity", ylabel="service at the peak", ylim=(0, 1.05))
    short.set(xlabel="load over capacity", ylabel="short jobs: p99 of response over ideal")
    short.set_yscale("log")
    service.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
