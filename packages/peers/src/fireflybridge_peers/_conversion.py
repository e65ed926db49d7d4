"""Conversion between messages and their wire structs."""

from itertools import chain

from fireflybridge_core import (
    Answer,
    Cause,
    Complete,
    Done,
    ExecutionState,
    Failed,
    MayHaveRun,
    NotRun,
    Outcome,
    Payload,
    Pending,
    Problem,
    Refused,
    Submission,
    TaskId,
)
from fireflybridge_peers import _messages as m
from fireflybridge_peers import _wire as w


def pack_message(message: m.Message) -> w.WireMessage:
    """Return the wire struct of a message."""
    match message:
        case m.Heartbeat():
            return pack_heartbeat(message)
        case m.Backlog(pool, count):
            return w.WireBacklog(pool, count)
        case m.Pull(pool, slots):
            return w.WirePull(pool, slots)
        case m.Assign(assignment, pool, tasks):
            return w.WireAssign(assignment, pool, tuple(_pack_task(task) for task in tasks))
        case m.Results(results):
            return w.WireResults(tuple(_pack_result(result) for result in results))
        case m.Returned(ids):
            return w.WireReturned(tuple((task.key, task.index) for task in ids))
        case m.Cancel(keys):
            return w.WireCancel(keys)
        case m.ClaimRequest(shard, key_hash, digest, executor, attempt):
            return w.WireClaimRequest(shard, key_hash, digest, executor, attempt)
        case m.ClaimReply(shard, key_hash, digest, executor, attempt, verdict):
            packed = _pack_verdict(verdict)
            return w.WireClaimReply(shard, key_hash, digest, executor, attempt, packed)
        case m.Fetch(request_id, digest, submission):
            return w.WireFetch(request_id, digest, _pack_submission(submission))
        case m.Answer(request_id, answer):
            return w.WireAnswer(request_id, _pack_answer(answer))
        case m.TablesHave(offset, revision):
            return w.WireTablesHave(offset, revision)
        case m.TablesSend(records):
            return w.WireTablesSend(tuple((record.offset, record.payload) for record in records))


def unpack_message(wire: w.WireMessage, peer: str, incarnation: str) -> m.Message:
    """Return the message of a wire struct that the named peer sent.

    Raise ``ValueError`` for a value that is not allowed in a message.
    """
    match wire:
        case w.WireHeartbeat():
            return unpack_heartbeat(wire, peer, incarnation)
        case w.WireBacklog():
            return m.Backlog(wire.pool, wire.count)
        case w.WirePull():
            return m.Pull(wire.pool, wire.slots)
        case w.WireAssign():
            tasks = tuple(_unpack_task(task) for task in wire.tasks)
            return m.Assign(wire.assignment, wire.pool, tasks)
        case w.WireResults():
            return m.Results(tuple(_unpack_result(result) for result in wire.results))
        case w.WireReturned():
            return m.Returned(tuple(TaskId(*task) for task in wire.ids))
        case w.WireCancel():
            return m.Cancel(wire.keys)
        case w.WireClaimRequest():
            return m.ClaimRequest(
                wire.shard, wire.key_hash, wire.digest, wire.executor, wire.attempt
            )
        case w.WireClaimReply():
            verdict = _unpack_verdict(wire.verdict)
            return m.ClaimReply(
                wire.shard, wire.key_hash, wire.digest, wire.executor, wire.attempt, verdict
            )
        case w.WireFetch():
            return m.Fetch(wire.request_id, wire.digest, _unpack_submission(wire.submission))
        case w.WireAnswer():
            return m.Answer(wire.request_id, _unpack_answer(wire.answer))
        case w.WireTablesHave():
            return m.TablesHave(wire.offset, wire.revision)
        case w.WireTablesSend():
            return m.TablesSend(tuple(m.TableRecord(*record) for record in wire.records))


def pack_heartbeat(heartbeat: m.Heartbeat) -> w.WireHeartbeat:
    """Return the wire struct of a heartbeat."""
    return w.WireHeartbeat(
        heartbeat.failure_domain,
        heartbeat.state.value,
        heartbeat.tables_revision,
        heartbeat.log_reachable,
        tuple(w.WirePoolLoad(load.pool, load.queued, load.free_slots) for load in heartbeat.pools),
        None if heartbeat.quotas is None else _pack_quotas(heartbeat.quotas),
    )


def unpack_heartbeat(wire: w.WireHeartbeat, peer: str, incarnation: str) -> m.Heartbeat:
    """Return the heartbeat that the named peer sent."""
    return m.Heartbeat(
        peer,
        incarnation,
        wire.failure_domain,
        m.PeerState(wire.state),
        wire.tables_revision,
        wire.log_reachable,
        tuple(m.PoolLoad(load.pool, load.queued, load.free_slots) for load in wire.pools),
        None if wire.quotas is None else _unpack_quotas(wire.quotas),
    )


def _pack_quotas(report: m.QuotaReport) -> w.WireQuotaReport:
    pools = (
        (
            claims.pool,
            tuple(chain.from_iterable((use.place, use.held, use.wanted) for use in claims.teams)),
        )
        for claims in report.pools
    )
    return w.WireQuotaReport(report.number, report.heard, report.complete, tuple(pools))


def _unpack_quotas(wire: w.WireQuotaReport) -> m.QuotaReport:
    if any(number < 0 for _, numbers in wire.pools for number in numbers):
        raise ValueError("a count of a quota report is below 0")
    pools = (
        m.PoolClaims(
            pool,
            tuple(
                m.TeamUse(place, held, wanted)
                for place, held, wanted in zip(
                    numbers[::3], numbers[1::3], numbers[2::3], strict=True
                )
            ),
        )
        for pool, numbers in wire.pools
    )
    return m.QuotaReport(wire.number, wire.heard, wire.complete, tuple(pools))


def _pack_task(task: m.AssignedTask) -> w.WireTask:
    return w.WireTask(
        (task.id.key, task.id.index),
        task.route,
        task.pool,
        task.path,
        task.content_type,
        task.body,
        task.team,
        task.idempotent,
        task.expected_s,
        task.timeout_s,
        task.remaining_s,
        task.traceparent,
        task.attempt,
        task.tracestate,
    )


def _unpack_task(wire: w.WireTask) -> m.AssignedTask:
    return m.AssignedTask(
        TaskId(*wire.id),
        wire.route,
        wire.pool,
        wire.path,
        wire.content_type,
        wire.body,
        wire.team,
        wire.idempotent,
        wire.expected_s,
        wire.timeout_s,
        wire.remaining_s,
        wire.traceparent,
        wire.attempt,
        wire.tracestate,
    )


def _pack_result(result: m.TaskResult) -> w.WireResult:
    outcome = _pack_outcome(result.outcome)
    return w.WireResult((result.id.key, result.id.index), result.assignment, outcome)


def _unpack_result(wire: w.WireResult) -> m.TaskResult:
    return m.TaskResult(TaskId(*wire.id), wire.assignment, _unpack_outcome(wire.outcome))


def _pack_outcome(outcome: Outcome) -> w.WireOutcome:
    match outcome:
        case Done():
            return _pack_done(outcome)
        case NotRun(cause, upstream):
            return w.WireNotRun(cause.value, upstream)
        case MayHaveRun(cause, upstream):
            return w.WireMayHaveRun(cause.value, upstream)


def _unpack_outcome(wire: w.WireOutcome) -> Outcome:
    match wire:
        case w.WireDone():
            return _unpack_done(wire)
        case w.WireNotRun():
            return NotRun(Cause(wire.cause), wire.upstream)
        case w.WireMayHaveRun():
            return MayHaveRun(Cause(wire.cause), wire.upstream)


def _pack_done(done: Done) -> w.WireDone:
    return w.WireDone(done.status, done.content_type, done.body, done.upstream, done.run_s)


def _unpack_done(wire: w.WireDone) -> Done:
    return Done(wire.status, wire.content_type, wire.body, wire.upstream, wire.run_s)


def _pack_answer(answer: Answer) -> w.WireCallerAnswer:
    match answer:
        case Complete(done):
            return w.WireComplete(tuple(_pack_done(outcome) for outcome in done))
        case Failed(outcomes):
            return w.WireFailed(tuple(_pack_outcome(outcome) for outcome in outcomes))
        case Pending():
            return w.WirePending()
        case Refused(problem, ran, detail, retry_after_s):
            return w.WireRefused(problem.value, ran.value, detail, retry_after_s)


def _unpack_answer(wire: w.WireCallerAnswer) -> Answer:
    match wire:
        case w.WireComplete():
            return Complete(tuple(_unpack_done(outcome) for outcome in wire.outcomes))
        case w.WireFailed():
            return Failed(tuple(_unpack_outcome(outcome) for outcome in wire.outcomes))
        case w.WirePending():
            return Pending()
        case w.WireRefused():
            return Refused(
                Problem(wire.problem), ExecutionState(wire.ran), wire.detail, wire.retry_after_s
            )


def _pack_verdict(verdict: m.ClaimVerdict) -> w.WireVerdict:
    match verdict:
        case m.ClaimGranted():
            return w.WireGranted()
        case m.ClaimHeld(executor, attempt):
            return w.WireHeld(executor, attempt)
        case m.ClaimConflict():
            return w.WireConflict()
        case m.ClaimUnavailable(detail):
            return w.WireUnavailable(detail)


def _unpack_verdict(wire: w.WireVerdict) -> m.ClaimVerdict:
    match wire:
        case w.WireGranted():
            return m.ClaimGranted()
        case w.WireHeld():
            return m.ClaimHeld(wire.executor, wire.attempt)
        case w.WireConflict():
            return m.ClaimConflict()
        case w.WireUnavailable():
            return m.ClaimUnavailable(wire.detail)


def _pack_submission(submission: Submission) -> w.WireSubmission:
    return w.WireSubmission(
        submission.key,
        submission.route,
        submission.team,
        tuple((payload.content_type, payload.body) for payload in submission.payloads),
        submission.is_job,
        submission.deadline_s,
        submission.traceparent,
        submission.tracestate,
    )


def _unpack_submission(wire: w.WireSubmission) -> Submission:
    return Submission(
        wire.key,
        wire.route,
        wire.team,
        tuple(Payload(*payload) for payload in wire.payloads),
        wire.is_job,
        wire.deadline_s,
        wire.traceparent,
        wire.tracestate,
    )
