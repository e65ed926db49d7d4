"""Behave hooks that give each scenario its own processes and end them afterwards."""

import logging
import sys

from behave.model import Scenario
from behave.model_type import Status
from behave.runner import Context
from support.processes import Processes


def before_all(context: Context) -> None:
    # httpx logs every request at INFO, which would hide the results of the scenarios.
    logging.getLogger("httpx").setLevel(logging.WARNING)


def before_scenario(context: Context, scenario: Scenario) -> None:
    context.processes = Processes()


def after_scenario(context: Context, scenario: Scenario) -> None:
    survivors = context.processes.end_all()
    if survivors or scenario.status != Status.passed:
        print(f"{scenario.name}:\n{context.processes.describe()}", file=sys.__stderr__)
    context.processes.close()
    assert not survivors, f"still running after SIGTERM: {', '.join(survivors)}"
