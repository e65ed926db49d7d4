"""Registrar: the task that decides the claims of one shard."""

import itertools
import secrets
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from result import Err, Ok

from fireflybridge_claims._records import (
    MAX_CLAIM_BYTES,
    MAX_HEADER_BYTES,
    NewerRecord,
    UnreadableRecord,
    decode_record,
    encode_batch,
)
from fireflybridge_claims._reports import (
    AnswerResolved,
    CaughtUp,
    LogFailed,
    RecordSkipped,
    RecordsLost,
    Reporter,
    ignore_report,
)
from fireflybridge_claims._rules import apply_batch, decide, must_refuse_after_loss
from fireflybridge_claims._types import Batch, Claim, Decision, Unavailable, Undecided
from fireflybridge_claims._view import ShardView
from fireflybridge_core import CLAIM_SHARDS, StepError, find_shard
from fireflybridge_platform import Log, NotAppended, Page, Record

# The log takes several hundred appends per second from all writers together.
LOG_APPENDS_PER_S = 300
READ_LIMIT = 250
# Applying a claim takes about 6 us, so other tasks of the daemon run at least every 2 ms.
MAX_CLAIMS_BEFORE_YIELD = 300
MIN_PAUSE_S = 0.01

Clock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class RegistrarLimits:
    """Limits of one registrar; times are in seconds.

    ``log_retention_s`` is how long the log keeps records, 0 if unknown. Unless it is longer than
    ``retention_s``, dropped records make the shard refuse claims for ``retention_s``.
    """

    retention_s: float = 600.0
    log_retention_s: float = 0.0
    claim_timeout_s: float = 2.0
    min_interval_s: float = CLAIM_SHARDS / LOG_APPENDS_PER_S
    max_pause_s: float = 1.0
    max_record_bytes: int = 32 * 1024
    max_waiting: int = 10_000
    max_entries: int = 150_000


@dataclass(slots=True, eq=False)
class _Waiter:
    """Claim of a caller that waits for the decision."""

    claim: Claim
    decided: anyio.Event
    decision: Decision | None = None


class Registrar:
    """Decides the claims of one shard by the order of its log stream.

    Several registrars of a shard may run at once, since each decides only by that order. ``run``
    is the only task of a registrar; ``claim`` may be called by any number of tasks.
    """

    def __init__(
        self,
        log: Log,
        shard: int,
        incarnation: str,
        clock: Clock,
        *,
        limits: RegistrarLimits | None = None,
        report: Reporter = ignore_report,
    ) -> None:
        self._log = log
        self._shard = shard
        self._stream = get_stream_name(shard)
        self._incarnation = incarnation
        self._clock = clock
        self._limits = limits or RegistrarLimits()
        self._report = report
        self._view = ShardView(self._limits.retention_s, self._limits.max_entries, clock())
        # A random start keeps batch numbers distinct when a daemon owns the shard a second time.
        self._batch_numbers = itertools.count(secrets.randbits(32))
        self._waiting: dict[_Waiter, None] = {}
        self._wakeup = anyio.Event()
        self._must_read = True
        self._unresolved_number: int | None = None
        self._synced_s: float | None = None
        self._append_due_s = clock()
        self._failures = 0
        self._last_error = StepError("claims.claim", self._stream, "the log has not answered yet")

    @property
    def remembered(self) -> int:
        """Return how many claims are remembered."""
        return len(self._view)

    async def claim(self, claim: Claim) -> Decision:
        """Return the decision on a claim, ``Unavailable`` after the claim timeout.

        A claim that timed out may still take effect: the executor keeps it as abandoned.
        """
        if find_shard(claim.key_hash) != self._shard:
            return self._refuse(f"the key belongs to shard {find_shard(claim.key_hash)}")
        self._view.advance(self._clock())
        match decide(claim, self._view):
            case Undecided():
                return await self._wait_for_decision(claim)
            case decision:
                return decision

    async def run(self) -> None:
        """Decide claims until cancelled."""
        while not await self._catch_up():
            await self._pause()
        while True:
            await self._wait_for_claims()
            if self._must_read and not await self._read_to_end():
                await self._pause()
                continue
            self._answer_decided()
            await anyio.sleep(max(0.0, self._append_due_s - self._clock()))
            undecided = self._answer_decided()
            if undecided and not await self._append(undecided):
                await self._pause()

    async def _wait_for_decision(self, claim: Claim) -> Decision:
        if len(self._waiting) >= self._limits.max_waiting:
            return self._refuse(f"{len(self._waiting)} claims wait already")
        waiter = _Waiter(claim, anyio.Event())
        self._waiting[waiter] = None
        self._wakeup.set()
        try:
            with anyio.move_on_after(self._limits.claim_timeout_s):
                await waiter.decided.wait()
        finally:
            self._waiting.pop(waiter, None)
        if waiter.decision is not None:
            return waiter.decision
        return Unavailable(self._last_error, self._limits.claim_timeout_s)

    async def _wait_for_claims(self) -> None:
        while not self._waiting:
            self._wakeup = anyio.Event()
            await self._wakeup.wait()

    def _answer_decided(self) -> tuple[Claim, ...]:
        """Answer every waiting claim that the view decides and return the next batch."""
        self._view.advance(self._clock())
        undecided = []
        for waiter in tuple(self._waiting):
            match decide(waiter.claim, self._view):
                case Undecided():
                    undecided.append(waiter.claim)
                case decision:
                    waiter.decision = decision
                    waiter.decided.set()
                    del self._waiting[waiter]
        max_claims = (self._limits.max_record_bytes - MAX_HEADER_BYTES) // MAX_CLAIM_BYTES
        return tuple(undecided[: max(1, max_claims)])

    async def _append(self, claims: tuple[Claim, ...]) -> bool:
        """Append one batch; decide its claims if the returned offset is the next one."""
        batch = Batch(self._incarnation, next(self._batch_numbers), self._view.floor, claims)
        self._append_due_s = self._clock() + self._limits.min_interval_s
        # Set before the append, so that a cancelled append is resolved as well.
        self._must_read, self._unresolved_number = True, batch.number
        match await self._log.append(self._stream, encode_batch(batch)):
            case Ok(offset):
                self._unresolved_number = None
                if offset == self._view.next_offset:
                    self._must_read = False
                    self._mark_synced()
                    self._view.advance(self._clock())
                    apply_batch(self._view, batch, offset)
                    self._answer_decided()
                return True
            case Err(failure):
                if isinstance(failure, NotAppended):
                    self._must_read, self._unresolved_number = False, None
                self._handle_failure(failure.error)
                return False

    async def _read_to_end(self) -> bool:
        """Apply every record that was not read yet; return whether the end was reached."""
        numbers: set[int] = set()
        while True:
            match await self._log.read(self._stream, self._view.next_offset, limit=READ_LIMIT):
                case Err(error):
                    self._handle_failure(error)
                    return False
                case Ok(page):
                    before = self._view.next_offset
                    numbers.update(await self._apply_page(page))
                    if self._view.next_offset >= page.end_offset:
                        break
                    if self._view.next_offset == before:
                        detail = f"offset {before} of {page.end_offset} is missing from the page"
                        self._handle_failure(StepError("log.read", self._stream, detail))
                        return False
        if self._unresolved_number is not None:
            found = self._unresolved_number in numbers
            self._report(AnswerResolved(self._shard, self._unresolved_number, found))
        self._must_read, self._unresolved_number = False, None
        self._mark_synced()
        return True

    async def _apply_page(self, page: Page) -> list[int]:
        """Apply a page and return the numbers of this registrar's own batches in it.

        Claims may be decided between its records: a key that an earlier record holds stays held.
        """
        self._view.advance(self._clock())
        if page.end_offset < self._view.next_offset:
            # The log has lost its newest records and assigns their offsets to other records.
            self._handle_loss(page.first_offset, refuse=True)
            return []
        if page.first_offset > self._view.next_offset:
            limits = self._limits
            self._handle_loss(
                page.first_offset,
                refuse=must_refuse_after_loss(
                    self._clock(), self._synced_s, limits.retention_s, limits.log_retention_s
                ),
            )
        own: list[int] = []
        applied = 0
        for record in page.records:
            if record.offset >= self._view.next_offset:
                batch = self._apply_record(record)
                if batch is not None and batch.writer == self._incarnation:
                    own.append(batch.number)
                applied += len(batch.claims) if batch is not None else 1
            if applied >= MAX_CLAIMS_BEFORE_YIELD:
                applied = 0
                await anyio.sleep(0)
        self._view.next_offset = max(self._view.next_offset, page.next_offset)
        return own

    def _apply_record(self, record: Record) -> Batch | None:
        self._view.next_offset = record.offset
        match decode_record(record.payload):
            case Batch() as batch:
                apply_batch(self._view, batch, record.offset)
                return batch
            case NewerRecord() as reason:
                # It may hold claims, so a key without an entry may be claimed already.
                self._view.mark_records_lost()
                self._report(RecordSkipped(self._shard, record.offset, reason))
            case UnreadableRecord() as reason:
                self._report(RecordSkipped(self._shard, record.offset, reason))
        self._view.next_offset = record.offset + 1
        return None

    async def _catch_up(self) -> bool:
        """Read the records that may hold a key, starting at the floor of the last batch."""
        match await self._log.read(self._stream, 0, limit=1):
            case Err(error):
                self._handle_failure(error)
                return False
            case Ok(page):
                start = await self._find_floor(page)
        self._view.next_offset = max(start, self._view.next_offset)
        if not await self._read_to_end():
            return False
        self._report(CaughtUp(self._shard, start, self._view.next_offset))
        return True

    async def _find_floor(self, page: Page) -> int:
        """Return the floor in the stream's last record, 0 if that is not a readable batch."""
        if page.end_offset == page.first_offset:
            return 0
        match await self._log.read(self._stream, page.end_offset - 1, limit=1):
            case Ok(Page(records=(Record() as last, *_))):
                match decode_record(last.payload):
                    case Batch(floor=floor) if floor <= last.offset:
                        return floor
        return 0

    def _handle_loss(self, first_offset: int, *, refuse: bool) -> None:
        expected = self._view.next_offset
        self._view.next_offset = first_offset
        if refuse:
            self._view.mark_records_lost()
        self._report(RecordsLost(self._shard, expected, first_offset, self._view.loss_expires_in_s))

    def _mark_synced(self) -> None:
        self._synced_s = self._clock()
        self._failures = 0

    def _handle_failure(self, error: StepError) -> None:
        self._failures += 1
        self._last_error = error
        self._report(LogFailed(self._shard, error, self._pause_s()))

    def _pause_s(self) -> float:
        """Return the pause after a failure: the interval, doubled with each further failure."""
        doublings = min(self._failures - 1, 16)
        first_s = max(MIN_PAUSE_S, self._limits.min_interval_s)
        return min(self._limits.max_pause_s, first_s * 2.0**doublings)

    async def _pause(self) -> None:
        await anyio.sleep(self._pause_s())

    def _refuse(self, detail: str) -> Unavailable:
        error = StepError("claims.claim", self._stream, detail)
        return Unavailable(error, self._limits.claim_timeout_s)


def get_stream_name(shard: int) -> str:
    """Return the name of a shard's log stream."""
    return f"claims-{shard:02d}"
