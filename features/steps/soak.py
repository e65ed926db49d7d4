"""Steps for the soak test."""

import re
import subprocess
import sys
from pathlib import Path

from behave import then, when
from behave.runner import Context

SOAK_PROGRAM = Path(__file__).parents[1] / "soak.py"
TIMEOUT_S = 300.0  # ends a soak that hangs


@when("the soak runs with seed {seed:d} for {seconds:d} s")
def run_soak(context: Context, seed: int, seconds: int) -> None:
    command = [sys.executable, str(SOAK_PROGRAM), f"--seed={seed}", f"--seconds={seconds}"]
    context.run = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
    )
    print(context.run.stdout)


@then("the soak reports runs checked and 0 violations")
def check_report(context: Context) -> None:
    report = context.run.stdout + context.run.stderr
    assert context.run.returncode == 0, report
    totals = re.search(r"^(\d+) runs checked, 0 violations$", context.run.stdout, re.MULTILINE)
    assert totals is not None, report
    assert int(totals[1]) > 0, report
