"""Measure the processor time of a leader's decisions as the number of its upstreams grows."""

import time
from collections.abc import Callable

import anyio
from comparison import run_measurement

from fireflybridge_execution import (
    Accepted,
    DirectoryView,
    Hold,
    Scheduler,
    Start,
    Stop,
)
from fireflybridge_jobs import (
    EndedRun,
    Job,
    Resources,
    RoutePolicy,
    RunningRun,
    RunOutcome,
    RunReport,
    Step,
    UpstreamInfo,
    UpstreamState,
)
from fireflybridge_pauses import PauseMonitor

UPSTREAM_COUNTS = (24, 108, 540, 1000)
CAPACITY = Resources(16000, 65536, 0)
NEEDS = Resources(6800, 64, 0)
REPORTS = 300
JOBS = 40
TASKS_PER_JOB = 4
ENDLESS = "endless"
LONG_ESTIMATE_MS = 20000
IN_TIME_PERCENT = 50.0
LATE_PERCENT = 0.1  # projects to a run time far beyond every limit
MICROSECONDS = 1e6
SOURCE_PACKAGES = ("placement", "execution", "jobs", "http", "leadership")


class InMemoryUpstream:
    """An upstream that ends each run at once, unless its spec is ``ENDLESS``."""

    def __init__(self) -> None:
        self.incarnation = 1
        self._running: list[RunningRun] = []
        self._ended: list[EndedRun] = []
        self._count = 0
        self._run_ended = anyio.Event()

    async def start(self, command: Start, timeout_s: float) -> Accepted:
        """Start a run."""
        if command.spec == ENDLESS:
            self._running.append(RunningRun(command.task, command.number, 0))
        else:
            self._count += 1
            self._ended.append(EndedRun(self._count, command.task, command.number, RunOutcome.DONE))
            self._run_ended.set()
        return Accepted(1000.0)

    async def stop(self, command: Stop, timeout_s: float) -> Accepted:
        """Stop a run."""
        return Accepted(1000.0)

    async def hold(self, command: Hold, timeout_s: float) -> RunReport:
        """Return the runs, after a wait if none has ended."""
        self._ended = [run for run in self._ended if run.sequence > command.acknowledged]
        if not self._ended:
            self._run_ended = anyio.Event()
            with anyio.move_on_after(command.wait_ms / 1000):
                await self._run_ended.wait()
        return RunReport(1000.0, 1, tuple(self._running), tuple(self._ended))

    async def close(self) -> None:
        """Do nothing, as there is no connection."""


class InMemoryConnector:
    """Connect to in-memory upstreams by id."""

    def __init__(self) -> None:
        self._upstreams: dict[str, InMemoryUpstream] = {}

    def open(self, upstream: UpstreamInfo) -> InMemoryUpstream:
        """Return the upstream itself, which also serves as its connection."""
        return self._upstreams.setdefault(upstream.id, InMemoryUpstream())


def make_job(number: int, spec: str, tasks: int, estimate_ms: float) -> Job:
    """Return a job whose tasks all have the same size."""
    policy = RoutePolicy("orders", "desk", 0, 3, 60000, 60, 1.6)
    return Job(f"{number:016x}", spec, (Step(tasks, NEEDS, estimate_ms),), policy, 60000)


def describe_upstreams(count: int) -> dict[str, UpstreamInfo]:
    """Return the directory entries of upstreams of equal size."""
    names = (f"u{index:04}" for index in range(count))
    ready = UpstreamState.READY
    return {name: UpstreamInfo(name, "desk", "u:1", "z1", ready, CAPACITY) for name in names}


async def measure(count: int) -> None:
    """Print the processor time of each decision in microseconds with ``count`` upstreams."""
    scheduler = Scheduler(InMemoryConnector(), lambda _event: None, lambda: None, PauseMonitor())
    async with anyio.create_task_group() as group:
        group.start_soon(scheduler.serve)
        scheduler.lead({"z1": 1000})
        # Without a store that answers, the view stays in use.
        view = DirectoryView(describe_upstreams(count), time.monotonic(), store_answers=False)
        scheduler.set_upstreams(view)
        while not all(session.synced for session in scheduler._sessions):
            await anyio.sleep(0.05)
        busy = make_job(1, ENDLESS, count // 2, LONG_ESTIMATE_MS)
        group.start_soon(scheduler.submit, busy, 0.0, None)
        await anyio.sleep(1.0)
        print(
            f"{count:5} upstreams: "
            f"report in time {time_reports(scheduler, IN_TIME_PERCENT):7.1f} us, "
            f"report late {time_reports(scheduler, LATE_PERCENT):7.1f} us, "
            f"placement and end {await time_tasks(scheduler):7.1f} us"
        )
        group.cancel_scope.cancel()


def time_reports(scheduler: Scheduler, percent: float) -> float:
    """Return the time of one progress report of a run of the endless job."""
    runs = [(s.info.id, run) for s in scheduler._sessions for run in s.runs.list_runs()]
    report: Callable[..., object] = scheduler._placer.find_move
    active = scheduler._jobs[f"{1:016x}"]
    started = time.process_time()
    for index in range(REPORTS):
        upstream, run = runs[index % len(runs)]
        report(active, upstream, run, percent)
    return (time.process_time() - started) / REPORTS * MICROSECONDS


async def time_tasks(scheduler: Scheduler) -> float:
    """Return the time of one task from its job's submission to its end."""
    started = time.process_time()
    for number in range(JOBS):
        await scheduler.submit(make_job(100 + number, "work", TASKS_PER_JOB, 50), 0.0, None)
    return (time.process_time() - started) / (JOBS * TASKS_PER_JOB) * MICROSECONDS


def measure_all() -> None:
    """Measure with each number of upstreams."""
    for count in UPSTREAM_COUNTS:
        anyio.run(measure, count, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    run_measurement(__file__, __doc__, SOURCE_PACKAGES, measure_all)
