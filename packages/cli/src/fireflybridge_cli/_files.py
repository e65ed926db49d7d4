"""Read the two table files of a directory."""

from pathlib import Path

from result import Err, Result

from fireflybridge_cli._report import ExitCode, Report
from fireflybridge_tables import (
    TableFault,
    Tables,
    describe_fault,
    get_hint,
    locate_fault,
    parse_tables,
)

# Both must exist; otherwise a directory without routes.toml would remove all routes.
TABLE_FILES = ("routes.toml", "pools.toml")


def read_tables(directory: str) -> Result[Tables, Report]:
    """Return the tables of a directory, or a report of all their faults."""
    texts: dict[str, str] = {}
    errors: list[str] = []
    for name in TABLE_FILES:
        path = Path(directory) / name
        try:
            texts[str(path)] = path.read_text(encoding="utf-8")
        except OSError as error:
            errors.append(f"{path}: {error.strerror}")
        except UnicodeDecodeError as error:
            errors.append(f"{path}: byte {error.start} is not UTF-8")
    if errors:
        message = f"can't read the tables: {'; '.join(errors)}"
        return Err(Report(ExitCode.FAILED, message))
    return parse_tables(texts).map_err(report_faults)


def report_faults(faults: tuple[TableFault, ...]) -> Report:
    """Return a report that lists each fault with its place and cure."""
    rows = [
        {
            "place": locate_fault(fault),
            "fault": describe_fault(fault),
            "cure": get_hint(fault),
        }
        for fault in faults
    ]
    plural = "" if len(rows) == 1 else "s"
    return Report(ExitCode.FAILED, f"{len(rows)} fault{plural} in the tables", rows)
