"""Steps on what an entry host reports of the runs of a lost leader."""

from unittest import mock

import anyio
from behave import given, then, when
from behave.runner import Context
from support.recording_scheduler import RecordingScheduler
from support.upstreams import make_job

from fireflybridge_entry import JobSubmitter, LocalLeader, RemoteLeader
from fireflybridge_http import ConnectionPool, Request, Response
from fireflybridge_pauses import PauseMonitor

SENDING_S = 0.05


async def wait_forever(_pool: ConnectionPool, _request: Request, _timeout_s: float) -> Response:
    """Never answer a request."""
    await anyio.sleep_forever()
    raise AssertionError("unreachable")


def make_leader(domains: dict[str, int]) -> RemoteLeader:
    return RemoteLeader("127.0.0.1:1", "1", domains)


@given('an entry host whose job is at a leader of "{domain}" under token {fence:d}')
def given_leader(context: Context, domain: str, fence: int) -> None:
    context.scheduler = RecordingScheduler()
    context.submitter = JobSubmitter("h2", context.scheduler, PauseMonitor())
    context.domains = {domain: fence}


@when('that leader gains "{domain}" under token {fence:d} and is lost')
@when('that leader records "{domain}" under token {fence:d} and is lost')
def lose_grown_leader(context: Context, domain: str, fence: int) -> None:
    lose_leader(context, {**context.domains, domain: fence})


@when('that leader hands it over for "{domain}" under token {fence:d} and is lost')
def lose_moved_leader(context: Context, domain: str, fence: int) -> None:
    lose_leader(context, {domain: fence})


def lose_leader(context: Context, domains: dict[str, int]) -> None:
    """Submit a job to the leader, learn of its newer terms and lose it."""

    async def run() -> None:
        submitter = context.submitter
        submitter.set_leader(make_leader(context.domains))
        async with anyio.create_task_group() as group:
            group.start_soon(submitter.submit, make_job("a", 1), 0.0)
            await anyio.sleep(SENDING_S)
            submitter.renew_leader(make_leader(domains))
            await anyio.sleep(SENDING_S)
            submitter.set_leader(None)
            submitter.set_leader(LocalLeader())

    with mock.patch.object(ConnectionPool, "exchange", wait_forever):
        anyio.run(run)


@then('the job is resubmitted with runs in "{first}" under {a:d} and in "{second}" under {b:d}')
def check_two_domains(context: Context, first: str, a: int, second: str, b: int) -> None:
    assert context.scheduler.earlier.domains == {first: a, second: b}, context.scheduler.earlier


@then('the job is resubmitted with runs in "{domain}" under {fence:d}')
def check_domain(context: Context, domain: str, fence: int) -> None:
    assert context.scheduler.earlier.domains == {domain: fence}, context.scheduler.earlier
