"""Measured points and the lines fitted to them."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Point:
    """Resource use of one daemon at one value of an axis, as the mean over the daemons.

    ``bytes_per_s`` is TCP payload in both directions. ``own_mb`` is resident memory minus that of
    an interpreter that has only imported the daemon. ``in_force_s`` is the maximum over
    ``publications`` of the time from publishing tables until the last daemon has them in force.
    """

    axis: str
    value: float
    starts_per_s: float = 0.0
    cpu_percent: float = 0.0
    resident_mb: float = 0.0
    own_mb: float = 0.0
    bytes_per_s: float = 0.0
    platform_cpu_percent: float = 0.0
    platform_bytes_per_s: float = 0.0
    appends_per_s: float = 0.0
    in_force_s: float = 0.0
    publications: int = 0
    refused: int = 0


@dataclass(frozen=True, slots=True)
class Line:
    """Least-squares line; ``spread`` is the largest vertical distance of a point from it."""

    axis: str
    quantity: str
    loaded: bool
    slope: float
    intercept: float
    spread: float
    points: int


QUANTITIES = (
    "cpu_percent",
    "own_mb",
    "bytes_per_s",
    "platform_cpu_percent",
    "platform_bytes_per_s",
    "in_force_s",
)


def fit_lines(points: Sequence[Point]) -> tuple[Line, ...]:
    """Return the line of each quantity over each axis, separately for idle and under load."""
    groups: dict[tuple[str, bool, str], list[Point]] = {}
    for point in points:
        for quantity in QUANTITIES:
            # 0 means that the quantity was not measured at this point.
            if getattr(point, quantity) > 0:
                key = (point.axis, point.starts_per_s > 0, quantity)
                groups.setdefault(key, []).append(point)
    return tuple(
        fit_line(chosen, axis, quantity, loaded)
        for (axis, loaded, quantity), chosen in groups.items()
        if len({point.value for point in chosen}) > 1
    )


def fit_line(points: Sequence[Point], axis: str, quantity: str, loaded: bool) -> Line:
    """Return the least-squares line of one quantity."""
    xs = [point.value for point in points]
    ys = [float(getattr(point, quantity)) for point in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    spread = max(abs(y - (intercept + slope * x)) for x, y in zip(xs, ys, strict=True))
    return Line(axis, quantity, loaded, slope, intercept, spread, len(points))
