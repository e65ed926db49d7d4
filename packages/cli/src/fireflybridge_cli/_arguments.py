"""Parse the command line and the FIREFLYBRIDGE_* variables into a command."""

import argparse
import getpass
import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeAlias

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
    Wait,
)

DEFAULT_PLATFORM = "http://127.0.0.1:8500"
DEFAULT_DAEMON = "http://127.0.0.1:8080"
MAX_CONCURRENCY = 1_000

# The class is generic only in the type stubs and can't be subscripted at run time.
Subparsers: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"


@dataclass(frozen=True, slots=True)
class Invocation:
    """Hold a command, and whether its report is printed as JSON."""

    command: Command
    as_json: bool


class _Environment:
    """Look up defaults in the FIREFLYBRIDGE_* variables."""

    def __init__(self, variables: Mapping[str, str]) -> None:
        self._variables = variables

    def get(self, name: str, default: str = "") -> str:
        """Return the value of a setting's variable, or the default."""
        return self._variables.get(f"FIREFLYBRIDGE_{name}", default)


def parse_arguments(arguments: Sequence[str], variables: Mapping[str, str]) -> Invocation:
    """Return the command that the arguments give; exit with code 2 if they are invalid."""
    parser = _build_parser(_Environment(variables))
    parsed = parser.parse_args(arguments)
    needs_operators = parsed.command == "status" or getattr(parsed, "wait", False)
    if needs_operators and not _choose_operators(parsed):
        parser.error(f"{parsed.command} needs --operators or FIREFLYBRIDGE_OPERATORS")
    return Invocation(_build_command(parsed), parsed.json)


def _build_parser(environment: _Environment) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="fireflybridge", description="Publish tables, submit jobs and watch daemons."
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_tables_parsers(commands, environment)
    _add_job_parsers(commands, environment)
    _add_status_parser(commands, environment)
    _add_replay_parser(commands, environment)
    return parser


def _add_parser(commands: Subparsers, name: str, description: str) -> argparse.ArgumentParser:
    parser = commands.add_parser(name, help=description, description=description)
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    return parser


def _add_tables_parsers(commands: Subparsers, environment: _Environment) -> None:
    check = _add_parser(commands, "check", "Check routes.toml and pools.toml.")
    diff = _add_parser(commands, "diff", "Compare the files with the revision in force.")
    publish = _add_parser(commands, "publish", "Publish the files as a new revision.")
    history = _add_parser(commands, "history", "List the last revisions.")
    for parser in (check, diff, publish):
        directory = environment.get("TABLES", ".")
        parser.add_argument("directory", nargs="?", default=directory, help="FIREFLYBRIDGE_TABLES")
    for parser in (diff, publish, history):
        platform = environment.get("PLATFORM_URL", DEFAULT_PLATFORM)
        parser.add_argument(
            "--platform-url", default=platform, help="URL (FIREFLYBRIDGE_PLATFORM_URL)"
        )
    publish.add_argument("--parent", help="id of the revision that the files were edited from")
    publish.add_argument("--author", default=environment.get("AUTHOR"), help="FIREFLYBRIDGE_AUTHOR")
    publish.add_argument(
        "--restart", action="store_true", help="publish when the log lost the revision in force"
    )
    publish.add_argument(
        "--wait", action="store_true", help="wait until the daemons have the revision in force"
    )
    _add_operators(publish, environment)
    _add_timeout(publish, environment, "20", "for the verdict, and again for the daemons")
    history.add_argument("--limit", type=_parse_count, default=20, help="revisions to list")


def _add_job_parsers(commands: Subparsers, environment: _Environment) -> None:
    submit = _add_parser(commands, "submit", "Submit a job.")
    fetch = _add_parser(commands, "fetch", "Fetch the answer of a job.")
    cancel = _add_parser(commands, "cancel", "Cancel what has not started of a job.")
    for parser in (submit, fetch, cancel):
        _add_daemon(parser, environment)
        _add_timeout(parser, environment, "60", "for each response")
    submit.add_argument("route")
    submit.add_argument("bodies", nargs="*", metavar="body", help="body of one task")
    submit.add_argument("--file", default="", help="file with one task per line, - for input")
    submit.add_argument("--key", default="", help="key to resubmit, or one you chose")
    submit.add_argument("--team", default=environment.get("TEAM"), help="FIREFLYBRIDGE_TEAM")
    submit.add_argument("--deadline-ms", type=_parse_count)
    submit.add_argument("--async", action="store_true", dest="respond_async")
    submit.add_argument("--attempts", type=_parse_count, default=3, help="sends under one key")
    fetch.add_argument("key")
    fetch.add_argument("--wait-ms", type=_parse_count, default=0, help="wait for the answer")
    cancel.add_argument("key")


def _add_status_parser(commands: Subparsers, environment: _Environment) -> None:
    status = _add_parser(commands, "status", "Ask daemons for their status.")
    _add_operators(status, environment)
    _add_timeout(status, environment, "5", "for each daemon")


def _add_replay_parser(commands: Subparsers, environment: _Environment) -> None:
    replay = _add_parser(commands, "replay", "Send a recorded trace and count the outcomes.")
    replay.add_argument("path", metavar="trace", help="file of JSON lines")
    _add_daemon(replay, environment)
    _add_timeout(replay, environment, "60", "for each response")
    replay.add_argument("--concurrency", type=_parse_concurrency, default=64)
    replay.add_argument("--max-jobs", type=_parse_count, default=100_000)
    replay.add_argument("--speed", type=_parse_positive, default=1.0, help="2 halves every gap")
    replay.add_argument("--deadline-ms", type=_parse_count)


def _add_daemon(parser: argparse.ArgumentParser, environment: _Environment) -> None:
    daemon = environment.get("DAEMON_URL", DEFAULT_DAEMON)
    parser.add_argument(
        "--daemon-url", default=daemon, help="callers' URL (FIREFLYBRIDGE_DAEMON_URL)"
    )


def _add_operators(parser: argparse.ArgumentParser, environment: _Environment) -> None:
    parser.add_argument(
        "--operators",
        action="extend",
        nargs="+",
        type=_parse_address,
        default=[],
        metavar="IP:PORT",
        help="operators' ports of the daemons (FIREFLYBRIDGE_OPERATORS, comma-separated)",
    )
    default_operators = [part for part in environment.get("OPERATORS").split(",") if part]
    parser.set_defaults(default_operators=default_operators)


def _add_timeout(
    parser: argparse.ArgumentParser, environment: _Environment, default: str, purpose: str
) -> None:
    parser.add_argument(
        "--timeout",
        type=_parse_positive,
        default=environment.get("TIMEOUT", default),
        help=f"seconds {purpose} (FIREFLYBRIDGE_TIMEOUT, {default})",
    )


def _build_command(parsed: argparse.Namespace) -> Command:
    builders: Mapping[str, Callable[[argparse.Namespace], Command]] = {
        "check": lambda p: Check(p.directory),
        "diff": lambda p: Diff(p.directory, p.platform_url),
        "publish": _build_publish,
        "history": lambda p: History(p.platform_url, p.limit),
        "submit": _build_submit,
        "fetch": lambda p: Fetch(p.daemon_url, p.key, p.wait_ms, p.timeout),
        "cancel": lambda p: Cancel(p.daemon_url, p.key, p.timeout),
        "status": lambda p: Status(_choose_operators(p), p.timeout),
        "replay": _build_replay,
    }
    return builders[parsed.command](parsed)


def _choose_operators(parsed: argparse.Namespace) -> tuple[str, ...]:
    return tuple(parsed.operators or parsed.default_operators)


def _build_publish(parsed: argparse.Namespace) -> Publish:
    return Publish(
        directory=parsed.directory,
        platform=parsed.platform_url,
        parent=parsed.parent,
        author=parsed.author or getpass.getuser(),
        timeout_s=parsed.timeout,
        restart=parsed.restart,
        wait=Wait(_choose_operators(parsed), parsed.timeout) if parsed.wait else None,
    )


def _build_submit(parsed: argparse.Namespace) -> Submit:
    return Submit(
        daemon=parsed.daemon_url,
        route=parsed.route,
        bodies=tuple(parsed.bodies),
        path=parsed.file,
        key=parsed.key,
        team=parsed.team,
        deadline_ms=parsed.deadline_ms,
        respond_async=parsed.respond_async,
        attempts=parsed.attempts,
        timeout_s=parsed.timeout,
    )


def _build_replay(parsed: argparse.Namespace) -> Replay:
    return Replay(
        daemon=parsed.daemon_url,
        path=parsed.path,
        concurrency=parsed.concurrency,
        max_jobs=parsed.max_jobs,
        speed=parsed.speed,
        deadline_ms=parsed.deadline_ms,
        timeout_s=parsed.timeout,
    )


def _parse_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    if not (host and port.isascii() and port.isdigit()):
        raise argparse.ArgumentTypeError(f"{text!r} is not IP:PORT")
    return text


def _parse_count(text: str) -> int:
    if not (text.isascii() and text.isdigit() and 1 <= int(text) <= 10**9):
        raise argparse.ArgumentTypeError(f"{text!r} is not a whole number from 1 to 10^9")
    return int(text)


def _parse_concurrency(text: str) -> int:
    count = _parse_count(text)
    if count > MAX_CONCURRENCY:
        raise argparse.ArgumentTypeError(f"at most {MAX_CONCURRENCY} jobs may be in flight")
    return count


def _parse_positive(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not (math.isfinite(value) and value > 0):
        raise argparse.ArgumentTypeError(f"{text!r} is not a number above 0")
    return value
