"""Parse the command line, run the command and print its report."""

import os
import sys

import anyio

from fireflybridge_cli._arguments import parse_arguments
from fireflybridge_cli._commands import (
    Cancel,
    Check,
    Command,
    Diff,
    Fetch,
    History,
    Publish,
    Replay,
    Status,
    Submit,
)
from fireflybridge_cli._job_commands import cancel, fetch, submit
from fireflybridge_cli._replay import replay
from fireflybridge_cli._report import Report, print_report
from fireflybridge_cli._status import show_status
from fireflybridge_cli._tables_commands import check, diff, history, publish
from fireflybridge_platform import HttpLog

INTERRUPTED_EXIT_CODE = 130  # 128 + SIGINT, as shells report it


def main() -> int:
    """Run the command that the arguments name and return its exit code."""
    invocation = parse_arguments(sys.argv[1:], os.environ)
    try:
        report = anyio.run(run_command, invocation.command)
    except KeyboardInterrupt:
        return INTERRUPTED_EXIT_CODE
    print_report(report, invocation.as_json)
    return int(report.code)


async def run_command(command: Command) -> Report:
    """Run a command and return its report."""
    match command:
        case Check():
            return check(command)
        case Diff() | Publish() | History():
            return await _run_log_command(command)
        case Submit():
            return await submit(command)
        case Fetch():
            return await fetch(command)
        case Cancel():
            return await cancel(command)
        case Status():
            return await show_status(command)
        case Replay():
            return await replay(command)


async def _run_log_command(command: Diff | Publish | History) -> Report:
    async with HttpLog(command.platform) as log:
        match command:
            case Diff():
                return await diff(command, log)
            case Publish():
                return await publish(command, log)
            case History():
                return await history(command, log)
