"""The leader freezes while callers' requests reach it; it wakes when they run elsewhere."""

import http.client
import json
import signal
import sys
import threading
import time
import uuid
from base64 import b64decode
from itertools import combinations
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from deployment import Deployment, run_case, wait_for

HOSTS = ("h1", "h2", "h3")
DEADLINE_MS = 1500
RETRANSMIT_S = 1.3
FREEZE_S = 4.0
JOBS = 12
FIRST_SENT_S = 0.9  # after the freeze; the platform takes the machine out after two misses, 2 s
GAP_S = 0.03
ROUNDS = 4
BODY = {
    "spec": json.dumps({"cpu": 2000, "work_ms": [700]}),
    "best_effort": True,
    "steps": [{"count": 1, "cpu": 2000, "mem_mb": 64, "estimate_ms": 700}],
}


def main(trouble):
    deployment = Deployment(HERE / "record.txt")
    try:
        deployment.start_store()
        deployment.configure()
        for index in range(9):
            zone = f"z{index % 3 + 1}"
            deployment.start_worker(f"i-{index}", zone, "a", f"r-{zone}")
        for name in HOSTS:
            deployment.start_host(name)
        for name in HOSTS:
            wait_for(lambda name=name: deployment.is_ready(name), 20, f"{name} is ready")
        time.sleep(4.0)  # every machine is in touch, and the leader has settled
        for _ in range(ROUNDS):
            play(deployment, trouble)
        return judge(deployment)
    finally:
        deployment.close()


def find_leader(deployment):
    host, _, port = deployment.store.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=2)
    connection.request("GET", "/fireflybridge/log-newest?topic=keyed.leaders&part=0")
    items = json.loads(connection.getresponse().read())["items"]
    newest = max(items, key=lambda item: item["offset"])
    return json.loads(b64decode(newest["value"]))["host"]


def play(deployment, trouble):
    leader = find_leader(deployment)
    others = [name for name in HOSTS if name != leader]
    begin_s = time.monotonic()
    if trouble:
        deployment.processes[leader].send_signal(signal.SIGSTOP)
        deployment.note(f"the leader {leader} is stopped")
    callers = []
    for index in range(JOBS):
        time.sleep(max(begin_s + FIRST_SENT_S + index * GAP_S - time.monotonic(), 0))
        hosts = (leader, others[index % len(others)])
        callers.append(threading.Thread(target=submit, args=(deployment, hosts)))
        callers[-1].start()
    time.sleep(max(begin_s + FREEZE_S - time.monotonic(), 0))
    if trouble:
        deployment.processes[leader].send_signal(signal.SIGCONT)
        deployment.note(f"{leader} continues")
    for caller in callers:
        caller.join()
    time.sleep(5.0)


def submit(deployment, hosts):
    """Submit a job; without a response until the deadline, send it again to another host."""
    job = uuid.uuid4().hex[:16]
    for host in hosts:
        answer = deployment.call(host, "POST", job, BODY, DEADLINE_MS / 1000, DEADLINE_MS)
        deployment.note(f"{job} sent to {host}: {answer}")
        if answer[0] not in (0, 502, 504):
            return
        time.sleep(RETRANSMIT_S)


def judge(deployment):
    """Return 1 if two runs of a task were under way at the same time on workers that were up."""
    runs = {}
    for line in deployment.read_runs():
        key = (line["worker"], line["run"])
        if line["event"] == "start":
            runs.setdefault(line["task"], []).append([key, line["at"], None, ""])
        elif line["event"] == "end":
            run = next(r for r in reversed(runs[line["task"]]) if r[0] == key)
            run[2:] = [line["at"], line["how"]]
    broken = []
    for task, found in runs.items():
        for first, second in combinations(found, 2):
            if first[2] is None or second[2] is None:
                continue
            overlap_s = min(first[2], second[2]) - max(first[1], second[1])
            if overlap_s > 0:
                broken.append(
                    f"{task}: {describe(deployment, first)} and {describe(deployment, second)}: "
                    f"{overlap_s * 1000:.1f} ms at the same time"
                )
    for text in broken:
        deployment.note(f"TWICE: {text}")
    print(*[f"TWICE: {text}" for text in broken[:5]], sep="\n")
    counts = f"tasks: {len(runs)}; overlapping runs: {len(broken)}"
    deployment.note(counts)
    print(counts)
    return 1 if broken else 0


def describe(deployment, run):
    begun_s = deployment.begun_s
    (worker, number), start_s, end_s, how = run
    return (
        f"run {number} on {worker} from {start_s - begun_s:.4f} to {end_s - begun_s:.4f} s ({how})"
    )


run_case(main)
