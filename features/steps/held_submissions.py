"""Steps for submissions that reach a former leader late."""

import time
import uuid

from behave import given, then, when
from behave.runner import Context
from support.callers import RETRY_DELAY_S
from support.linked_hosts import hold_requests, start_linked_hosts
from support.placed_jobs import find_double_placements
from support.processes import wait_until
from support.site import find_overlaps

SENT_S = 0.1  # the entry host has sent the job, and doesn't take its leader for lost yet
FORMER_LEADER = "h1"
ENTRY, NEIGHBOUR = "h5", "h2"
"""The two hosts of failure domain z2."""


@given("hosts on a site that reach each other through links, with tasks of {work_ms:d} ms")
def start_hosts(context: Context, work_ms: int) -> None:
    start_linked_hosts(context, work_ms)


@when(
    "a submission arrives at the former leader while the next one runs the job that its caller {_}"
)
def send_again(context: Context, _: str) -> None:
    hold_submission(context)
    context.deployment.hosts[ENTRY].kill()
    time.sleep(RETRY_DELAY_S)
    wait_for_next_leader(context)
    answer = context.deployment.submit_later(NEIGHBOUR, 1, context.job)
    release_beside_run(context)
    answer.result()


@when(
    "a submission arrives at the former leader while the next one runs the job that its entry {_}"
)
def give_up(context: Context, _: str) -> None:
    hold_submission(context)
    wait_for_next_leader(context)
    release_beside_run(context)
    context.answer.result()


def hold_submission(context: Context) -> None:
    """Send a job, and hold it back with all else that the failure domain's hosts send."""
    deployment, context.job = context.deployment, uuid.uuid4().hex[:16]
    deployment.peer_links.hold(NEIGHBOUR, FORMER_LEADER)
    hold_requests(deployment, ENTRY, FORMER_LEADER)
    connection = deployment.connect(ENTRY)
    deployment.send(connection, 1, context.job)
    context.answer = deployment.receive_later(connection)
    time.sleep(SENT_S)


def wait_for_next_leader(context: Context) -> None:
    wait_until(
        lambda: context.deployment.find_leader("z2") in {ENTRY, NEIGHBOUR}, detail="z2 is led"
    )


def release_beside_run(context: Context) -> None:
    """Deliver the held submission while a run of the job is under way."""
    wait_until(lambda: list_runs(context), detail="the job runs")
    for sender in (ENTRY, NEIGHBOUR):
        context.deployment.peer_links.release(sender, FORMER_LEADER)


def list_runs(context: Context) -> list[dict[str, object]]:
    runs = context.deployment.list_runs()
    return [run for run in runs if str(run["task"]).startswith(context.job)]


@then("no two runs of a task of the job were under way at one time")
def check_runs(context: Context) -> None:
    assert list_runs(context)
    assert not find_overlaps(list_runs(context)), list_runs(context)


@then("no two leaders had placed tasks of the job at one time")
def check_placements(context: Context) -> None:
    pairs = find_double_placements(context.deployment.read_logs())
    assert not pairs, pairs
