"""Steps for the load generator, upstream requests, the limit on kept memory and pool runners."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path
from random import Random

import anyio
import h11
import httpx
from behave import given, then, when
from behave.runner import Context
from support import wait_until
from support.deployment import Deployment, Plan

from fireflybridge_core import Cause, Done, NotRun, Outcome, Task, TaskId
from fireflybridge_daemon._pools import PoolHooks, PoolRunner
from fireflybridge_tables import Pool, Upstream
from fireflybridge_telemetry import Metrics, Tracer
from fireflybridge_upstream import UpstreamConnection

LOAD_MODULE = "fireflybridge_standins.load"
ROUTE = "booking"
SEED = 20261204
TASKS = 300
BYTES_PER_MB = 1024 * 1024
MAX_JOBS = 400


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
        LOAD_MODULE,
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
def encode_requests(context: Context) -> None:
    random = Random(SEED)
    context.sent = [make_task(random) for _ in range(TASKS)]
    context.received = anyio.run(exchange_tasks, context.sent)


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


async def exchange_tasks(tasks: list[Task]) -> list[tuple[h11.Request, bytes]]:
    """Send the tasks over one connection and return the requests that an h11 server decodes.

    A task that cannot be encoded is sent as well, to check that the connection stays usable.
    """
    received: list[tuple[h11.Request, bytes]] = []
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    address = "{}:{}".format(*listener.extra(anyio.abc.SocketAttribute.local_address))

    async def serve(stream: anyio.abc.SocketStream) -> None:
        h11_connection, body = h11.Connection(our_role=h11.SERVER), b""
        while True:
            match h11_connection.next_event():
                case h11.NEED_DATA:
                    h11_connection.receive_data(await stream.receive())
                case h11.Request() as request:
                    body = b""
                case h11.Data(data=data):
                    body += bytes(data)
                case h11.EndOfMessage():
                    received.append((request, body))
                    response = h11.Response(status_code=200, headers=[("Content-Length", "0")])
                    await stream.send(
                        (h11_connection.send(response) or b"")
                        + h11_connection.send(h11.EndOfMessage())
                    )
                    h11_connection.start_next_cycle()

    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        connection = UpstreamConnection("upstream", address, guards=True)
        for task in tasks:
            assert getattr(await connection.exchange(task), "status", None) == 200
        invalid_outcome = await connection.exchange(make_invalid_task(tasks[0]))
        assert invalid_outcome == NotRun(Cause.ATTEMPTS_EXHAUSTED, "upstream"), invalid_outcome
        assert getattr(await connection.exchange(tasks[0]), "status", None) == 200
        group.cancel_scope.cancel()
    return received[:-1]


def make_invalid_task(task: Task) -> Task:
    fields = {name: getattr(task, name) for name in Task.__slots__}
    return Task(**{**fields, "content_type": "text/plain\r\nX-Forged: 1"})


@then("each decoded upstream request matches its task")
def check_decoded(context: Context) -> None:
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
def submit_invalid_key(context: Context) -> None:
    context.response = context.deployment.submit("d1", '" a"', ["x"])
    wait_until(context.deployment.daemons["d1"].is_running, detail="the daemon runs")


@then("the answer to the capacity caller says whether its task ran")
def check_reported_run(context: Context) -> None:
    starts = len(context.deployment.read_starts())
    expected_ran = {0: "not-run", 1: "done"}
    assert context.response.json()["ran"] == expected_ran[starts], (starts, context.response.text)


@given("a capacity daemon that may keep {limit_mb:d} MB, after its first jobs")
def start_limited(context: Context, limit_mb: int) -> None:
    context.limit_bytes = limit_mb * BYTES_PER_MB
    plan = Plan(daemons=1, workers=4, slots=16, daemon_arguments=(f"--max-kept-mb={limit_mb}",))
    context.deployment = Deployment(context.processes, plan)
    context.deployment.start()
    context.prefix = context.deployment.make_prefix("d1")
    for number in range(10):
        assert send_small_job(context, f"first-{number}").status_code == 200
    context.resident_bytes = read_resident_bytes(context)


def send_small_job(context: Context, name: str) -> httpx.Response:
    key = f"{context.prefix}.{name}"
    return context.deployment.submit("d1", key, ["x"] * TASKS, deadline_ms=60_000)


def read_resident_bytes(context: Context) -> int:
    pages = Path(f"/proc/{context.deployment.daemons['d1'].pid}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


@when("jobs of 300 small tasks are sent until the capacity daemon refuses them for memory")
def fill_memory(context: Context) -> None:
    # The bodies of a job take only 300 bytes of the limit.
    for number in range(MAX_JOBS):
        response = send_small_job(context, str(number))
        if response.status_code != 200:
            break
    assert response.status_code == 503, f"{MAX_JOBS} jobs were kept"
    assert response.json()["type"].endswith(":overloaded"), response.text
    assert "memory" in response.json()["detail"], response.text


@then("the capacity daemon has grown by {least:g} to {most:g} times its limit")
def check_growth(context: Context, least: float, most: float) -> None:
    growth = read_resident_bytes(context) - context.resident_bytes
    assert (
        least * context.limit_bytes <= growth <= most * context.limit_bytes
    ), f"grown by {growth} bytes"


@when(
    "a capacity pool runner owns {upstreams:d} upstreams of {slots:d} slots"
    " and then gets {count:d} tasks"
)
def run_pool(context: Context, upstreams: int, slots: int, count: int) -> None:
    context.idle_coroutines, context.free_slots, context.max_running = anyio.run(
        run_idle_pool, upstreams, slots, count
    )


async def run_idle_pool(upstreams: int, slots: int, count: int) -> tuple[int, int, int]:
    """Return the coroutines and free slots of an idle pool and its maximum of running tasks."""
    running_counts: list[int] = []
    all_running = anyio.Event()

    async def answer(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            running_counts.append(runner.running)
            if len(running_counts) == count:
                all_running.set()
            await all_running.wait()
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")

    listener = await anyio.create_tcp_listener(local_host="::1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    owned_upstreams = tuple(
        Upstream(f"w{n}", f"[::1]:{port}", slots, slots, "fd1") for n in range(upstreams)
    )
    finished = anyio.Event()
    answered: list[Outcome] = []

    def deliver(task: Task, outcome: Outcome) -> None:
        answered.append(outcome)
        if len(answered) == count:
            finished.set()

    hooks = PoolHooks(deliver, lambda task: True, Tracer(0.0, None))
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, answer)
        await anyio.lowlevel.checkpoint()
        before = len(asyncio.all_tasks())
        runner = PoolRunner(Pool("p", owned_upstreams, True, ()), group, Metrics(), hooks)
        runner.set_owned_upstreams(owned_upstreams, upstreams * slots)
        await anyio.lowlevel.checkpoint()
        idle_coroutines, free_slots = len(asyncio.all_tasks()) - before, runner.free
        deadline = time.monotonic() + 60
        runner.queue.put(
            [
                Task(TaskId("k", n), "r", "p", "/", "a/b", b"", "t", False, 0.1, 60, deadline)
                for n in range(count)
            ]
        )
        await finished.wait()
        group.cancel_scope.cancel()
    assert all(isinstance(outcome, Done) for outcome in answered), answered
    return idle_coroutines, free_slots, max(running_counts)


@then("it ran one coroutine for each idle upstream and all tasks concurrently")
def check_pool(context: Context) -> None:
    assert (context.idle_coroutines, context.free_slots, context.max_running) == (40, 320, 320)
