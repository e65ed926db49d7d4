"""Run the command line against the platform stand-in."""

from pathlib import Path
from typing import Any

from behave.runner import Context
from result import Result

from fireflybridge_platform import HttpLog, Page
from fireflybridge_tables import (
    TABLES_STREAM,
    TablesState,
    decode_record,
    fold_record,
    skip_gap,
)
from support.control import send_control
from support.platform import run_log
from support.processes import Program

EXAMPLES = Path(__file__).parents[2] / "tables" / "punarjani"
# Long, so that it ends only a hung command and no result depends on speed.
COMMAND_TIMEOUT_S = "120"
EXIT_TIMEOUT_S = 150.0


def set_fault(context: Context, **rule: Any) -> None:
    send_control(context.platform, "PUT", "/control/fault", rule)


def write_tables(context: Context, name: str, original: str = "", changed: str = "") -> Path:
    """Copy the example tables into a new directory, with one text replaced."""
    directory = context.folder / name
    directory.mkdir(exist_ok=True)
    for file in EXAMPLES.iterdir():
        text = file.read_text()
        (directory / file.name).write_text(text.replace(original, changed, 1) if original else text)
    return directory


def run_command(context: Context, *arguments: str, timeout_s: str = COMMAND_TIMEOUT_S) -> Program:
    """Start the command line with the stand-in's address in its environment."""
    environment = {
        "FIREFLYBRIDGE_PLATFORM_URL": f"http://{context.platform}",
        "FIREFLYBRIDGE_AUTHOR": "an.operator",
        "FIREFLYBRIDGE_TIMEOUT": timeout_s,
    }
    return context.processes.spawn("fireflybridge_cli", *arguments, environment=environment)


def publish(context: Context, directory: Path, exit_code: int, *arguments: str) -> None:
    program = run_command(context, "publish", str(directory), *arguments)
    context.output = wait_for_output(program, exit_code)


def wait_for_output(program: Program, exit_code: int) -> str:
    """Wait until a command exits, check its exit code and return its output."""
    found = program.wait_exit(EXIT_TIMEOUT_S)
    output = program.read_stdout() + program.read_stderr()
    assert found == exit_code, f"exit code {found}: {output}"
    return output


def read_state(context: Context) -> TablesState:
    """Read the new records of the log and fold them into ``context.state``."""

    async def read(log: HttpLog) -> Result[Page, Any]:
        return await log.read(TABLES_STREAM, context.state.offset)

    page = run_log(context.platform, read).unwrap()
    state = skip_gap(context.state, page.first_offset)
    for record in page.records:
        state = fold_record(state, record.offset, decode_record(record.payload))
    context.state = state
    return state
