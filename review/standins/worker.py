"""Stand-in of one worker: runs tasks under a lease, checks fences, and registers in the store.

The spec of a job is JSON: ``work_ms`` lists how long a task of each step takes; a list there gives
the times of its tasks by turns. Each start and each end is appended to the record file. The worker's entry is in the store before the worker listens.
"""

import argparse
import http.client
import json
import os
import signal
import time

import anyio

from fireflybridge_http import Request, Response, Server, ServerLimits

HOLD_MAX_MS = 1000
HEARTBEAT_S = 1.5
JSON = (("content-type", "application/json"),)

parser = argparse.ArgumentParser()
for name in ("id", "address", "zone", "rack", "kind", "store", "record"):
    parser.add_argument(f"--{name}", required=True)
parser.add_argument("--cpu", type=int, default=16000)
parser.add_argument("--mem-mb", type=int, default=32768)
arguments = parser.parse_args()

born = int(time.time() * 1000)
started_s = time.monotonic()
fence = 0
lease_end_ms = 0.0
active: dict[tuple[str, int], "Run"] = {}
highest: dict[str, int] = {}
ended: list[list[object]] = []
sequence = 0
changed = anyio.Event()
state = "ready"
group: anyio.abc.TaskGroup


class Run:
    """A run in progress."""

    def __init__(self, work_ms: float) -> None:
        self.work_s = work_ms / 1000
        self.start_s = time.monotonic()
        self.stop = anyio.Event()


def clock_ms() -> float:
    return (time.monotonic() - started_s) * 1000


def write_record(event: str, task: str, run: int, **more: object) -> None:
    line = {
        "at": time.time(),
        "event": event,
        "task": task,
        "run": run,
        "worker": arguments.id,
        "kind": arguments.kind,
        "zone": arguments.zone,
        "born": born,
        **more,
    }
    with open(arguments.record, "a") as file:
        file.write(json.dumps(line) + "\n")


def answer(status: int, **body: object) -> Response:
    return Response(status, json.dumps({"clock_ms": int(clock_ms()), **body}).encode(), JSON)


def extend_lease(until_ms: float) -> None:
    global lease_end_ms
    lease_end_ms = max(lease_end_ms, min(until_ms, clock_ms() + HOLD_MAX_MS))


def is_stale(message: dict) -> bool:
    global fence
    if message.get("fence", 0) < fence:
        return True
    fence = message.get("fence", 0)
    return False


async def execute(key: tuple[str, int], run: Run) -> None:
    global sequence, changed
    how = "done"
    while time.monotonic() < run.start_s + run.work_s:
        left_s = (lease_end_ms - clock_ms()) / 1000
        if left_s <= 0:
            how = "lapsed"
            break
        wait_s = min(left_s, run.start_s + run.work_s - time.monotonic())
        with anyio.move_on_after(max(wait_s, 0.0005)):
            await run.stop.wait()
        if run.stop.is_set():
            how = "stopped"
            break
    del active[key]
    sequence += 1
    highest[key[0]] = max(highest.get(key[0], 0), key[1])
    ended.append([sequence, *key, how, ""])
    write_record("end", *key, how=how)
    event, changed = changed, anyio.Event()
    event.set()


def start(message: dict) -> Response:
    if is_stale(message):
        return answer(409, reason="fence")
    key = (message["task"], message["run_id"])
    if key in active:
        extend_lease(message["deadline_ms"])
        return answer(200)
    if message["deadline_ms"] <= clock_ms():
        return answer(409, reason="late")
    extend_lease(message["deadline_ms"])
    if key[1] <= highest.get(key[0], 0):
        return answer(409, reason="old")
    spec = json.loads(message["spec"])
    if sum(needs[1] for needs in running_needs()) + spec["cpu"] > arguments.cpu:
        return answer(409, reason="room")
    step, index = map(int, key[0].split(".")[2:])
    work_ms = spec["work_ms"][step]
    run = Run(work_ms[index % len(work_ms)] if isinstance(work_ms, list) else work_ms)
    run.cpu = spec["cpu"]
    active[key] = run
    write_record("start", *key, spec=message["spec"])
    group.start_soon(execute, key, run)
    return answer(200)


def running_needs() -> list[tuple[tuple[str, int], int]]:
    return [(key, run.cpu) for key, run in active.items()]


def stop(message: dict) -> Response:
    if is_stale(message):
        return answer(409, reason="fence")
    task, number = message["task"], message["run_id"]
    highest[task] = max(highest.get(task, 0), number)
    if (task, number) in active:
        active[(task, number)].stop.set()
    return answer(200)


async def hold(message: dict) -> Response:
    if is_stale(message):
        return answer(409, reason="fence")
    ended[:] = [row for row in ended if row[0] > message["seen_upto"]]
    if "deadline_ms" in message:
        extend_lease(message["deadline_ms"])
    with anyio.move_on_after(message.get("wait_ms", 0) / 1000):
        while not ended:
            await changed.wait()
    now_s = time.monotonic()
    running = [
        [*key, "", min(99, int(100 * (now_s - run.start_s) / run.work_s)), run.cpu]
        for key, run in active.items()
    ]
    return answer(200, born=born, running=running, ended=ended[:500])


async def handle(request: Request) -> Response:
    if request.find_header("x-expect-instance") not in (None, arguments.id):
        return answer(421)
    message = json.loads(request.body)
    match request.path:
        case "/fireflybridge/run-start":
            return start(message)
        case "/fireflybridge/run-stop":
            return stop(message)
        case "/fireflybridge/hold":
            return await hold(message)
    return Response(404)


def register(seq: int) -> None:
    entry = {
        "service": "desk",
        "addr": arguments.address,
        "zone": arguments.zone,
        "version": "v1",
        "slots": 8,
        "state": state,
        "cold_left_ms": 0,
        "capacity": {"cpu": arguments.cpu, "mem_mb": arguments.mem_mb, "gpu": 0},
        "labels": [arguments.kind, arguments.rack],
        "clock_ms": int(clock_ms()),
        "born": born,
        "seq": seq,
    }
    host, _, port = arguments.store.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=2)
    path = f"/standin/put/keyed.servers/{arguments.id}"
    connection.request("POST", path, json.dumps(entry).encode())
    connection.getresponse().read()
    connection.close()


async def drain_on_signal() -> None:
    """Report ``draining`` on SIGUSR1, and work on."""
    global state
    with anyio.open_signal_receiver(signal.SIGUSR1) as signals:
        async for _ in signals:
            state = "draining"
            await anyio.to_thread.run_sync(register, 1000)
            write_record("draining", "", 0)


async def main() -> None:
    global group
    register(1)
    write_record("registered", "", 0, pid=os.getpid())
    limits = ServerLimits(idle_timeout_s=3600.0)
    async with anyio.create_task_group() as group:
        await group.start(Server(arguments.address, handle, limits).serve, group)
        print("ready", flush=True)
        seq = 1
        group.start_soon(drain_on_signal)
        while True:
            await anyio.sleep(HEARTBEAT_S)
            seq += 1
            await anyio.to_thread.run_sync(register, seq)


anyio.run(main)
