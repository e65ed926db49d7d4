"""Publish a revision at most once, and find out what became of it."""

from dataclasses import dataclass, replace

import anyio
from result import Err, Ok

from fireflybridge_cli._stream import StreamView, fold_page, read_to_end
from fireflybridge_core import StepError
from fireflybridge_platform import Log, MayBeAppended, NotAppended
from fireflybridge_tables import (
    TABLES_STREAM,
    Change,
    HistoryEntry,
    Restart,
    Revision,
    RevisionHead,
    Tables,
    TablesState,
    Verdict,
    compute_changes,
    encode_record,
)

READ_WAIT_S = 1.0
RETRY_PAUSE_S = 0.2


@dataclass(frozen=True, slots=True)
class Proposal:
    """Hold what an operator wants to publish.

    ``parent`` is the revision the tables were edited from, ``None`` when the operator named none.
    """

    tables: Tables
    id: str
    parent: str | None
    author: str
    published_at: str
    restart: bool = False


@dataclass(frozen=True, slots=True)
class Published:
    """State that the revision came into force."""

    head: RevisionHead
    offset: int
    before: Tables
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Unchanged:
    """State that the tables are already in force."""

    state: TablesState


@dataclass(frozen=True, slots=True)
class ParentReplaced:
    """State that the parent is not in force; ``parent_tables`` are known if the log still has it."""

    parent: str | None
    state: TablesState
    parent_tables: Tables | None


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """State that the log no longer shows which revision is in force."""

    state: TablesState


@dataclass(frozen=True, slots=True)
class HistoryKnown:
    """State that a restart is refused, because the revision in force is known."""

    state: TablesState


@dataclass(frozen=True, slots=True)
class Rejected:
    """State that the revision was recorded and every reader refuses its tables."""

    entry: HistoryEntry


@dataclass(frozen=True, slots=True)
class Unavailable:
    """State that the log is unavailable and nothing was published."""

    error: StepError


@dataclass(frozen=True, slots=True)
class Undecided:
    """State that the revision may come into force, or already has."""

    id: str
    detail: str


PublishOutcome = (
    Published
    | Unchanged
    | ParentReplaced
    | HistoryLost
    | HistoryKnown
    | Rejected
    | Unavailable
    | Undecided
)


async def publish_tables(log: Log, proposal: Proposal, limit_s: float) -> PublishOutcome:
    """Append one revision and return its verdict, waiting up to ``limit_s`` seconds for it.

    The revision is appended once. When the answer is lost, the stream shows whether it is there.
    """
    wanted = frozenset({proposal.id, proposal.parent or ""})
    match await read_to_end(log, StreamView(wanted)):
        case Err(error):
            return Unavailable(error)
        case Ok(view):
            refusal = _refuse(view, proposal)
            return refusal or await _append_proposal(log, proposal, view, limit_s)


def _refuse(view: StreamView, proposal: Proposal) -> PublishOutcome | None:
    state = view.state
    if proposal.restart:
        return HistoryKnown(state) if state.revision_known else None
    if not state.revision_known:
        return HistoryLost(state)
    if proposal.parent != state.revision_id and (state.revision or proposal.parent):
        return _report_replaced(view, proposal)
    return None if compute_changes(state.tables, proposal.tables) else Unchanged(state)


def _report_replaced(view: StreamView, proposal: Proposal) -> ParentReplaced:
    tables = Tables() if proposal.parent == "" else view.versions.get(proposal.parent or "")
    return ParentReplaced(proposal.parent, view.state, tables)


async def _append_proposal(
    log: Log, proposal: Proposal, view: StreamView, limit_s: float
) -> PublishOutcome:
    state = view.state
    head = RevisionHead(proposal.id, state.revision_id, proposal.author, proposal.published_at)
    changes = compute_changes(state.tables, proposal.tables)
    record = (
        Restart(head, proposal.tables, state.offset)
        if proposal.restart
        else Revision(head, changes)
    )
    detail = "the log answered and its stream can't be read"
    match await log.append(TABLES_STREAM, encode_record(record)):
        case Err(NotAppended(error)):
            return Unavailable(error)
        case Err(MayBeAppended(error)):
            detail = str(error)
        case Ok(_):
            pass
    named = replace(proposal, parent=head.parent)
    outcome = await _await_verdict(log, named, view, limit_s, changes)
    return outcome or Undecided(proposal.id, detail)


async def _await_verdict(
    log: Log, proposal: Proposal, view: StreamView, limit_s: float, changes: tuple[Change, ...]
) -> PublishOutcome | None:
    """Read on until the revision appears or can no longer win; ``None`` when time is up."""
    before = view.state.tables
    with anyio.move_on_after(limit_s):
        while True:
            match await log.read(TABLES_STREAM, view.state.offset, wait_s=READ_WAIT_S):
                case Err(_):
                    await anyio.sleep(RETRY_PAUSE_S)
                    continue
                case Ok(page):
                    view = fold_page(view, page)
            entry = view.entries.get(proposal.id)
            if entry is not None:
                return _judge_entry(entry, proposal, view, before, changes)
            if not proposal.restart and view.state.revision_id != proposal.parent:
                return _report_replaced(view, proposal)
    return None


def _judge_entry(
    entry: HistoryEntry,
    proposal: Proposal,
    view: StreamView,
    before: Tables,
    changes: tuple[Change, ...],
) -> PublishOutcome:
    match entry.verdict:
        case Verdict.ACCEPTED:
            return Published(entry.head, entry.offset, before, changes)
        case Verdict.VOID:
            return _report_replaced(
                replace(view, versions={proposal.parent or "": before}), proposal
            )
        case Verdict.INVALID:
            return Rejected(entry)
