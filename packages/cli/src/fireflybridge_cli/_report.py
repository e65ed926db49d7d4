"""Output and exit code of a command."""

import json
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

Row = Mapping[str, Any]


class ExitCode(IntEnum):
    """Exit codes for scripts; ``docs/reference/commands.md`` lists their meanings."""

    OK = 0
    FAILED = 1
    USAGE = 2
    STALE_PARENT = 3
    NOT_DONE = 4
    UNKNOWN = 5
    NOT_IN_FORCE = 6


@dataclass(frozen=True, slots=True)
class Report:
    """Hold a command's result.

    ``message`` is one or more sentences, ``rows`` a table and ``details`` further members of the
    ``--json`` object. The message goes to standard error unless the code is ``OK``; the table always
    goes to standard output.
    """

    code: ExitCode
    message: str = ""
    rows: Sequence[Row] = ()
    details: Mapping[str, Any] = field(default_factory=dict)


def print_report(report: Report, as_json: bool) -> None:
    """Print a report as text, or as one JSON object with ``code``, ``message`` and ``rows``."""
    if as_json:
        data = {
            "code": report.code.name.lower().replace("_", "-"),
            "message": report.message,
            "rows": list(report.rows),
            **report.details,
        }
        print(json.dumps(data, ensure_ascii=False))
        return
    if report.message:
        print(report.message, file=sys.stdout if report.code is ExitCode.OK else sys.stderr)
    if report.rows:
        print(format_rows(report.rows))


def format_rows(rows: Sequence[Row]) -> str:
    """Format rows as aligned columns under a header line."""
    columns = tuple(dict.fromkeys(name for row in rows for name in row))
    lines = [
        [name.replace("_", " ").upper() for name in columns],
        *([_format_cell(row.get(name, "")) for name in columns] for row in rows),
    ]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def report_progress(text: str) -> None:
    """Show the progress of a command on standard error if that is a terminal."""
    if sys.stderr.isatty():
        print(f"\r\x1b[K{text}", end="", file=sys.stderr, flush=True)


def clear_progress() -> None:
    """Remove the progress line."""
    report_progress("")


def _format_cell(value: Any) -> str:
    match value:
        case None:
            text = ""
        case bool():
            text = "yes" if value else "no"
        case float():
            text = f"{value:.1f}"
        case str():
            text = value
        case _:
            text = json.dumps(value, ensure_ascii=False)
    return "".join(character if character.isprintable() else " " for character in text)
