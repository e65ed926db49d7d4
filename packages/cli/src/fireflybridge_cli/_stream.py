"""Read the tables stream and fold it."""

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

    For the revision ids in ``wanted`` it also keeps the tables that they brought into force, and
    what became of them, however long ago.
    """

    wanted: frozenset[str] = frozenset()
    state: TablesState = field(default_factory=TablesState)
    versions: Mapping[str, Tables] = field(default_factory=dict)
    entries: Mapping[str, HistoryEntry] = field(default_factory=dict)


def fold_page(view: StreamView, page: Page) -> StreamView:
    """Return the view after a page of records."""
    state = skip_gap(view.state, page.first_offset)
    versions, entries = dict(view.versions), dict(view.entries)
    for record in page.records:
        before, state = state, fold_record(state, record.offset, decode_record(record.payload))
        if state.revision_id != before.revision_id and state.revision_id in view.wanted:
            versions[state.revision_id] = state.tables
        if state.history is not before.history and state.history[-1].head.id in view.wanted:
            entries[state.history[-1].head.id] = state.history[-1]
    return replace(view, state=state, versions=versions, entries=entries)


async def read_to_end(log: Log, view: StreamView) -> Result[StreamView, StepError]:
    """Read every record that the log has, from where the view ends."""
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
