"""The commands on the tables: check, diff, history and publish."""

import secrets
from datetime import UTC, datetime

from result import Err, Ok

from fireflybridge_cli._change_rows import make_change_rows
from fireflybridge_cli._commands import Check, Diff, History, Publish
from fireflybridge_cli._files import read_tables
from fireflybridge_cli._publish import (
    OutcomeUnknown,
    ParentReplaced,
    Proposal,
    Published,
    PublishOutcome,
    Rejected,
    RestartRefused,
    RevisionUnknown,
    Unavailable,
    Unchanged,
    publish_tables,
)
from fireflybridge_cli._report import ExitCode, Report, Row
from fireflybridge_cli._stream import StreamView, read_to_end
from fireflybridge_cli._wait import wait_in_force
from fireflybridge_core import StepError
from fireflybridge_platform import Log
from fireflybridge_tables import (
    RevisionHead,
    TablesState,
    Verdict,
    compute_changes,
)


def check(command: Check) -> Report:
    """Check the tables of a directory."""
    match read_tables(command.directory):
        case Err(report):
            return report
        case Ok(tables):
            upstreams = sum(len(pool.upstreams) for pool in tables.pools.values())
            counts = {
                "routes": len(tables.routes),
                "pools": len(tables.pools),
                "upstreams": upstreams,
            }
            text = ", ".join(f"{count} {name}" for name, count in counts.items())
            return Report(ExitCode.OK, f"the tables are sound: {text}", details=counts)


async def diff(command: Diff, log: Log) -> Report:
    """Compare the tables of a directory with the revision in force."""
    read_result = read_tables(command.directory)
    if isinstance(read_result, Err):
        return read_result.err_value
    match await read_to_end(log, StreamView()):
        case Err(error):
            return _report_unavailable(error)
        case Ok(view):
            state = view.state
            rows = make_change_rows(
                state.tables, compute_changes(state.tables, read_result.ok_value)
            )
            message = f"{_count_changes(rows)} against {_describe_state(state)}"
            details = {"revision": state.revision_id, "known": state.revision_known}
            return Report(ExitCode.OK, message, rows, details)


async def history(command: History, log: Log) -> Report:
    """List the last revisions, oldest first."""
    match await read_to_end(log, StreamView()):
        case Err(error):
            return _report_unavailable(error)
        case Ok(view):
            state = view.state
            rows = [
                {
                    "offset": entry.offset,
                    "revision": entry.head.id,
                    "parent": entry.head.parent,
                    "author": entry.head.author,
                    "published_at": entry.head.published_at,
                    "verdict": _describe_verdict(entry.verdict, entry.head.id, state),
                }
                for entry in state.history[-command.limit :]
            ]
            message = f"in force: {_describe_state(state)}"
            if state.last_fault is not None:
                message += f"\nlast fault: {state.last_fault}"
            details = {"revision": state.revision_id, "known": state.revision_known}
            return Report(ExitCode.OK, message, rows, details)


async def publish(command: Publish, log: Log) -> Report:
    """Publish the tables of a directory as a new revision."""
    read_result = read_tables(command.directory)
    if isinstance(read_result, Err):
        return read_result.err_value
    proposal = Proposal(
        tables=read_result.ok_value,
        id=secrets.token_hex(8),
        parent=command.parent,
        author=command.author,
        published_at=datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ"),
        restart=command.restart,
    )
    report = _report_outcome(await publish_tables(log, proposal, command.timeout_s))
    if command.wait is None or report.code is not ExitCode.OK:
        return report
    return await wait_in_force(report, report.details["revision"], command.wait)


def _report_outcome(outcome: PublishOutcome) -> Report:
    match outcome:
        case Published(head, offset, before, changes):
            rows = make_change_rows(before, changes)
            message = f"revision {head.id} is in force: {_count_changes(rows)}"
            return Report(ExitCode.OK, message, rows, {"revision": head.id, "offset": offset})
        case Unchanged(state):
            message = f"nothing to publish: the tables equal {_describe_state(state)}"
            return Report(ExitCode.OK, message, details={"revision": state.revision_id})
        case ParentReplaced():
            return _report_replaced(outcome)
        case RevisionUnknown():
            message = (
                "nothing was published: the log no longer shows which revision is in force. "
                "A daemon records it again within its keep interval; when no daemon runs, "
                "publish with --restart"
            )
            return Report(ExitCode.NOT_DONE, message)
        case RestartRefused(state):
            message = f"nothing was published: {_describe_state(state)} is known; omit --restart"
            return Report(ExitCode.STALE_PARENT, message, details={"revision": state.revision_id})
        case Rejected(entry):
            return _report_rejected(entry.head)
        case Unavailable(error):
            return _report_unavailable(error)
        case OutcomeUnknown(revision, detail):
            message = (
                f"unknown whether revision {revision} was published: {detail}. "
                f"Look for it with `fireflybridge history` before you publish again"
            )
            return Report(ExitCode.UNKNOWN, message, details={"revision": revision})


def _report_replaced(outcome: ParentReplaced) -> Report:
    state = outcome.state
    details = {"revision": state.revision_id, "parent": outcome.parent}
    in_force = _describe_state(state)
    if outcome.parent is None:
        message = (
            f"nothing was published: {in_force} is in force; name the revision that the files "
            f"were edited from with --parent"
        )
        return Report(ExitCode.STALE_PARENT, message, details=details)
    message = f"nothing was published: {outcome.parent or 'no revision'} was replaced by {in_force}"
    if outcome.parent_tables is None:
        message += "; the log has no record that brought this parent into force"
        return Report(ExitCode.STALE_PARENT, message, details=details)
    changes = compute_changes(outcome.parent_tables, state.tables)
    rows = make_change_rows(outcome.parent_tables, changes)
    message += f". {_count_changes(rows).capitalize()} meanwhile"
    return Report(ExitCode.STALE_PARENT, message, rows, details)


def _report_rejected(head: RevisionHead) -> Report:
    message = f"revision {head.id} was recorded, and every reader refuses its tables"
    return Report(ExitCode.FAILED, message, details={"revision": head.id})


def _report_unavailable(error: StepError) -> Report:
    message = f"the log is unavailable, nothing was published: {error}"
    return Report(ExitCode.NOT_DONE, message)


def _describe_state(state: TablesState) -> str:
    if state.revision is None:
        return "no revision"
    head = state.revision
    return f"revision {head.id} by {head.author}, {head.published_at}"


def _describe_verdict(verdict: Verdict, revision: str, state: TablesState) -> str:
    return "in force" if revision == state.revision_id else str(verdict)


def _count_changes(rows: list[Row]) -> str:
    return f"{len(rows)} change{'' if len(rows) == 1 else 's'}"
