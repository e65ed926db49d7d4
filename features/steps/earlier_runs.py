"""Steps on what a new leader learns of the runs that an earlier one started."""

import anyio
from behave import then, when
from behave.runner import Context
from support.leading import FENCES, SINGLE_TASK_JOB, run_scheduler, submit
from support.upstreams import (
    WAIT_LIMIT_S,
    EndlessConnector,
    EndlessUpstream,
    make_job,
    wait_until,
)

from fireflybridge_execution import (
    Accepted,
    ExecutionEvent,
    Hold,
    Rejected,
    RejectionReason,
    Scheduler,
    Stop,
    UpstreamEjected,
)
from fireflybridge_execution._session import UpstreamSession
from fireflybridge_http import ExchangeError, ExchangeStep
from fireflybridge_jobs import (
    EarlierRuns,
    Moved,
    RunningRun,
    RunReport,
    Succeeded,
    TaskId,
)

JOB = make_job("a", 2)
BEFORE_NEXT_TERM_S = 0.3  # shorter than the time after which unknown runs have ended
SHORTEST_LIST_DELAY_S = 0.1
LOST_STOP_WAIT_S = 1.2


@when("it stops leading after one of a job's two tasks has ended")
def hand_over(context: Context) -> None:
    anyio.run(hand_over_half_done, context)


async def hand_over_half_done(context: Context) -> None:
    """Stop leading with one of two tasks done, and submit the job to the next leader."""
    connector = EndlessConnector()
    async with run_scheduler(context, FENCES[0], connector) as scheduler:
        async with anyio.create_task_group() as group:
            group.start_soon(submit, context, scheduler, JOB, None)
            await wait_until(lambda: "u0" in connector.upstreams)
            upstream = connector.upstreams["u0"]
            await wait_until(lambda: len(upstream.running) == 2)
            context.done = upstream.running[0].task
            upstream.end_run()
            await wait_until(lambda: upstream.acknowledged == 1)
            scheduler.lead({})
    context.moved = context.answer
    upstream.running.clear()
    async with run_scheduler(context, FENCES[1], connector) as scheduler:
        async with anyio.create_task_group() as group:
            group.start_soon(submit, context, scheduler, JOB, context.moved.earlier)
            await wait_until(lambda: upstream.running)
            context.started_again = [run.task for run in upstream.running]
            upstream.end_run()


@then("the job's answer names the task that is done")
def check_moved(context: Context) -> None:
    assert isinstance(context.moved, Moved), context.moved
    assert context.moved.earlier.done == frozenset({context.done}), context.moved


@then("a next leader that gets the job starts only the other task")
def check_started_again(context: Context) -> None:
    assert context.done not in context.started_again, context.started_again
    assert len(context.started_again) == 1, context.started_again
    assert context.answer == Succeeded(), context.answer


@when("a run of an earlier leader ends there before its job is submitted again")
def submit_after_end(context: Context) -> None:
    task = TaskId(SINGLE_TASK_JOB.id, 0, 0, 0)
    anyio.run(resubmit_after_end, context, task)


@when("the upstream reports an end of a step that a resubmitted job doesn't have")
def submit_after_unknown_end(context: Context) -> None:
    task = TaskId(SINGLE_TASK_JOB.id, 0, 7, 0)
    anyio.run(resubmit_after_end, context, task)


async def resubmit_after_end(context: Context, task: TaskId) -> None:
    """Report an end of a task, then submit its job with what is known of its earlier runs."""
    upstream = EndlessUpstream()
    upstream.running.append(RunningRun(task, 1, 50))
    upstream.end_run()
    connector = EndlessConnector()
    connector.upstreams["u0"] = upstream
    earlier = EarlierRuns({"u0": FENCES[0]})
    async with run_scheduler(context, FENCES[0], connector) as scheduler:
        await wait_until(lambda: upstream.acknowledged == 1)
        async with anyio.create_task_group() as group:
            group.start_soon(submit, context, scheduler, SINGLE_TASK_JOB, earlier)
            with anyio.move_on_after(1):
                await wait_until(lambda: hasattr(context, "answer") or upstream.running)
            if upstream.running:
                upstream.end_run()
    context.starts = upstream.starts


@when("a leader under a newer token hands over a job that runs on one of them")
def hand_over_to_stale_leader(context: Context) -> None:
    anyio.run(resubmit_to_stale_leader, context)


async def resubmit_to_stale_leader(context: Context) -> None:
    """Submit a job to a scheduler whose lists of runs are older than the job's run."""
    connector = EndlessConnector()
    earlier = EarlierRuns({"u0": FENCES[1]})
    async with run_scheduler(context, FENCES[0], connector) as scheduler:
        await wait_until(lambda: len(list_synced(scheduler)) == len(context.infos))
        upstream = connector.upstreams["u0"]
        upstream.running.append(RunningRun(TaskId(SINGLE_TASK_JOB.id, 0, 0, 0), 1, 50))
        async with anyio.create_task_group() as group:
            group.start_soon(submit, context, scheduler, SINGLE_TASK_JOB, earlier)
            await anyio.sleep(BEFORE_NEXT_TERM_S)
            context.early_starts = count_starts(connector)
            scheduler.lead({"z1": FENCES[2]})
            await wait_until(lambda: len(list_synced(scheduler)) == len(context.infos))
            upstream.end_run()
        context.starts = count_starts(connector)


def list_synced(scheduler: Scheduler) -> list[UpstreamSession]:
    return [session for session in scheduler._sessions if session.synced]


def count_starts(connector: EndlessConnector) -> int:
    return sum(upstream.starts for upstream in connector.upstreams.values())


@then("the host starts nothing until it leads under a newer token still")
def check_no_early_start(context: Context) -> None:
    assert context.early_starts == 0, context.early_starts


@then("it adopts the run then")
def check_adopted(context: Context) -> None:
    assert context.starts == 0, context.starts
    assert context.answer == Succeeded(), context.answer


@then("the job is answered as succeeded without a start")
def check_no_start(context: Context) -> None:
    assert context.starts == 0, context.starts
    assert context.answer == Succeeded(), context.answer


@when("it gets a newer token while a task runs, which ends then")
def renew_term(context: Context) -> None:
    anyio.run(renew_term_beside_run, context)


async def renew_term_beside_run(context: Context) -> None:
    """Replace the leader's token during a run, and end the run once it is listed again."""
    connector = EndlessConnector()
    async with run_scheduler(context, FENCES[0], connector) as scheduler:
        async with anyio.create_task_group() as group:
            group.start_soon(submit, context, scheduler, SINGLE_TASK_JOB, None)
            await wait_until(lambda: "u0" in connector.upstreams)
            upstream = connector.upstreams["u0"]
            await wait_until(lambda: upstream.running)
            scheduler.lead({"z1": FENCES[1]})
            await wait_until(lambda: list_synced(scheduler))
            upstream.end_run()
            with anyio.move_on_after(2 * LOST_STOP_WAIT_S):
                await wait_until(lambda: hasattr(context, "answer") or upstream.running)
            group.cancel_scope.cancel()
    context.starts = upstream.starts


@then("the job is answered as succeeded after one start")
def check_one_start(context: Context) -> None:
    assert context.starts == 1, context.starts
    assert context.answer == Succeeded(), context.answer


class OverloadedUpstream(EndlessUpstream):
    """An upstream that refuses the first stop as overloaded and carries out the next."""

    def __init__(self) -> None:
        super().__init__()
        self.stops = 0

    async def stop(self, command: Stop, timeout_s: float) -> Accepted | Rejected:
        """Refuse the first stop."""
        self.stops += 1
        if self.stops == 1:
            return Rejected(RejectionReason.UNHEALTHY)
        self.running = [run for run in self.running if run.task != command.task]
        return Accepted(1000.0)


@when("a job is cancelled while the upstream refuses the first stop as overloaded")
def cancel_job(context: Context) -> None:
    anyio.run(cancel_at_overload, context)


async def cancel_at_overload(context: Context) -> None:
    """Cancel a job once its task runs."""
    connector = EndlessConnector()
    upstream = connector.upstreams["u0"] = OverloadedUpstream()
    async with run_scheduler(context, FENCES[0], connector) as scheduler:
        async with anyio.create_task_group() as group:
            group.start_soon(submit, context, scheduler, SINGLE_TASK_JOB, None)
            await wait_until(lambda: upstream.running)
            group.cancel_scope.cancel()
        with anyio.move_on_after(WAIT_LIMIT_S):
            await wait_until(lambda: not upstream.running)
    context.upstream = upstream


@then("the stop is sent again until it is carried out")
def check_stopped(context: Context) -> None:
    assert not context.upstream.running, context.upstream.running


class LossyUpstream(EndlessUpstream):
    """An upstream some of whose replies to holds are lost."""

    def __init__(self) -> None:
        super().__init__()
        self.lost_replies = 0

    async def hold(self, command: Hold, timeout_s: float) -> RunReport:
        """Return the lists of runs, or lose the reply."""
        if self.lost_replies:
            self.lost_replies -= 1
            raise ExchangeError(ExchangeStep.RECEIVE, "u0", "reset")
        return await super().hold(command, timeout_s)


def list_ejections(context: Context) -> list[ExecutionEvent]:
    return [event for event in context.events if isinstance(event, UpstreamEjected)]


@when("the reply to {count:d} hold is lost while a task runs")
@when("the replies to {count:d} holds are lost while a task runs")
def lose_replies(context: Context, count: int) -> None:
    anyio.run(run_with_lost_replies, context, count)


async def run_with_lost_replies(context: Context, count: int) -> None:
    """Run a job, lose replies meanwhile and let its task end afterwards."""
    connector = EndlessConnector()
    upstream = connector.upstreams["u0"] = LossyUpstream()
    context.events = []
    async with run_scheduler(context, FENCES[0], connector, context.events.append) as scheduler:
        async with anyio.create_task_group() as group:
            group.start_soon(submit, context, scheduler, SINGLE_TASK_JOB, None)
            await wait_until(lambda: upstream.running)
            upstream.lost_replies = count
            await wait_until(lambda: not upstream.lost_replies)
            upstream.end_run()


@then("the upstream was not ejected, and the job is answered as succeeded")
def check_not_ejected(context: Context) -> None:
    assert not list_ejections(context), context.events
    assert context.answer == Succeeded(), context.answer


@then("the upstream was ejected, and the job is answered as succeeded")
def check_ejected(context: Context) -> None:
    assert list_ejections(context), context.events
    assert context.answer == Succeeded(), context.answer


class SlowListingUpstream(EndlessUpstream):
    """An upstream that lists its runs only once a test allows it."""

    def __init__(self) -> None:
        super().__init__()
        self.may_list = anyio.Event()

    async def hold(self, command: Hold, timeout_s: float) -> RunReport:
        """Return the lists of runs once that is allowed."""
        await self.may_list.wait()
        return await super().hold(command, timeout_s)


@when("a waiting job is submitted again with an earlier run on an upstream that the host lacks")
def submit_again_with_earlier_runs(context: Context) -> None:
    anyio.run(join_waiting_job, context)


async def join_waiting_job(context: Context) -> None:
    """Submit a job without earlier runs, then with one, before there is room for it."""
    connector = EndlessConnector()
    upstream = connector.upstreams["u0"] = SlowListingUpstream()
    earlier = EarlierRuns({"u9": FENCES[1]})
    async with run_scheduler(context, FENCES[0], connector) as scheduler:
        async with anyio.create_task_group() as group:
            group.start_soon(submit, context, scheduler, SINGLE_TASK_JOB, None)
            await wait_until(lambda: scheduler.job_count)
            group.start_soon(submit, context, scheduler, SINGLE_TASK_JOB, earlier)
            await anyio.sleep(0)
            upstream.may_list.set()
            await anyio.sleep(BEFORE_NEXT_TERM_S)
            context.early_starts = count_starts(connector)
            group.cancel_scope.cancel()


@when("a job whose run one of them has not listed yet is submitted to it for the first time")
def submit_before_list(context: Context) -> None:
    anyio.run(submit_beside_unlisted_run, context)


async def submit_beside_unlisted_run(context: Context) -> None:
    """Submit a job that runs on an upstream whose first list comes late."""
    connector = EndlessConnector()
    upstream = connector.upstreams["u0"] = SlowListingUpstream()
    upstream.running.append(RunningRun(TaskId(SINGLE_TASK_JOB.id, 0, 0, 0), 1, 50))
    async with run_scheduler(context, FENCES[1], connector) as scheduler:
        await wait_until(lambda: list_synced(scheduler))
        async with anyio.create_task_group() as group:
            group.start_soon(submit, context, scheduler, SINGLE_TASK_JOB, None)
            await anyio.sleep(SHORTEST_LIST_DELAY_S)
            context.early_starts = count_starts(connector)
            group.cancel_scope.cancel()


@then("the job is not started")
def check_not_started(context: Context) -> None:
    assert context.early_starts == 0, context.early_starts


class UnstoppableUpstream(EndlessUpstream):
    """An upstream that receives no stop, and records the holds that extend the lease of its run."""

    def __init__(self) -> None:
        super().__init__()
        self.extensions = 0
        self.lost_stops = 0

    async def stop(self, command: Stop, timeout_s: float) -> Accepted:
        """Lose the call."""
        self.lost_stops += 1
        raise ExchangeError(ExchangeStep.RECEIVE, "u0", "timed out")

    async def hold(self, command: Hold, timeout_s: float) -> RunReport:
        """Record an extension of the lease."""
        if self.running and command.lease_until_ms is not None:
            self.extensions += 1
        return await super().hold(command, timeout_s)


@when("its stop of an earlier leader's run gets lost")
def lose_stop(context: Context) -> None:
    anyio.run(lead_unstoppable_run, context)


async def lead_unstoppable_run(context: Context) -> None:
    """Lead an upstream with a run whose job isn't submitted again."""
    connector = EndlessConnector()
    upstream = connector.upstreams["u0"] = UnstoppableUpstream()
    upstream.running.append(RunningRun(TaskId(SINGLE_TASK_JOB.id, 0, 0, 0), 1, 50))
    async with run_scheduler(context, FENCES[1], connector):
        # Longer than the wait before the stop and the back-off after it.
        await anyio.sleep(LOST_STOP_WAIT_S)
    context.upstream = upstream


@then("it doesn't extend that run's lease")
def check_lease_not_extended(context: Context) -> None:
    assert context.upstream.extensions == 0, context.upstream.extensions
