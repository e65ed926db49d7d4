"""Read the tables stream and compute the state that its records lead to."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from fireflybridge_cli._report import clear_progress, report_progress
from fireflybridge_core import StepError
from fireflybridge_platform import Log, Page
from fireflybridge_tables import (
    TABLES_STREAM,
    HistoryEntry,
    Tables,
    TablesState,
    decode_record,
    fold_record,
    skip_gap,
)

PAGE_LIMIT = 1_000


@dataclass(frozen=True, slots=True)
class StreamView:
    """Hold the state after the records read so far.

    For the revisions in ``tracked_ids``, however old, it also keeps the tables that they brought
    into force and their history entries.
    """

    tracked_ids: frozenset[str] = frozenset()
    state: TablesState = field(default_factory=TablesState)
    versions: Mapping[str, Tables] = field(default_factory=dict)
    entries: Mapping[str, HistoryEntry] = field(default_factory=dict)


def fold_page(view: StreamView, page: Page) -> StreamView:
    """Return the view with the records of a page applied."""
    state = skip_gap(view.state, page.first_offset)
    versions, entries = dict(view.versions), dict(view.entries)
    for record in page.records:
        before, state = state, fold_record(state, record.offset, decode_record(record.payload))
        if state.revision_id != before.revision_id and state.revision_id in view.tracked_ids:
            versions[state.revision_id] = state.tables
        if state.history is not before.history and state.history[-1].head.id in view.tracked_ids:
            entries[state.history[-1].head.id] = state.history[-1]
    return replace(view, state=state, versions=versions, entries=entries)


async def read_to_end(log: Log, view: StreamView) -> Result[StreamView, StepError]:
    """Read the records after the view's offset up to the end of the log."""
    while True:
        match await log.read(TABLES_STREAM, view.state.offset, limit=PAGE_LIMIT):
            case Err(error):
                clear_progress()
                return Err(error)
            case Ok(page):
                view = fold_page(view, page)
                report_progress(f"read {view.state.offset} of {page.end_offset} records")
                if not page.records or view.state.offset >= page.end_offset:
                    clear_progress()
                    return Ok(view)
