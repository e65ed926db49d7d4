"""Steps that run the explorer."""

import re
import subprocess
import sys
from pathlib import Path

from behave import then, when
from behave.runner import Context

EXPLORER = Path(__file__).parents[1] / "explore.py"
TIMEOUT_S = 300.0  # ends a hung exploration


@when("the explorer carries out {runs:d} runs of seed {seed:d}")
def explore(context: Context, runs: int, seed: int) -> None:
    command = [sys.executable, str(EXPLORER), f"--seed={seed}", f"--runs={runs}"]
    context.run = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
    )
    print(context.run.stdout)


@then("the explorer reports starts checked and 0 violations")
def check_report(context: Context) -> None:
    report = context.run.stdout + context.run.stderr
    assert context.run.returncode == 0, report
    totals = re.search(r"^(\d+) starts checked, 0 violations$", context.run.stdout, re.MULTILINE)
    assert totals is not None, report
    assert int(totals[1]) > 0, report
