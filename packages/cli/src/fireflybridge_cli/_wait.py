"""Wait until daemons have a published revision in force."""

from collections.abc import Sequence
from dataclasses import replace

import anyio
from result import Err, Ok

from fireflybridge_cli._client import Client, Exchange, Response
from fireflybridge_cli._commands import Wait
from fireflybridge_cli._report import ExitCode, Report

POLL_S = 0.1
CALL_TIMEOUT_S = 5.0


async def wait_in_force(report: Report, revision: str, wait: Wait) -> Report:
    """Wait for the daemons; return the publish report with those that lack the revision."""
    missing: dict[str, str] = {}

    async def poll(address: str) -> None:
        missing[address] = "no answer"
        async with Client(f"http://{address}", min(CALL_TIMEOUT_S, wait.timeout_s)) as client:
            while address in missing:
                mismatch = _describe_mismatch(await client.fetch_status(), revision)
                if mismatch:
                    missing[address] = mismatch
                    await anyio.sleep(POLL_S)
                else:
                    del missing[address]

    with anyio.move_on_after(wait.timeout_s):
        async with anyio.create_task_group() as group:
            for address in wait.operators:
                group.start_soon(poll, address)
    return _add_daemon_states(report, wait.operators, missing)


def _describe_mismatch(exchange: Exchange, revision: str) -> str:
    """Describe what a daemon has in force instead of the revision; empty if it is in force."""
    match exchange:
        case Ok(Response(200, {"tables_revision": found})):
            return "" if found == revision else f"it has revision {found or 'none'}"
        case Ok(Response(status)):
            return f"status {status}"
        case Err(error):
            return error.detail


def _add_daemon_states(report: Report, operators: Sequence[str], missing: dict[str, str]) -> Report:
    details = {**report.details, "missing": missing}
    in_force = len(operators) - len(missing)
    message = f"{report.message}\nin force on {in_force} of {len(operators)} daemons"
    lines = [f"\nnot in force on {address}: {mismatch}" for address, mismatch in missing.items()]
    code = ExitCode.NOT_IN_FORCE if missing else report.code
    return replace(report, code=code, message=message + "".join(lines), details=details)
