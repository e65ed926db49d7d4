"""An idle worker crashes and starts again under its id; a job comes right after; overlaps are sought."""

import json
import sys
import time
import uuid
from itertools import combinations
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from deployment import Deployment, run_case, wait_for

WORKERS = 8
CPU = 2000
TASKS = 8 * WORKERS
WORK_MS = [5, 200, 200, 200]
ROUNDS = 16
DOWN_S = 1.0
DEADLINE_MS = 4000
CRASHING = "i-4"


def main(trouble):
    deployment = Deployment(HERE / "record.txt")
    try:
        deployment.start_store()
        deployment.configure(target_latency_ms=500, stretch=8, timeout_ms=DEADLINE_MS)
        for index in range(WORKERS):
            zone = f"z{index % 3 + 1}"
            deployment.start_worker(f"i-{index}", zone, "a", f"r-{zone}")
        for name in ("h1", "h2", "h3"):
            deployment.start_host(name)
        for name in ("h1", "h2", "h3"):
            wait_for(lambda name=name: deployment.is_ready(name), 20, f"{name} is ready")
        time.sleep(3.5)  # every machine is in touch, and the leader has settled
        for number in range(ROUNDS):
            play(deployment, trouble, number)
        time.sleep(1.0)
        return judge(deployment)
    finally:
        deployment.close()


def play(deployment, trouble, number):
    if trouble:
        deployment.kill(CRASHING)
        deployment.note(f"{CRASHING} crashed")
        time.sleep(DOWN_S)
        deployment.start_worker(CRASHING, "z2", "a", "r-z2")
        wait_for(lambda: deployment.accepts(deployment.workers[CRASHING]), 10, "it listens")
        deployment.note(f"{CRASHING} listens again")
    else:
        time.sleep(DOWN_S)
    job = uuid.uuid4().hex[:16]
    spec = json.dumps({"cpu": CPU, "work_ms": [WORK_MS]})
    step = {"count": TASKS, "cpu": CPU, "mem_mb": 64, "estimate_ms": 150}
    body = {"spec": spec, "best_effort": True, "steps": [step]}
    host = f"h{number % 3 + 1}"
    answer = deployment.call(host, "POST", job, body, 5.0, DEADLINE_MS)
    deployment.note(f"{job} sent to {host}: {answer}")
    time.sleep(1.2)


def judge(deployment):
    """Return 1 if two runs of a task were under way at the same time on workers that were up."""
    runs = {}
    for line in deployment.read_runs():
        key = (line["worker"], line["born"], line["run"])
        if line["event"] == "start":
            runs.setdefault(line["task"], {})[key] = [line["at"], None, ""]
        elif line["event"] == "end":
            runs[line["task"]][key][1:] = [line["at"], line["how"]]
    broken = []
    for task, found in runs.items():
        for (first, a), (second, b) in combinations(found.items(), 2):
            if a[1] is None or b[1] is None:
                continue  # it ended with its worker's crash
            overlap_s = min(a[1], b[1]) - max(a[0], b[0])
            if overlap_s > 0:
                broken.append(
                    f"{task}: run {first[2]} on {first[0]} ({describe(deployment, a)}) and "
                    f"run {second[2]} on {second[0]} ({describe(deployment, b)}): "
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
    return f"{run[0] - begun_s:.4f} to {run[1] - begun_s:.4f} s {run[2]}"


run_case(main)
