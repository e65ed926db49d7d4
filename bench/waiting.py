"""Measure what events cost a leader, in processor time, as the number of its waiting jobs grows."""

import time

import anyio
from comparison import run_measurement
from placement import InMemoryConnector, describe_upstreams, make_job

from fireflybridge_clearances import JobClearances
from fireflybridge_execution import DirectoryView, Scheduler
from fireflybridge_leadership import Holder, Term
from fireflybridge_pauses import PauseMonitor

WAITING_COUNTS = (100, 400, 1600)
UPSTREAMS = 108
REPEATS = 50
LONG_ESTIMATE_MS = 20000
MICROSECONDS = 1e6
SOURCE_PACKAGES = ("clearances", "placement", "execution", "jobs", "http", "leadership", "pauses")
OWN = Holder("own", "1", "127.0.0.1:1")
OTHERS = tuple(Holder(f"other-{n}", "1", f"127.0.0.1:{n + 2}") for n in range(4))
TERMS = (Term("z1", OWN, 1000), *(Term(f"y{n}", o, 1000) for n, o in enumerate(OTHERS)))


async def measure(waiting: int) -> None:
    """Print the time of each event beside jobs that no other leader has cleared."""
    clearances = JobClearances(OWN, lambda: TERMS)
    scheduler = Scheduler(
        InMemoryConnector(), lambda _event: None, lambda: None, PauseMonitor(), None, clearances
    )
    async with anyio.create_task_group() as group:
        group.start_soon(scheduler.serve)
        scheduler.lead({"z1": 1000})
        view = DirectoryView(describe_upstreams(UPSTREAMS), time.monotonic(), store_answers=False)
        scheduler.set_upstreams(view)
        while not scheduler.can_start_tasks:
            await anyio.sleep(0.01)
        for number in range(waiting):
            group.start_soon(scheduler.submit, make_job(number, "work", 1, 50), 0.0, None)
        await anyio.sleep(0.5)
        receipt = 0.0
        for number in range(waiting, waiting + REPEATS):
            submission = scheduler.submit(make_job(number, "work", 1, 50), 0.0, None)
            began = time.process_time()
            submission.send(None)
            receipt += time.process_time() - began
            submission.close()
        began = time.process_time()
        for _ in range(REPEATS):
            scheduler.capacity_changed()
        freed = time.process_time() - began
        began = time.process_time()
        for _ in range(REPEATS):
            scheduler.list_questions(OTHERS[0])
        listed = time.process_time() - began
        print(
            f"{waiting:5} waiting jobs: received job {receipt / REPEATS * MICROSECONDS:8.1f} us, "
            f"freed capacity {freed / REPEATS * MICROSECONDS:8.1f} us, "
            f"list of questions {listed / REPEATS * MICROSECONDS:8.1f} us"
        )
        group.cancel_scope.cancel()


def measure_all() -> None:
    """Measure with each number of waiting jobs."""
    for count in WAITING_COUNTS:
        anyio.run(measure, count, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    run_measurement(__file__, __doc__, SOURCE_PACKAGES, measure_all)
