"""What a registrar reports about its shard besides decisions."""

from collections.abc import Callable
from dataclasses import dataclass

from fireflybridge_claims._records import NewerRecord, UnreadableRecord
from fireflybridge_core import StepError


@dataclass(frozen=True, slots=True)
class CaughtUp:
    """Report that the stream is known up to ``next_offset``, read from ``start``."""

    shard: int
    start: int
    next_offset: int


@dataclass(frozen=True, slots=True)
class RecordSkipped:
    """Report a record that could not be used; a newer one makes the shard refuse claims."""

    shard: int
    offset: int
    reason: NewerRecord | UnreadableRecord


@dataclass(frozen=True, slots=True)
class RecordsLost:
    """Report that the log no longer has records that were not read.

    ``refused_for_s`` is 0 when they are older than the retention and so not needed.
    """

    shard: int
    expected_offset: int
    first_offset: int
    refused_for_s: float


@dataclass(frozen=True, slots=True)
class AnswerResolved:
    """Report what became of an append whose answer was lost."""

    shard: int
    number: int
    found: bool


@dataclass(frozen=True, slots=True)
class LogFailed:
    """Report a failed append or read; the registrar tries again after ``pause_s`` seconds."""

    shard: int
    error: StepError
    pause_s: float


Report = CaughtUp | RecordSkipped | RecordsLost | AnswerResolved | LogFailed
Reporter = Callable[[Report], None]


def ignore_report(report: Report) -> None:
    """Drop a report."""
