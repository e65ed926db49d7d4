"""Events that a registrar reports about its shard."""

from collections.abc import Callable
from dataclasses import dataclass

from fireflybridge_claims._records import NewerRecord, UnreadableRecord
from fireflybridge_core import StepError


@dataclass(frozen=True, slots=True)
class CaughtUp:
    """The stream was read from offset ``start`` up to ``next_offset``."""

    shard: int
    start: int
    next_offset: int


@dataclass(frozen=True, slots=True)
class RecordSkipped:
    """A record could not be decoded; one of a later version makes the shard refuse claims."""

    shard: int
    offset: int
    reason: NewerRecord | UnreadableRecord


@dataclass(frozen=True, slots=True)
class RecordsLost:
    """The log has dropped records before they were read.

    ``refused_for_s`` is 0 when they are older than the retention and therefore not needed.
    """

    shard: int
    expected_offset: int
    first_offset: int
    refused_for_s: float


@dataclass(frozen=True, slots=True)
class AnswerResolved:
    """A read showed whether an append whose response was lost had reached the log."""

    shard: int
    number: int
    found: bool


@dataclass(frozen=True, slots=True)
class LogFailed:
    """An append or read failed; the registrar retries it after ``pause_s`` seconds."""

    shard: int
    error: StepError
    pause_s: float


Report = CaughtUp | RecordSkipped | RecordsLost | AnswerResolved | LogFailed
Reporter = Callable[[Report], None]


def ignore_report(report: Report) -> None:
    """Discard a report, for registrars without a reporter."""
