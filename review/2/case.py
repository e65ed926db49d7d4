"""Jobs are cancelled while they run; what still starts or runs too long afterwards is reported."""

import json
import sys
import threading
import time
import uuid
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from deployment import Deployment, run_case, wait_for

CANCEL_S = 3.0
STOP_S = 0.05
STEP_MS = 4500
JOBS = 8
CANCELLED = 2  # a share of 0.25
DEADLINE_MS = 20000


def main(trouble):
    deployment = Deployment(HERE / "record.txt")
    try:
        deployment.start_store()
        deployment.configure(timeout_ms=DEADLINE_MS)
        for index in range(6):
            zone = f"z{index % 3 + 1}"
            deployment.start_worker(f"i-{index}", zone, "a", f"r{index % 3 + 1}")
        for name in ("h1", "h2", "h3"):
            deployment.start_host(name)
        for name in ("h1", "h2", "h3"):
            wait_for(lambda name=name: deployment.is_ready(name), 20, f"{name} is ready")
        time.sleep(3.5)  # every machine is in touch, and the leader has settled
        return play(deployment, trouble)
    finally:
        deployment.close()


def play(deployment, trouble):
    jobs = [uuid.uuid4().hex[:16] for _ in range(JOBS)]
    spec = json.dumps({"cpu": 1000, "work_ms": [STEP_MS, STEP_MS]})
    task = {"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": STEP_MS}
    body = {"spec": spec, "best_effort": True, "steps": [task, {**task, "after": [0]}]}
    answers = {}

    def submit(index, job):
        host = f"h{index % 3 + 1}"
        deployment.note(f"{job} sent to {host}")
        answers[job] = deployment.call(host, "POST", job, body, 25, DEADLINE_MS)
        deployment.note(f"{job} answered {answers[job]}")

    threads = [threading.Thread(target=submit, args=(index, job)) for index, job in enumerate(jobs)]
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    cancelled = {}
    if trouble:
        # The first is cancelled at the host that has taken it, the second at another one.
        for job, host in ((jobs[0], "h1"), (jobs[1], "h3")):
            status, _ = deployment.call(host, "DELETE", job)
            cancelled[job] = time.time()
            deployment.note(f"{job} cancelled at {host}: {status}")
            if not (200 <= status < 300 or status == 410):
                raise AssertionError(f"the cancelling was not acknowledged: {status}")
    for thread in threads:
        thread.join()
    time.sleep(0.3)
    return judge(deployment, cancelled, answers)


def judge(deployment, cancelled, answers):
    broken = []
    begun = {}
    for line in deployment.read_runs():
        job = line["task"].partition(".")[0]
        key = (line["worker"], line["task"], line["run"])
        if line["event"] in ("start", "end"):
            deployment.note(
                f"{line['at'] - deployment.begun_s:.3f} s: {line['event']} of {line['task']} "
                f"run {line['run']} on {line['worker']} {line.get('how', '')}"
            )
        if line["event"] == "start":
            begun[key] = line["at"]
            if job in cancelled and line["at"] > cancelled[job] + CANCEL_S:
                late_s = line["at"] - cancelled[job]
                broken.append(f"{line['task']} started {late_s:.3f} s after the acknowledgement")
        if line["event"] == "end" and job in cancelled:
            limit = cancelled[job] + CANCEL_S + STOP_S
            if begun[key] < limit < line["at"]:
                late_s = line["at"] - cancelled[job]
                broken.append(f"{line['task']} ran until {late_s:.3f} s after the acknowledgement")
    for job, answer in answers.items():
        if job not in cancelled and answer[0] != 200:
            broken.append(f"{job}, which nobody cancelled, was answered {answer}")
    for text in broken:
        deployment.note(f"UNASKED: {text}")
        print(f"UNASKED: {text}")
    deployment.note(f"rule broken: {bool(broken)}")
    return 1 if broken else 0


run_case(main)
