"""Log lines and counters for the events and decisions of a host."""

import traceback
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

import structlog

from fireflybridge_entry import Configuration, LateSubmission, SentSubmission
from fireflybridge_execution import (
    EarlierRunAdopted,
    EarlierRunEnded,
    ExecutionEvent,
    JobDeferred,
    JobEnded,
    JobReceived,
    LeaderLoad,
    RunKey,
    RunMoved,
    RunNotCompleted,
    StoppedRunEnded,
    SubmissionJoined,
    TasksPlaced,
    UnexpectedError,
    UpstreamCrashed,
    UpstreamEjected,
    UpstreamSynced,
)
from fireflybridge_jobs import (
    Answer,
    EarlierRuns,
    Failed,
    JobSender,
    Moved,
    NotRun,
    Succeeded,
    TaskId,
    TimedOut,
)
from fireflybridge_leadership import ClaimResult, StoreError, Term

MAX_LISTED_UPSTREAMS = 8  # keeps lines short at the start of a term
LATENCY_BOUNDS_MS = (25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1600.0, 3200.0)


@dataclass(frozen=True, slots=True)
class _AnswerLabels:
    """Hold the name and reason under which an answer is logged and counted."""

    name: str
    reason: str = ""


@dataclass(slots=True)
class Counters:
    """Count answers, answers by latency, runs and errors; the metrics are made from them."""

    answers: Counter[tuple[str, str]] = field(default_factory=Counter)
    latencies: Counter[tuple[str, float]] = field(default_factory=Counter)
    latency_sum_ms: Counter[str] = field(default_factory=Counter)
    runs: int = 0
    failed_runs: int = 0
    ejections: int = 0
    store_errors: int = 0
    terms: int = 0
    unexpected_errors: int = 0


class EventLogger:
    """Write one log line with an id for each event; docs/reference/host-events.md lists them."""

    def __init__(self) -> None:
        self.counters = Counters()
        self._log = structlog.get_logger()

    def record_execution(self, event: ExecutionEvent) -> None:
        """Log an event of the scheduler."""
        match event:
            case JobReceived():
                earlier = event.earlier or EarlierRuns()
                self._log.info(
                    "job received",
                    event_id=7101,
                    job=event.job,
                    route=event.route,
                    tasks=event.tasks,
                    chain_ms=round(event.critical_path_ms),
                    queued_jobs=event.queued_jobs,
                    resubmitted=event.earlier is not None,
                    earlier_upstreams=dict(earlier.upstreams),
                    earlier_domains=dict(earlier.domains),
                    fences=dict(event.fences),
                    unlisted=event.unlisted[:MAX_LISTED_UPSTREAMS],
                    unlisted_count=len(event.unlisted),
                    seen_before=event.seen_before,
                    **_describe_sender(event.sender),
                )
            case SubmissionJoined():
                self._log.info(
                    "submission joined",
                    event_id=7110,
                    job=event.job,
                    resubmitted=event.earlier is not None,
                    **_describe_sender(event.sender),
                )
            case TasksPlaced():
                self._record_placements(event)
            case JobDeferred(job=job, leader=leader, had_runs=had_runs):
                self._log.info(
                    "job left to another leader",
                    event_id=7111,
                    job=job,
                    leader=leader,
                    had_runs=had_runs,
                )
            case RunNotCompleted():
                self._log.warning(
                    "run ended badly",
                    event_id=7105,
                    **_describe_run(event),
                    ending=event.outcome,
                    elapsed_ms=round(event.elapsed_ms),
                )
            case StoppedRunEnded():
                self._log.info(
                    "stopped run ended",
                    event_id=7107,
                    **_describe_run(event),
                    ending=event.outcome,
                    elapsed_ms=round(event.elapsed_ms),
                )
            case EarlierRunAdopted():
                self._log.info("earlier run adopted", event_id=7108, **_describe_run(event))
            case EarlierRunEnded():
                self._log.info(
                    "earlier run ended",
                    event_id=7109,
                    **_describe_run(event),
                    ending=event.outcome,
                )
            case RunMoved():
                self._record_move(event)
            case JobEnded():
                self._record_end(event)
            case LeaderLoad():
                self._log.info(
                    "leader load",
                    event_id=7113,
                    waiting_jobs=event.waiting_jobs,
                    passes=event.passes,
                    longest_pass_ms=round(event.longest_pass_ms, 1),
                    asked=event.asked,
                    answered=event.answered,
                )
            case UpstreamSynced():
                self._log.info(
                    "upstream synced",
                    event_id=7201,
                    upstream=event.upstream,
                    fence=event.fence,
                    incarnation=event.incarnation,
                    running=_format_runs(event.running),
                )
            case UpstreamEjected():
                self.counters.ejections += 1
                self._log.warning(
                    "upstream ejected",
                    event_id=7202,
                    upstream=event.upstream,
                    reason=event.reason,
                    failures=event.failures,
                )
            case UpstreamCrashed():
                self._log.warning(
                    "upstream crashed",
                    event_id=7203,
                    upstream=event.upstream,
                    sign=event.sign,
                    runs=_format_runs(event.runs),
                )
            case UnexpectedError(action=action, error=error):
                self.record_unexpected_error(action, error)

    def record_request(
        self,
        job: str,
        route: str,
        answer: Answer,
        elapsed_ms: float,
        sent: Iterable[SentSubmission],
    ) -> None:
        """Log and count an answer to a caller."""
        labels = _label_answer(answer)
        self.counters.answers[route, labels.name] += 1
        self.counters.latency_sum_ms[route] += round(elapsed_ms)
        bound = next((b for b in LATENCY_BOUNDS_MS if elapsed_ms <= b), float("inf"))
        self.counters.latencies[route, bound] += 1
        self._log.info(
            "request answered",
            event_id=7103,
            job=job,
            route=route,
            outcome=labels.name,
            reason=labels.reason,
            elapsed_ms=round(elapsed_ms),
            leaders=[[entry.address, entry.fence, entry.number] for entry in sent],
        )

    def record_late_submission(self, late: LateSubmission) -> None:
        """Log a submission whose sender may wait no longer, or that came after a pause."""
        age_ms = late.stamp_age_ms
        self._log.info(
            "submission not taken",
            event_id=7112,
            job=late.job,
            sender=late.sender,
            submission=late.number,
            stamp_age_ms=None if age_ms is None or age_ms == inf else round(age_ms),
        )

    def record_store_error(self, error: StoreError) -> None:
        """Log and count a store call without a usable response."""
        self.counters.store_errors += 1
        self._log.warning("store call failed", event_id=7301, error=str(error))

    def record_unexpected_error(self, action: str, error: Exception) -> None:
        """Log, with its traceback, and count an error that has interrupted one action."""
        self.counters.unexpected_errors += 1
        self._log.error(
            "unexpected error",
            event_id=7501,
            action=action,
            error=repr(error),
            traceback="".join(traceback.format_exception(error)),
        )

    def record_configuration(self, configuration: Configuration, waited_s: float) -> None:
        """Log a configuration that is now in force."""
        self._log.info(
            "configuration in force",
            event_id=7302,
            version=configuration.version,
            routes=len(configuration.routes),
            waited_ms=round(waited_s * 1000),
        )

    def record_term(self, term: Term, *, own: bool) -> None:
        """Log a new leader of the host's failure domain."""
        self.counters.terms += 1
        self._log.info(
            "leader known",
            event_id=7401,
            failure_domain=term.domain,
            leader=term.holder.host,
            address=term.holder.address,
            fence=term.fence,
            own=own,
        )

    def record_lost_leader(self, term: Term, reason: str) -> None:
        """Log the loss of the leader."""
        self._log.warning(
            "leader lost",
            event_id=7402,
            failure_domain=term.domain,
            leader=term.holder.host,
            fence=term.fence,
            reason=reason,
        )

    def record_claim(self, domains: tuple[str, ...], result: ClaimResult) -> None:
        """Log an attempt to lead failure domains."""
        self._log.info(
            "leadership claimed", event_id=7403, failure_domains=domains, result=result.name
        )

    def record_provisional(self, term: Term, candidates: int) -> None:
        """Log that this host leads provisionally because the log of terms can't be reached."""
        self._log.warning(
            "provisional leadership",
            event_id=7405,
            failure_domain=term.domain,
            fence=term.fence,
            candidates=candidates,
        )

    def record_hand_over(self, domains: tuple[str, ...], successor: str, *, done: bool) -> None:
        """Log an attempt to hand leadership over to another host, and whether it succeeded."""
        self._log.info(
            "leadership handed over",
            event_id=7404,
            failure_domains=domains,
            successor=successor,
            done=done,
        )

    def record_lifecycle(self, event_id: int, message: str, **fields: object) -> None:
        """Log a start, a reload, the start of a drain or a stop."""
        self._log.info(message, event_id=event_id, **fields)

    def record_pause(self, paused_s: float) -> None:
        """Log that this process was paused, in seconds."""
        self._log.warning("process was paused", event_id=7005, paused_s=round(paused_s, 2))

    def _record_placements(self, event: TasksPlaced) -> None:
        self.counters.runs += len(event.placements)
        self._log.info(
            "tasks placed",
            event_id=7102,
            job=event.job,
            waiting=event.waiting,
            placements=[
                [
                    _format_task(placed.task),
                    placed.number,
                    placed.upstream,
                    round(placed.speed, 2),
                    round(placed.list_age_ms),
                ]
                for placed in event.placements
            ],
            unlisted=event.unlisted[:MAX_LISTED_UPSTREAMS],
            unlisted_count=len(event.unlisted),
            unreachable=event.unreachable,
        )

    def _record_move(self, event: RunMoved) -> None:
        self._log.info(
            "run moved",
            event_id=7106,
            **_describe_run(event),
            elapsed_ms=round(event.progress.elapsed_ms),
            percent=event.progress.percent,
            expected_work_ms=round(event.progress.expected_work_ms),
            speed=round(event.progress.speed, 2),
        )

    def _record_end(self, event: JobEnded) -> None:
        labels = _label_answer(event.answer)
        self.counters.failed_runs += event.failed_runs
        self._log.info(
            "job ended",
            event_id=7104,
            job=event.job,
            route=event.route,
            outcome=labels.name,
            reason=labels.reason,
            elapsed_ms=round(event.elapsed_ms),
            waited_ms=None if event.waited_ms is None else round(event.waited_ms),
            failed_runs=event.failed_runs,
            senders=[[sender.host, sender.number] for sender in event.senders],
            cleared=event.is_cleared,
        )


def _format_task(task: TaskId) -> str:
    return f"{task.occurrence}.{task.step}.{task.index}"


def _describe_sender(sender: JobSender) -> dict[str, str | int | None]:
    """Return the fields that name a submission and its age by this host's clock."""
    age_ms = sender.stamp_age_ms
    return {
        "sender": sender.host,
        "submission": sender.number,
        "stamp_age_ms": None if age_ms is None else round(age_ms),
    }


def _describe_run(
    event: RunNotCompleted | StoppedRunEnded | EarlierRunAdopted | EarlierRunEnded | RunMoved,
) -> dict[str, str | int]:
    """Return the fields that name a run."""
    return {
        "job": event.task.job,
        "task": _format_task(event.task),
        "run": event.number,
        "upstream": event.upstream,
    }


def _format_runs(runs: Iterable[RunKey]) -> list[list[str | int]]:
    return [[f"{task.job}.{_format_task(task)}", number] for task, number in runs]


def _label_answer(answer: Answer) -> _AnswerLabels:
    match answer:
        case Succeeded():
            return _AnswerLabels("succeeded")
        case Failed(reason=reason):
            return _AnswerLabels("failed", reason)
        case NotRun(reason=refusal):
            return _AnswerLabels("not-run", refusal)
        case TimedOut(reason=reason):
            return _AnswerLabels("timed-out", reason)
        case Moved():
            return _AnswerLabels("moved")
