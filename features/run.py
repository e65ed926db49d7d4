"""Run the behave features and print one plain line of totals."""

import os
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
KNOWN_RED_TAG = "known_red"
SCENARIOS = re.compile(r"^(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?", re.MULTILINE)


def main() -> int:
    """Run behave with the given arguments and return its exit code."""
    known_red = KNOWN_RED.read_text() if KNOWN_RED.exists() else ""
    if known_red:
        print(f"Passed over, tagged @{KNOWN_RED_TAG} and listed in {KNOWN_RED.name}:\n{known_red}")
    tags = [f"--tags=not {KNOWN_RED_TAG}"]
    options = ["--no-color", "--format", "progress", *tags, *sys.argv[1:]]
    command = [sys.executable, "-m", "behave", *options]
    environment = {**os.environ, "PATH": f"{Path(sys.executable).parent}:{os.environ['PATH']}"}
    run = subprocess.run(
        command, cwd=ROOT, env=environment, stdout=subprocess.PIPE, text=True, check=False
    )
    print(run.stdout)
    totals = SCENARIOS.search(run.stdout)
    if totals is None:
        print("behave printed no totals", file=sys.stderr)
        return run.returncode or 1
    passed, failed, errors = (int(group or 0) for group in totals.groups())
    print(f"{passed} passed, {failed + errors} failed")
    return run.returncode


if __name__ == "__main__":
    sys.exit(main())
