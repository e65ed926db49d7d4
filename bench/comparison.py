"""Command line of a measurement that can be compared with another checkout in the same run."""

import argparse
import os
import subprocess
import sys
from collections.abc import Callable, Iterable
from pathlib import Path


def run_measurement(
    script: str, description: str | None, packages: Iterable[str], measure: Callable[[], None]
) -> None:
    """Measure once, or first with the packages of the checkout that ``--baseline`` names.

    ``script`` is the program's own path, ``packages`` the names of those that it measures.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--baseline", type=Path, help="root of a checkout to compare with")
    parser.add_argument("--child", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.child or not options.baseline:
        measure()
        return
    root = options.baseline.resolve() / "packages"
    path = os.pathsep.join(str(root / name / "src") for name in packages)
    for name, source in (("baseline", path), ("this checkout", "")):
        print(name, flush=True)
        environment = {**os.environ, "PYTHONPATH": source}
        subprocess.run([sys.executable, script, "--child"], env=environment, check=True)
