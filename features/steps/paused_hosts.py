"""Steps on hosts whose processes are stopped and continued while callers send them jobs."""

import json
import socket
import uuid

from behave import then, when
from behave.runner import Context
from support.processes import wait_until
from support.site import TASK, TIMEOUT_MS

TASKS = 2
ANSWER_LIMIT_S = 5.0


def send_request(context: Context, host: str, job: str) -> socket.socket:
    """Send a job to a host that may be paused, and return the connection."""
    step = {"count": TASKS, **TASK, "estimate_ms": context.deployment.estimate_ms}
    body = json.dumps({"spec": "work", "best_effort": True, "steps": [step]}).encode()
    head = (
        f"POST /orders/{job} HTTP/1.1\r\nhost: desk.example\r\nx-deadline-ms: {TIMEOUT_MS}\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    connection = socket.create_connection((context.deployment.find_ip(host), 8161))
    connection.sendall(head.encode() + body)
    return connection


@when("a caller submits a job to it without ever leaving, and then the same job to another host")
def submit_twice(context: Context) -> None:
    deployment = context.deployment
    job = uuid.uuid4().hex[:16]
    context.connection = send_request(context, context.leader, job)
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
    context.connection.settimeout(ANSWER_LIMIT_S)
    with context.connection:
        received = context.connection.recv(4096)
    assert received.split()[1] == str(status).encode(), received
    answer = context.second.result()
    assert answer.state == "succeeded", answer


@then('a job submitted to the resumed host is answered {status:d} "{state}" soon')
def check_resumed(context: Context, status: int, state: str) -> None:
    def is_served() -> bool:
        answer = context.deployment.submit(context.leader, TASKS)
        return (answer.status, answer.state) == (status, state)

    wait_until(is_served, detail=f"{context.leader} answers {status}")
