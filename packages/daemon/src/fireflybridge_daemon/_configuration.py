"""Tables in force on this daemon, and the runners of their pools."""

import time
from collections.abc import Callable

import anyio
from result import Err, Ok

from fireflybridge_core import StepError
from fireflybridge_daemon._pools import PoolRunner
from fireflybridge_peers import TableRecord, TablesHave, TablesSend
from fireflybridge_platform import Log, Page
from fireflybridge_tables import (
    TABLES_STREAM,
    Keep,
    Pool,
    Route,
    TablesState,
    adopt_keep_record,
    decode_record,
    encode_record,
    fold_record,
    make_keep_record,
    needs_rerecord,
    skip_gap,
)
from fireflybridge_telemetry import Event, Metrics, log_event

# An idle read ends after this time, so that a dead connection is detected.
READ_WAIT_S = 20.0
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0
# Folding a record takes up to 4 ms with 1,000 upstreams; this limits the records of one read.
PAGE_RECORDS = 50
# How often within the re-record interval reads end, and failed re-records are tried again.
RERECORD_CHECKS = 8
# After this many intervals any daemon re-records the tables: the responsible one may be cut off from
# the log.
OVERDUE_INTERVALS = 1.5

MakeRunner = Callable[[Pool], PoolRunner]


class Configuration:
    """Follow the tables stream and manage one runner for each pool."""

    def __init__(
        self,
        log: Log,
        make_runner: MakeRunner,
        rerecord_interval_s: float,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._log = log
        self._make_runner = make_runner
        self._rerecord_interval_s = rerecord_interval_s
        self._metrics = metrics
        self._clock = clock
        self._read_wait_s = min(READ_WAIT_S, rerecord_interval_s / RERECORD_CHECKS)
        # State read so far. It comes into force only at the end of the stream; otherwise a
        # restarted daemon would serve an older revision than before its restart.
        self._read = TablesState()
        self._state = TablesState()
        self._runners: dict[str, PoolRunner] = {}
        self._idle_at_last_call: set[str] = set()
        self._in_force_since = clock()
        self._last_rerecord = (0, clock())
        self._rerecord_tried_at = clock() - rerecord_interval_s
        self.log_reachable = False
        self.on_change: Callable[[], None] = lambda: None
        self.may_rerecord: Callable[[], bool] = lambda: False

    @property
    def loaded(self) -> bool:
        """Return whether any tables are in force."""
        return self._state.revision is not None

    @property
    def state(self) -> TablesState:
        """Return the state of the tables in force."""
        return self._state

    @property
    def age_s(self) -> float:
        """Return for how many seconds the revision has been in force on this daemon."""
        return self._clock() - self._in_force_since

    @property
    def runners(self) -> tuple[PoolRunner, ...]:
        """Return all runners, including those of pools removed from the tables."""
        return tuple(self._runners.values())

    def find_route(self, route: str) -> tuple[Route, PoolRunner] | None:
        """Return a route in force with the runner of its pool."""
        found = self._state.tables.routes.get(route)
        return None if found is None else (found, self._runners[found.pool])

    def find_runner(self, pool: str) -> PoolRunner | None:
        """Return the runner of a pool, even after the pool was removed from the tables."""
        return self._runners.get(pool)

    async def follow(self) -> None:
        """Read the tables stream and apply each revision, until cancelled."""
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            match await self._log.read(
                TABLES_STREAM, self._read.offset, limit=PAGE_RECORDS, wait_s=self._read_wait_s
            ):
                case Ok(page):
                    retry_delay_s = MIN_RETRY_DELAY_S
                    self.log_reachable = True
                    await self._fold_page(page)
                    if self._read.offset >= page.end_offset:
                        self._apply(self._read)
                        await self._rerecord_if_due(page)
                case Err(error):
                    self._report_log_failure(error)
                    await anyio.sleep(retry_delay_s)
                    retry_delay_s = min(MAX_RETRY_DELAY_S, retry_delay_s * 2)

    def describe_tables(self) -> TablesHave:
        """Return a message to a peer that names the tables in force on this daemon."""
        return TablesHave(self._state.offset, self._state.revision_id)

    def answer_peer(self, have: TablesHave) -> TablesSend | None:
        """Return the revision in force, for a peer that has read less of the stream."""
        keep = make_keep_record(self._state)
        behind = have.offset < self._state.offset
        # At the same offset a peer may lack the revision because the log has removed its record.
        missing = have.offset == self._state.offset and have.revision != self._state.revision_id
        if keep is None or not (behind or missing):
            return None
        return TablesSend((TableRecord(keep.as_of, encode_record(keep)),))

    def adopt(self, message: TablesSend) -> None:
        """Apply a revision from a peer that has read further."""
        for record in message.records:
            match decode_record(record.payload):
                case Keep() as keep:
                    adopted = adopt_keep_record(self._read, keep)
                    if adopted is not self._read:
                        self._read = adopted
                        self._apply(adopted)
                case _:
                    self._metrics.tables_faults.inc()
                    log_event(
                        Event.TABLES_RECORD_UNREADABLE,
                        offset=record.offset,
                        fault="not a record of the tables in force, from a peer",
                    )

    def remove_idle_runners(self, is_needed: Callable[[str], bool]) -> None:
        """Remove the idle runners of pools that were removed from the tables.

        ``is_needed`` returns whether peers hold tasks of a pool, which they may return, or have
        tasks queued for it, which may need the upstreams that this daemon serves. A pool must be
        idle at two calls, since a task on its way to a slot is neither queued nor running.
        """
        idle = {
            name
            for name, runner in self._runners.items()
            if name not in self._state.tables.pools and runner.idle and not is_needed(name)
        }
        for name in idle & self._idle_at_last_call:
            self._runners.pop(name).release_all()
        self._idle_at_last_call = idle

    async def _fold_page(self, page: Page) -> None:
        self._read = skip_gap(self._read, page.first_offset)
        for record in page.records:
            before = self._read.last_fault
            self._read = fold_record(self._read, record.offset, decode_record(record.payload))
            if self._read.last_fault is not None and self._read.last_fault is not before:
                self._metrics.tables_faults.inc()
                log_event(
                    Event.TABLES_RECORD_UNREADABLE,
                    offset=record.offset,
                    fault=repr(self._read.last_fault),
                )
            # Let other tasks run between records. Tables of a peer may be applied meanwhile.
            await anyio.sleep(0)

    def _apply(self, state: TablesState) -> None:
        changed = state.revision_id != self._state.revision_id
        self._state = state
        if not changed:
            return
        self._in_force_since = self._clock()
        for name, pool in state.tables.pools.items():
            if name in self._runners:
                self._runners[name].configure(pool)
            else:
                self._runners[name] = self._make_runner(pool)
        self._metrics.tables_offset.set(state.offset)
        log_event(Event.TABLES_IN_FORCE, revision=state.revision_id, offset=state.offset)
        self.on_change()

    async def _rerecord_if_due(self, page: Page) -> None:
        now = self._clock()
        if self._state.kept_offset != self._last_rerecord[0]:
            self._last_rerecord = (self._state.kept_offset, now)
        since_s = now - self._last_rerecord[1]
        due = needs_rerecord(self._state, page.first_offset, since_s, self._rerecord_interval_s)
        is_responsible = (
            self.may_rerecord() or since_s >= OVERDUE_INTERVALS * self._rerecord_interval_s
        )
        too_early = now - self._rerecord_tried_at < self._rerecord_interval_s / RERECORD_CHECKS
        keep = make_keep_record(self._state)
        if keep is None or too_early or not (due and is_responsible):
            return
        self._rerecord_tried_at = now
        match await self._log.append(TABLES_STREAM, encode_record(keep)):
            case Ok(offset):
                log_event(Event.TABLES_KEPT, offset=offset, revision=self._state.revision_id)
            case Err(failure):
                self._report_log_failure(failure.error)

    def _report_log_failure(self, error: StepError) -> None:
        self.log_reachable = False
        self._metrics.log_errors.labels(error.step).inc()
        log_event(Event.TABLES_LOG_FAILED, error=str(error))
