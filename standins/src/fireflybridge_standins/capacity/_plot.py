"""Plot of the measured points with their fitted lines and the budgets of the daemon."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib

from fireflybridge_standins.capacity._points import Line, Point

matplotlib.use("Agg")

import matplotlib.pyplot as plt

PANELS = (
    ("daemons", "cpu_percent", "CPU, % of a core", 3.3),
    ("daemons", "own_mb", "memory beside imports, MB", 0.0),
    ("daemons", "bytes_per_s", "TCP payload, B/s", 13_000.0),
    ("daemons", "in_force_s", "publish to in force, s", 5.0),
    ("workers", "cpu_percent", "CPU, % of a core", 3.3),
    ("workers", "own_mb", "memory beside imports, MB", 0.0),
    ("routes", "own_mb", "memory beside imports, MB", 0.0),
    ("kept tasks", "own_mb", "memory beside imports, MB", 0.0),
)


def draw_plot(points: Sequence[Point], lines: Sequence[Line], path: Path) -> None:
    """Write the plot as PNG: only points without load, budgets as dashed lines."""
    figure, grid = plt.subplots(2, 4, figsize=(16, 7), constrained_layout=True)
    for axes, (axis, quantity, label, budget) in zip(grid.flat, PANELS, strict=True):
        _draw_panel(axes, points, lines, axis, quantity)
        if budget:
            axes.axhline(budget, linestyle="--", color="gray")
        axes.set_xlabel(axis)
        axes.set_ylabel(label)
        axes.set_ylim(bottom=0)
    figure.suptitle("One daemon: idle cost against the size of the deployment; budget dashed")
    figure.savefig(path, dpi=80)


def _draw_panel(
    axes: Any, points: Sequence[Point], lines: Sequence[Line], axis: str, quantity: str
) -> None:
    chosen = [
        (point.value, getattr(point, quantity))
        for point in points
        if point.axis == axis and point.starts_per_s == 0 and getattr(point, quantity)
    ]
    axes.plot([x for x, _ in chosen], [y for _, y in chosen], "o")
    for line in lines:
        if (line.axis, line.quantity, line.loaded) == (axis, quantity, False) and chosen:
            xs = [0.0, max(x for x, _ in chosen)]
            axes.plot(xs, [line.intercept + line.slope * x for x in xs], "-")
