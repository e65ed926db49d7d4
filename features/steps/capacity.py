"""Steps for the load generator and for what upstream connections send."""

import json
import sys
from random import Random

import anyio
import h11
from behave import given, then, when
from behave.runner import Context
from support import wait_until
from support.deployment import Deployment, Plan

from fireflybridge_core import Cause, NotRun, Task, TaskId
from fireflybridge_upstream import UpstreamConnection

LOAD = "fireflybridge_standins.load"
ROUTE = "booking"
SEED = 20261204
TASKS = 300


@given("a capacity deployment of {daemons:d} daemons and {workers:d} workers")
def start_deployment(context: Context, daemons: int, workers: int) -> None:
    plan = Plan(daemons=daemons, workers=workers // daemons)
    context.deployment = Deployment(context.processes, plan)
    context.deployment.start()
    context.reports = []


@when("the load tool sends {count:d} jobs of {size:d} tasks")
def send_jobs(context: Context, count: int, size: int) -> None:
    send_load(context, count, size)


@when("the load tool sends {count:d} single requests")
def send_single(context: Context, count: int) -> None:
    send_load(context, count, 0)


def send_load(context: Context, count: int, size: int) -> None:
    addresses = ",".join(daemon.address for daemon in context.deployment.daemons.values())
    program = context.processes.spawn(
        LOAD,
        f"--daemon={addresses}",
        f"--route={ROUTE}",
        f"--size={size}",
        f"--count={count}",
        "--connections=3",
    )
    assert program.wait_exit(120.0) == 0, program.read_stderr()
    report = json.loads(program.read_stdout())
    assert report["submissions"] == count, report
    context.reports.append(report)


@then("the load tool's answers are all complete")
def check_complete(context: Context) -> None:
    assert context.reports
    for report in context.reports:
        assert report["answers"] == {"complete": report["submissions"]}, report


@then("the load tool's count of tasks is {count:d}")
def check_count(context: Context, count: int) -> None:
    assert sum(report["tasks_done"] for report in context.reports) == count, context.reports


@then("the capacity workers started {count:d} tasks with {keys:d} different keys")
def check_starts(context: Context, count: int, keys: int) -> None:
    starts = [start["key"] for start in context.deployment.read_starts()]
    assert (len(starts), len(set(starts))) == (count, keys), (len(starts), len(set(starts)))


@when("upstream requests are encoded for many tasks in turn")
def encode_many(context: Context) -> None:
    random = Random(SEED)
    context.sent = [make_task(random) for _ in range(TASKS)]
    context.received = anyio.run(exchange_all, context.sent)


def make_task(random: Random) -> Task:
    return Task(
        id=TaskId(random.choice(("", "key-a", "key-b")), random.randrange(TASKS)),
        route="route",
        pool="pool",
        path=random.choice(("/", "/check")),
        content_type=random.choice(("text/plain", "application/json")),
        body=random.randbytes(random.choice((0, 1, 100, 70_000))),
        team="team",
        idempotent=False,
        expected_s=0.1,
        timeout_s=random.choice((30.0, 60.0)),
        deadline=sys.float_info.max,
        traceparent=random.choice(("", "00-a-b-01", "00-c-d-00")),
    )


async def exchange_all(tasks: list[Task]) -> list[tuple[h11.Request, bytes]]:
    """Send the tasks over one connection to a server that keeps what h11 reads."""
    received: list[tuple[h11.Request, bytes]] = []
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    address = "{}:{}".format(*listener.extra(anyio.abc.SocketAttribute.local_address))

    async def serve(stream: anyio.abc.SocketStream) -> None:
        http, body = h11.Connection(our_role=h11.SERVER), b""
        while True:
            match http.next_event():
                case h11.NEED_DATA:
                    http.receive_data(await stream.receive())
                case h11.Request() as request:
                    body = b""
                case h11.Data(data=data):
                    body += bytes(data)
                case h11.EndOfMessage():
                    received.append((request, body))
                    response = h11.Response(status_code=200, headers=[("Content-Length", "0")])
                    await stream.send((http.send(response) or b"") + http.send(h11.EndOfMessage()))
                    http.start_next_cycle()

    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        connection = UpstreamConnection("upstream", address, guards=True)
        for task in tasks:
            assert getattr(await connection.exchange(task), "status", None) == 200
        refused = await connection.exchange(make_unsendable(tasks[0]))
        assert refused == NotRun(Cause.ATTEMPTS_EXHAUSTED, "upstream"), refused
        assert getattr(await connection.exchange(tasks[0]), "status", None) == 200
        group.cancel_scope.cancel()
    return received[:-1]


def make_unsendable(task: Task) -> Task:
    fields = {name: getattr(task, name) for name in Task.__slots__}
    return Task(**{**fields, "content_type": "text/plain\r\nX-Forged: 1"})


@then("each upstream request reads back as its own task")
def check_read_back(context: Context) -> None:
    assert len(context.received) == len(context.sent) == TASKS
    for task, (request, body) in zip(context.sent, context.received, strict=True):
        headers = {name.decode(): value.decode() for name, value in request.headers}
        timeout_ms = int(headers.pop("fireflybridge-timeout-ms"))
        assert 0 < timeout_ms <= task.timeout_s * 1000, timeout_ms
        host = headers.pop("host")
        assert host.startswith("127.0.0.1:"), host
        expected = {"content-type": task.content_type, "content-length": str(len(task.body))}
        if task.id.key:
            expected["idempotency-key"] = f"{task.id.key}:{task.id.index}"
        if task.traceparent:
            expected["traceparent"] = task.traceparent
        assert (request.method, request.target) == (b"POST", task.path.encode())
        assert (headers, body) == (expected, task.body), (headers, expected)


@when("a capacity caller submits a job under a key that starts with a space")
def submit_unsendable(context: Context) -> None:
    context.response = context.deployment.submit("d1", '" a"', ["x"])
    wait_until(context.deployment.daemons["d1"].is_running, detail="the daemon runs")


@then("the capacity caller is told the truth about its task")
def check_truth(context: Context) -> None:
    starts = len(context.deployment.read_starts())
    ran = {0: "not-run", 1: "done"}
    assert context.response.json()["ran"] == ran[starts], (starts, context.response.text)
