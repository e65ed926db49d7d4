"""Steps on a session that an unexpected error ends, beside others."""

import math

import anyio
from behave import then, when
from behave.runner import Context
from support.leading import FENCES, SINGLE_TASK_JOB, run_scheduler, submit
from support.upstreams import WAIT_LIMIT_S, EndlessConnector, EndlessUpstream, wait_until

from fireflybridge_execution import UnexpectedError
from fireflybridge_jobs import Succeeded, UpstreamInfo

MAX_LIST_WAIT_S = 5.0
"""How long an upstream that lists no runs may hold up the others."""


class FailingConnector(EndlessConnector):
    """Connector whose first connections to ``u0`` fail with an error that no caller expects."""

    def __init__(self, failures: float = 1) -> None:
        super().__init__()
        self.opened = 0
        self._failures = failures

    def open(self, upstream: UpstreamInfo) -> EndlessUpstream:
        """Return the upstream, or raise an error."""
        if upstream.id == "u0":
            self.opened += 1
            if self.opened <= self._failures:
                raise ZeroDivisionError("a fault of the program")
        return super().open(upstream)


@when("the connection to one of them fails with an unexpected error")
def fail_session(context: Context) -> None:
    anyio.run(run_with_failing_session, context)


async def run_with_failing_session(context: Context) -> None:
    """Run a job while the session with one upstream fails and starts again."""
    connector = FailingConnector()
    context.events = []
    async with run_scheduler(context, FENCES[0], connector, context.events.append) as scheduler:
        async with anyio.create_task_group() as group:
            group.start_soon(submit, context, scheduler, SINGLE_TASK_JOB, None)
            # It starts once the upstream has listed its runs, and then on either one.
            await wait_until(lambda: find_running(connector))
            find_running(connector)[0].end_run()
        with anyio.move_on_after(WAIT_LIMIT_S):
            await wait_until(lambda: scheduler._sessions.find("u0").synced)
        context.restarted = scheduler._sessions.find("u0").synced


def find_running(connector: EndlessConnector) -> list[EndlessUpstream]:
    return [upstream for upstream in connector.upstreams.values() if upstream.running]


@when(
    "every connection to one of them fails with an unexpected error, for longer than lists are awaited"
)
def fail_session_for_good(context: Context) -> None:
    anyio.run(run_beside_failing_session, context)


async def run_beside_failing_session(context: Context) -> None:
    """Run a job while the session with one upstream fails again and again."""
    connector = FailingConnector(math.inf)
    context.events = []
    async with run_scheduler(context, FENCES[0], connector, context.events.append) as scheduler:
        await anyio.sleep(MAX_LIST_WAIT_S)
        async with anyio.create_task_group() as group:
            group.start_soon(submit, context, scheduler, SINGLE_TASK_JOB, None)
            await wait_until(lambda: connector.upstreams["u1"].running)
            connector.upstreams["u1"].end_run()


@then("the errors are reported, and a job is answered as succeeded by the other one")
def check_served_beside(context: Context) -> None:
    errors = {event.action for event in context.events if isinstance(event, UnexpectedError)}
    assert errors == {"session with u0"}, errors
    assert context.answer == Succeeded(), context.answer


@then("the error is reported, and a job is answered as succeeded")
def check_contained(context: Context) -> None:
    errors = [event for event in context.events if isinstance(event, UnexpectedError)]
    assert [event.action for event in errors] == ["session with u0"], errors
    assert context.answer == Succeeded(), context.answer


@then("the session with that upstream starts again")
def check_restarted(context: Context) -> None:
    assert context.restarted
