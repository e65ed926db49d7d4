"""Measures how cost scales and the CPU per start; writes capacity.json and capacity.png."""

import argparse
import json
import os
import signal
import sys
import time
from dataclasses import asdict
from pathlib import Path

from fireflybridge_standins.capacity._plot import draw_plot
from fireflybridge_standins.capacity._points import fit_lines
from fireflybridge_standins.capacity._programs import read_import_mb
from fireflybridge_standins.capacity._scaling import AXES, measure_scaling
from fireflybridge_standins.capacity.path import (
    ROOT,
    SIZES,
    make_python_path,
    measure_rounds,
    summarize,
)

EXIT_TERMINATED = 143
START_COST_ROUNDS = 3
START_COST_TASKS = 6000


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path, default=ROOT / "docs" / "measurements")
    parser.add_argument("--tree", type=Path, default=ROOT, help="checkout to measure")
    parser.add_argument("--daemons", default="3,9,20,30")
    parser.add_argument("--axes", default=",".join(AXES))
    parser.add_argument("--workers", default="24,240,1000")
    return parser.parse_args()


def main() -> int:
    """Run every measurement, print each as it ends, and write the results."""
    arguments = parse_arguments()
    # The default action would leave the started programs running; sys.exit ends them too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    started = time.monotonic()
    trees, sizes = [str(arguments.tree)], list(SIZES)
    # All programs import the libraries of the same checkout, even if others change meanwhile.
    os.environ["PYTHONPATH"] = make_python_path(trees[0])
    costs = [*measure_rounds(trees, sizes, START_COST_ROUNDS, START_COST_TASKS)]
    start_costs = [{**summarize(trees[0], size, costs), "tree": "working tree"} for size in sizes]
    import_mb = read_import_mb()
    daemons = [int(count) for count in arguments.daemons.split(",")]
    workers = [int(count) for count in arguments.workers.split(",")]
    points = []
    for point in measure_scaling(import_mb, arguments.axes.split(","), daemons, workers):
        print(json.dumps(asdict(point)), file=sys.stderr, flush=True)
        points.append(point)
    lines = fit_lines(points)
    results = {
        "elapsed_s": time.monotonic() - started,
        "load_average": os.getloadavg(),
        "import_mb": import_mb,
        "paths": start_costs,
        "points": [asdict(point) for point in points],
        "lines": [asdict(line) for line in lines],
    }
    (arguments.output / "capacity.json").write_text(json.dumps(results, indent=1) + "\n")
    draw_plot(points, lines, arguments.output / "capacity.png")
    for line in lines:
        print(json.dumps(asdict(line)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
