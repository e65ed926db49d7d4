"""Publish a revision at most once and determine its verdict."""

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
    """Hold a revision that an operator wants to publish.

    ``parent`` is the revision that the tables were edited from, ``None`` if the operator named none.
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
    """State that the parent is not in force; ``parent_tables`` is set if the log still has it."""

    parent: str | None
    state: TablesState
    parent_tables: Tables | None


@dataclass(frozen=True, slots=True)
class RevisionUnknown:
    """State that the log no longer shows which revision is in force."""

    state: TablesState


@dataclass(frozen=True, slots=True)
class RestartRefused:
    """State that a restart is refused because the revision in force is known."""

    state: TablesState


@dataclass(frozen=True, slots=True)
class Rejected:
    """State that the revision was recorded, but every reader refuses its tables."""

    entry: HistoryEntry


@dataclass(frozen=True, slots=True)
class Unavailable:
    """State that the log is unavailable and nothing was published."""

    error: StepError


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """State that the revision may come into force or may already be in force."""

    id: str
    detail: str


PublishOutcome = (
    Published
    | Unchanged
    | ParentReplaced
    | RevisionUnknown
    | RestartRefused
    | Rejected
    | Unavailable
    | OutcomeUnknown
)


async def publish_tables(log: Log, proposal: Proposal, limit_s: float) -> PublishOutcome:
    """Append one revision and return its verdict, waiting up to ``limit_s`` seconds for it.

    The revision is appended only once. If the answer is lost, the stream shows whether it was.
    """
    tracked_ids = frozenset({proposal.id, proposal.parent or ""})
    match await read_to_end(log, StreamView(tracked_ids)):
        case Err(error):
            return Unavailable(error)
        case Ok(view):
            refusal = _check_proposal(view, proposal)
            return refusal or await _append_proposal(log, proposal, view, limit_s)


def _check_proposal(view: StreamView, proposal: Proposal) -> PublishOutcome | None:
    state = view.state
    if proposal.restart:
        return RestartRefused(state) if state.revision_known else None
    if not state.revision_known:
        return RevisionUnknown(state)
    if proposal.parent != state.revision_id and (state.revision or proposal.parent):
        return _make_parent_replaced(view, proposal)
    return None if compute_changes(state.tables, proposal.tables) else Unchanged(state)


def _make_parent_replaced(view: StreamView, proposal: Proposal) -> ParentReplaced:
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
    with_parent = replace(proposal, parent=head.parent)
    outcome = await _await_verdict(log, with_parent, view, limit_s, changes)
    return outcome or OutcomeUnknown(proposal.id, detail)


async def _await_verdict(
    log: Log, proposal: Proposal, view: StreamView, limit_s: float, changes: tuple[Change, ...]
) -> PublishOutcome | None:
    """Read the stream until the revision's verdict is known; ``None`` after ``limit_s`` seconds.

    It is known early if another revision has replaced the parent.
    """
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
                return _make_outcome(entry, proposal, view, before, changes)
            if not proposal.restart and view.state.revision_id != proposal.parent:
                return _make_parent_replaced(view, proposal)
    return None


def _make_outcome(
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
            return _make_parent_replaced(
                replace(view, versions={proposal.parent or "": before}), proposal
            )
        case Verdict.INVALID:
            return Rejected(entry)
