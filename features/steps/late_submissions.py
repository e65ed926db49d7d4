"""Steps on submissions that a leader reads after their senders have given them up."""

import anyio
from behave import given, then, when
from behave.runner import Context
from support.entry_pair import run_hosts
from support.relay import Traffic
from support.upstreams import make_job, wait_until

JOB = make_job("a", 1)
SETTLED_S = 0.5  # a job that is taken has been placed by then
HEARTBEATS_READ_S = 0.05
HELD = {
    "its replies to heartbeats are held back": {Traffic.HEARTBEAT_REPLIES},
    "its requests are held back, heartbeats read first": {Traffic.HEARTBEATS},
}


@given("a leader and an entry host that follows it through a relay")
def given_hosts(context: Context) -> None:
    """Leave it to the next step to run the hosts."""


@when("the leader reads a job after the entry host has lost it, as {cause}")
def read_late(context: Context, cause: str) -> None:
    anyio.run(let_go_after_loss, context, HELD[cause])


async def let_go_after_loss(context: Context, held: set[Traffic]) -> None:
    """Hold a submission back until its sender has lost the leader, and its end for longer."""
    async with run_hosts() as (leader, entry, relay, group):
        relay.held |= {Traffic.SUBMISSIONS, Traffic.ENDS, *held}
        group.start_soon(entry.submit, JOB)
        await wait_until(lambda: entry.has_lost_leader)
        relay.let_go(Traffic.HEARTBEATS)
        await anyio.sleep(HEARTBEATS_READ_S)
        relay.let_go(Traffic.SUBMISSIONS)
        await wait_until(lambda: relay.passed[Traffic.SUBMISSIONS])
        await anyio.sleep(SETTLED_S)
        context.placed = leader.placed


@then("no task of the job was placed")
def check_not_placed(context: Context) -> None:
    assert not context.placed, context.placed
