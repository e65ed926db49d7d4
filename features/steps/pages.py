"""Steps that compare the pages under docs with the code."""

import ast
import re
from collections.abc import Iterator
from dataclasses import MISSING, fields
from pathlib import Path

from behave import then
from behave.runner import Context
from prometheus_client import Counter, Gauge, Histogram

from fireflybridge_core import Problem
from fireflybridge_daemon._settings import Settings, name_flag, name_variable
from fireflybridge_front._problems import STATUSES
from fireflybridge_telemetry import Event, Metrics

ROOT = Path(__file__).parents[2]
REFERENCE = ROOT / "docs" / "reference"
KINDS = {Counter: "counter", Gauge: "gauge", Histogram: "histogram"}
DEFAULT_WORDS = {"": "none", "False": "false"}


def read_rows(page: str, header: str) -> list[tuple[str, ...]]:
    """Return the cells of every table of a page whose header starts with ``header``."""
    rows: list[tuple[str, ...]] = []
    in_table = False
    for line in (REFERENCE / f"{page}.md").read_text().splitlines():
        if line.startswith(f"| {header} |"):
            in_table = True
        elif not line.startswith("|"):
            in_table = False
        elif in_table and not line.startswith("| ---"):
            rows.append(tuple(cell.strip() for cell in line.strip("|").split("|")))
    assert rows, f"{page}.md has no table that starts with {header}"
    return rows


def read_names(cell: str) -> frozenset[str]:
    """Return the names that stand in backticks in a cell."""
    return frozenset(re.findall(r"`([^`]+)`", cell))


def check_equal(page: object, code: object) -> None:
    assert page == code, f"\npage: {page}\ncode: {code}"


@then("the events page lists each event with its number, level, message and fields")
def check_events(context: Context) -> None:
    rows = read_rows("events", "number")
    page = [
        (int(number), name.strip("`"), level, message, read_names(names))
        for number, name, level, message, names, action in rows
        if action
    ]
    code = [
        (e.entry.number, e.name, str(e.entry.level), e.entry.message, frozenset(e.entry.fields))
        for e in Event
    ]
    check_equal(len(page), len(rows))
    check_equal(sorted(page), sorted(code))
    check_equal(len({number for number, *_ in code}), len(code))


@then("the metrics page lists each metric with its kind and labels")
def check_metrics(context: Context) -> None:
    page = {
        (name.strip("`"), kind, read_names(labels))
        for name, kind, labels, _ in read_rows("metrics", "metric")
    }
    code = {
        (metric._name, KINDS[type(metric)], frozenset(metric._labelnames))
        for metric in vars(Metrics()).values()
        if isinstance(metric, Counter | Gauge | Histogram)
    }
    check_equal(sorted(page, key=str), sorted(code, key=str))


@then("the settings page lists each setting with its variable and default")
def check_settings_page(context: Context) -> None:
    page = [
        (flag.strip("`"), variable.strip("`"), default.strip("`"))
        for flag, variable, default, _ in read_rows("settings", "flag")
    ]
    code = [
        (
            name_flag(field.name),
            name_variable(field.name),
            (
                "required"
                if field.default is MISSING
                else DEFAULT_WORDS.get(str(field.default), str(field.default))
            ),
        )
        for field in fields(Settings)
    ]
    check_equal(page, code)


@then("the problems page lists each problem type with its status")
def check_problems(context: Context) -> None:
    page = [(name.strip("`"), int(status)) for name, status, *_ in read_rows("problems", "problem")]
    check_equal(sorted(page), sorted((str(problem), STATUSES[problem]) for problem in Problem))


@then("the settings page lists each start-up check that the code contains")
def check_startup_checks(context: Context) -> None:
    page = [check.strip("`") for check, *_ in read_rows("settings", "check")]
    source = (ROOT / "packages/daemon/src/fireflybridge_daemon/_checks.py").read_text()
    check_equal(page, sorted(set(re.findall(r"\bFB\d{3}\b", source))))


@then("every event of the page is logged somewhere in the code, with exactly its fields")
def check_logged_events(context: Context) -> None:
    calls = [
        call
        for path in sorted((ROOT / "packages").rglob("*.py"))
        for call in find_event_calls(path)
    ]
    for name, names in calls:
        assert names == set(Event[name].entry.fields), f"{name} is written with {sorted(names)}"
    check_equal(sorted({name for name, _ in calls}), sorted(event.name for event in Event))


def find_event_calls(path: Path) -> Iterator[tuple[str, set[str]]]:
    """Yield the event and the field names of each ``log_event`` call in a file."""
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Call(
                func=ast.Name(id="log_event"), args=[ast.Attribute(attr=name)], keywords=keywords
            ):
                yield name, {str(keyword.arg) for keyword in keywords}
