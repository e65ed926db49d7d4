"""Fold the tables stream into the revision in force, alike for every reader."""

from dataclasses import dataclass, field, replace
from enum import StrEnum

from fireflybridge_tables._changes import apply_changes
from fireflybridge_tables._faults import MissingPool, TableFault
from fireflybridge_tables._records import (
    Keep,
    Restart,
    Revision,
    RevisionHead,
    TablesRecord,
    Unreadable,
)
from fireflybridge_tables._tables import Tables
from fireflybridge_tables._verification import check_changed_tables, check_tables

MAX_HISTORY = 100
# A reader that starts anew reads at most this many records of about 300 bytes after a Keep.
MAX_RECORDS_AFTER_KEEP = 500


class Verdict(StrEnum):
    """Name what became of a published revision."""

    ACCEPTED = "accepted"
    VOID = "void"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """Hold a revision's head with its offset and what became of it."""

    offset: int
    head: RevisionHead
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """Report a record that this version can't read."""

    offset: int
    detail: str


@dataclass(frozen=True, slots=True)
class InvalidRevision:
    """Report a revision whose tables break the rules; the revision in force stays."""

    offset: int
    revision: str
    faults: tuple[TableFault, ...]


@dataclass(frozen=True, slots=True)
class ConflictingKeep:
    """Report a Keep record that names another revision than the one in force."""

    offset: int
    revision: str


RecordFault = UnreadableRecord | InvalidRevision | ConflictingKeep


@dataclass(frozen=True, slots=True)
class TablesState:
    """Hold what a reader knows of the tables stream.

    ``offset`` is the next offset to fold. ``anchored`` states that no record is missing, so the
    revision in force is known; otherwise the reader waits for a Keep or Restart record and
    ``tables`` are the last that were known to be in force. ``kept_offset`` is the offset from
    which a new reader could start. ``history`` holds the last ``MAX_HISTORY`` revisions.
    """

    revision: RevisionHead | None = None
    offset: int = 0
    tables: Tables = field(default_factory=Tables)
    history: tuple[HistoryEntry, ...] = ()
    kept_offset: int = 0
    anchored: bool = True
    last_fault: RecordFault | None = None

    @property
    def revision_id(self) -> str:
        """Return the id of the revision in force, empty when there is none."""
        return self.revision.id if self.revision else ""


def skip_gap(state: TablesState, first_offset: int) -> TablesState:
    """Note that the log has removed records before ``first_offset``."""
    if first_offset <= state.offset:
        return state
    return replace(state, offset=first_offset, anchored=False)


def fold_record(state: TablesState, offset: int, record: TablesRecord) -> TablesState:
    """Return the state after the record at ``offset``; a record folded before changes nothing."""
    if offset < state.offset:
        return state
    state = replace(skip_gap(state, offset), offset=offset + 1)
    match record:
        case Revision():
            return _fold_revision(state, offset, record)
        case Keep():
            return _fold_keep(state, offset, record)
        case Restart():
            return _fold_restart(state, offset, record)
        case Unreadable(detail):
            return replace(state, last_fault=UnreadableRecord(offset, detail))


def _fold_revision(state: TablesState, offset: int, record: Revision) -> TablesState:
    head = record.head
    if not state.anchored or head.id == state.revision_id:
        return state
    if head.parent != state.revision_id:
        return _add_history(state, offset, head, Verdict.VOID)
    tables = apply_changes(state.tables, record.changes)
    if isinstance(tables, str):
        return _reject(state, offset, head, (MissingPool(head.id, "", tables),))
    faults = check_changed_tables(tables, record.changes, head.id)
    if faults:
        return _reject(state, offset, head, faults)
    return _accept(state, offset, head, tables)


def _fold_keep(state: TablesState, offset: int, record: Keep) -> TablesState:
    if record.as_of != offset:
        return state
    if not state.anchored:
        return _start_from(state, offset, record)
    if record.head.id != state.revision_id:
        return replace(state, last_fault=ConflictingKeep(offset, record.head.id))
    return replace(state, kept_offset=offset)


def _fold_restart(state: TablesState, offset: int, record: Restart) -> TablesState:
    if record.as_of != offset:
        return _add_history(state, offset, record.head, Verdict.VOID)
    faults = check_tables(record.tables, record.head.id)
    if faults:
        return _reject(state, offset, record.head, faults)
    accepted = _accept(state, offset, record.head, record.tables)
    return replace(accepted, kept_offset=offset, anchored=True)


def _start_from(state: TablesState, offset: int, record: Keep) -> TablesState:
    faults = check_tables(record.tables, record.head.id)
    if faults:
        return replace(state, last_fault=InvalidRevision(offset, record.head.id, faults))
    return replace(
        state, revision=record.head, tables=record.tables, kept_offset=offset, anchored=True
    )


def _accept(state: TablesState, offset: int, head: RevisionHead, tables: Tables) -> TablesState:
    return replace(
        _add_history(state, offset, head, Verdict.ACCEPTED), revision=head, tables=tables
    )


def _reject(
    state: TablesState, offset: int, head: RevisionHead, faults: tuple[TableFault, ...]
) -> TablesState:
    fault = InvalidRevision(offset, head.id, faults)
    return replace(_add_history(state, offset, head, Verdict.INVALID), last_fault=fault)


def _add_history(
    state: TablesState, offset: int, head: RevisionHead, verdict: Verdict
) -> TablesState:
    repeated = any(entry.head.id == head.id for entry in state.history)
    if repeated and verdict is not Verdict.ACCEPTED:
        return state
    entries = (*state.history, HistoryEntry(offset, head, verdict))
    return replace(state, history=entries[-MAX_HISTORY:])


def make_keep(state: TablesState) -> Keep | None:
    """Return the Keep record of the revision in force, ``None`` when it is not known.

    It counts if the log appends it at ``state.offset``; at any other offset write another.
    """
    if not state.anchored or state.revision is None:
        return None
    return Keep(state.revision, state.tables, state.offset)


def needs_keep(
    state: TablesState, first_offset: int, since_keep_s: float, interval_s: float
) -> bool:
    """Return whether the revision in force should be recorded again.

    ``first_offset`` is the oldest offset the log keeps; ``since_keep_s`` the time since this
    reader last saw ``kept_offset`` change; ``interval_s`` must be well below the log's retention.
    """
    if not state.anchored or state.revision is None:
        return False
    return (
        state.kept_offset < first_offset
        or state.offset - state.kept_offset > MAX_RECORDS_AFTER_KEEP
        or since_keep_s >= interval_s
    )


def adopt_keep(state: TablesState, keep: Keep) -> TablesState:
    """Take over what a peer knows, when it has read further; ``keep`` is its ``make_keep``."""
    if keep.as_of < state.offset or (keep.as_of == state.offset and state.anchored):
        return state
    adopted = _start_from(replace(state, anchored=False), keep.as_of, keep)
    if not adopted.anchored:
        return replace(state, last_fault=adopted.last_fault)
    return replace(adopted, offset=keep.as_of, kept_offset=state.kept_offset)
