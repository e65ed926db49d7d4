"""Fold the tables stream into the revision in force.

The result depends only on the records, so every reader gets the same one.
"""

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
    UnreadablePayload,
)
from fireflybridge_tables._table_checks import check_changed_tables, check_tables
from fireflybridge_tables._tables import Tables

MAX_HISTORY = 100
# A new reader reads at most this many records, of about 300 bytes each, after the last Keep record.
MAX_RECORDS_AFTER_KEEP = 500


class Verdict(StrEnum):
    """Result of a published revision.

    A void revision was made from a parent that was no longer in force, or is a Restart record at
    another offset than its ``as_of``. An invalid one has faults.
    """

    ACCEPTED = "accepted"
    VOID = "void"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """A published revision with its offset and verdict."""

    offset: int
    head: RevisionHead
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """A record that this version can't read."""

    offset: int
    detail: str


@dataclass(frozen=True, slots=True)
class InvalidRevision:
    """A revision whose tables have faults; the revision in force stays."""

    offset: int
    revision: str
    faults: tuple[TableFault, ...]


@dataclass(frozen=True, slots=True)
class ConflictingKeep:
    """A Keep record with another revision than the one in force."""

    offset: int
    revision: str


RecordFault = UnreadableRecord | InvalidRevision | ConflictingKeep


@dataclass(frozen=True, slots=True)
class TablesState:
    """What a reader knows of the tables stream.

    ``offset`` is the next offset to fold. ``revision_known`` states that no record is missing, so
    that the revision in force is known. Otherwise the reader waits for a Keep or Restart record,
    and ``tables`` are the last that were known to be in force. ``kept_offset`` is the offset of
    the last valid record of these kinds, or 0: a new reader can start there. ``history`` holds the
    last ``MAX_HISTORY`` revisions.
    """

    revision: RevisionHead | None = None
    offset: int = 0
    tables: Tables = field(default_factory=Tables)
    history: tuple[HistoryEntry, ...] = ()
    kept_offset: int = 0
    revision_known: bool = True
    last_fault: RecordFault | None = None

    @property
    def revision_id(self) -> str:
        """Return the id of the revision in force, or an empty text if there is none."""
        return self.revision.id if self.revision else ""


def skip_gap(state: TablesState, first_offset: int) -> TablesState:
    """Return the state after the log has removed the records before ``first_offset``."""
    if first_offset <= state.offset:
        return state
    return replace(state, offset=first_offset, revision_known=False)


def fold_record(state: TablesState, offset: int, record: TablesRecord) -> TablesState:
    """Return the state after the record at ``offset``; it is ignored below ``state.offset``."""
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
        case UnreadablePayload(detail):
            return replace(state, last_fault=UnreadableRecord(offset, detail))


def _fold_revision(state: TablesState, offset: int, record: Revision) -> TablesState:
    head = record.head
    if not state.revision_known or head.id == state.revision_id:
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
    if not state.revision_known:
        return _restore_keep(state, offset, record)
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
    return replace(accepted, kept_offset=offset, revision_known=True)


def _restore_keep(state: TablesState, offset: int, record: Keep) -> TablesState:
    faults = check_tables(record.tables, record.head.id)
    if faults:
        return replace(state, last_fault=InvalidRevision(offset, record.head.id, faults))
    return replace(
        state, revision=record.head, tables=record.tables, kept_offset=offset, revision_known=True
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
    """Return a Keep record of the revision in force, or ``None`` if it is not known.

    The record is valid only if the log appends it at ``state.offset``. At any other offset it is
    ignored, and a new one must be made from the later state.
    """
    if not state.revision_known or state.revision is None:
        return None
    return Keep(state.revision, state.tables, state.offset)


def needs_keep(
    state: TablesState, first_offset: int, since_keep_s: float, interval_s: float
) -> bool:
    """Return whether a new Keep record is due.

    ``first_offset`` is the oldest offset that the log still has. ``since_keep_s`` is the time in
    seconds since this reader saw ``kept_offset`` change. ``interval_s`` must be well below the
    log's retention time.
    """
    if not state.revision_known or state.revision is None:
        return False
    return (
        state.kept_offset < first_offset
        or state.offset - state.kept_offset > MAX_RECORDS_AFTER_KEEP
        or since_keep_s >= interval_s
    )


def adopt_keep(state: TablesState, keep: Keep) -> TablesState:
    """Return the state after taking over ``keep``, which a peer made with ``make_keep``.

    Nothing is taken over if the peer has read less, or as much while this reader knows the
    revision in force.
    """
    if keep.as_of < state.offset or (keep.as_of == state.offset and state.revision_known):
        return state
    adopted = _restore_keep(replace(state, revision_known=False), keep.as_of, keep)
    if not adopted.revision_known:
        return replace(state, last_fault=adopted.last_fault)
    return replace(adopted, offset=keep.as_of, kept_offset=state.kept_offset)
