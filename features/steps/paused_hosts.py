"""Steps on hosts whose processes are stopped and continued while callers send them jobs."""

import uuid

from behave import then, when
from behave.runner import Context
from support.processes import wait_until

TASKS = 2


@when("a caller submits a job to it without ever leaving, and then the same job to another host")
def submit_twice(context: Context) -> None:
    deployment = context.deployment
    job = uuid.uuid4().hex[:16]
    connection = deployment.connect(context.leader)
    deployment.send(connection, TASKS, job)
    context.first = deployment.receive_later(connection)
    other = next(name for name in deployment.hosts if name != context.leader)
    context.second = deployment.submit_later(other, TASKS, job)
    wait_until(
        lambda: [run for run in deployment.list_runs() if run["task"].startswith(job)],
        detail="the job runs",
    )


@when("the paused host is resumed while the job runs")
def resume(context: Context) -> None:
    context.deployment.hosts[context.leader].resume()
    assert not context.second.done()


@then("its answer to the first request is {status:d}")
def check_first_answer(context: Context, status: int) -> None:
    first = context.first.result()
    assert first.status == status, first
    answer = context.second.result()
    assert answer.state == "succeeded", answer


@then('a job submitted to the resumed host is answered {status:d} "{state}" soon')
def check_resumed(context: Context, status: int, state: str) -> None:
    def is_served() -> bool:
        answer = context.deployment.submit(context.leader, TASKS)
        return (answer.status, answer.state) == (status, state)

    wait_until(is_served, detail=f"{context.leader} answers {status}")
