"""Steps on a leader whose fencing token upstreams refuse, since they have seen a higher one."""

import time

import anyio
from behave import then, when
from behave.runner import Context
from support.upstreams import EndlessConnector, EndlessUpstream, make_job, read_once, wait_until

from fireflybridge_execution import (
    Accepted,
    Hold,
    Rejected,
    RejectionReason,
    Scheduler,
    Start,
)
from fireflybridge_jobs import NotRun, RunReport, UpstreamInfo
from fireflybridge_pauses import PauseMonitor

LEASE_S = 1.0
"""How long the rules let a refused host go on with commands that were under way."""
OBSERVED_S = 1.5
MOST_CALLS = 3
"""How many commands under a refused token the rules tolerate after that."""


class SupersedingUpstream(EndlessUpstream):
    """An upstream that refuses every command once another leader has used a higher token."""

    def __init__(self, *, superseded: bool) -> None:
        super().__init__()
        self.superseded = superseded
        self.refused_at_s: list[float] = []

    async def start(self, command: Start, timeout_s: float) -> Accepted | Rejected:
        """Start a run, or refuse it."""
        return self._refuse() if self.superseded else await super().start(command, timeout_s)

    async def hold(self, command: Hold, timeout_s: float) -> RunReport | Rejected:
        """Return the lists of runs, or refuse the hold."""
        return self._refuse() if self.superseded else await super().hold(command, timeout_s)

    def _refuse(self) -> Rejected:
        self.refused_at_s.append(time.monotonic())
        return Rejected(RejectionReason.FENCE)


class SupersedingConnector(EndlessConnector):
    """Connector to upstreams that may have seen a higher token from the first."""

    def __init__(self, *, superseded: bool) -> None:
        super().__init__()
        self._superseded = superseded

    def open(self, upstream: UpstreamInfo) -> EndlessUpstream:
        """Return the upstream itself, which also serves as its connection."""
        made = SupersedingUpstream(superseded=self._superseded)
        return self.upstreams.setdefault(upstream.id, made)


@when("another leader has used a higher token on them before")
def supersede_from_start(context: Context) -> None:
    context.connector = SupersedingConnector(superseded=True)
    anyio.run(lead_superseded, context)


@when("another leader uses a higher token on them before a job is submitted")
def supersede_later(context: Context) -> None:
    context.connector = SupersedingConnector(superseded=False)
    anyio.run(lead_superseded, context)


async def lead_superseded(context: Context) -> None:
    """Submit a job to a leader that hasn't heard of the one that has replaced it."""
    connector: SupersedingConnector = context.connector
    scheduler = Scheduler(connector, lambda _event: None, lambda: None, PauseMonitor())
    async with anyio.create_task_group() as group:
        group.start_soon(scheduler.serve)
        scheduler.lead({"z1": 1000})
        scheduler.set_upstreams(read_once(context.infos))
        await wait_until(lambda: len(connector.upstreams) == len(context.infos))
        await anyio.sleep(0.1)
        for upstream in connector.upstreams.values():
            upstream.superseded = True
        group.start_soon(submit, context, scheduler)
        await anyio.sleep(LEASE_S + OBSERVED_S)
        context.has_synced_upstream = scheduler.has_synced_upstream
        group.cancel_scope.cancel()


async def submit(context: Context, scheduler: Scheduler) -> None:
    context.answer = await scheduler.submit(make_job("a", 2), 0.0, None)


@then("it soon stops sending them commands under its own")
def check_silent(context: Context) -> None:
    calls = {
        name: sum(at_s > upstream.refused_at_s[0] + LEASE_S for at_s in upstream.refused_at_s)
        for name, upstream in context.connector.upstreams.items()
        if upstream.refused_at_s
    }
    assert calls, "no command was refused"
    assert max(calls.values()) <= MOST_CALLS, calls


@then("the job is refused as not run, long before its deadline")
def check_refused(context: Context) -> None:
    assert hasattr(context, "answer"), "the job waits"
    assert isinstance(context.answer, NotRun), context.answer


@then("it has no upstream that can take work")
def check_not_synced(context: Context) -> None:
    assert not context.has_synced_upstream
