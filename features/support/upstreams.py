"""In-memory upstreams whose runs end when a test says so."""

import time
from collections.abc import Callable, Mapping
from dataclasses import replace

import anyio

from fireflybridge_execution import Accepted, DirectoryView, Hold, Start, Stop
from fireflybridge_http import ExchangeError, ExchangeStep
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

CAPACITY = Resources(16000, 65536, 0)
NEEDS = Resources(6800, 64, 0)
WAIT_LIMIT_S = 5.0
LONG_ESTIMATE_MS = 10000.0  # no run is slow enough to be moved
SILENCE_TIMEOUT_S = 0.1
REFUSAL_S = 0.005


class EndlessUpstream:
    """An in-memory upstream whose runs end when a test says so."""

    def __init__(self) -> None:
        self.running: list[RunningRun] = []
        self.ended: list[EndedRun] = []
        self.acknowledged = 0
        """Sequence number of the last end that a hold has acknowledged."""
        self.starts = 0
        self.incarnation = 1
        """The incarnation to which its connections lead."""

    async def start(self, command: Start, timeout_s: float) -> Accepted:
        """Start a run."""
        self.starts += 1
        self.running.append(RunningRun(command.task, command.number, 50))
        return Accepted(1000.0)

    async def stop(self, command: Stop, timeout_s: float) -> Accepted:
        """Stop nothing."""
        return Accepted(1000.0)

    async def hold(self, command: Hold, timeout_s: float) -> RunReport:
        """Return the lists of runs."""
        await anyio.sleep(0.01)
        self.acknowledged = max(self.acknowledged, command.acknowledged)
        ended = tuple(run for run in self.ended if run.sequence > command.acknowledged)
        return RunReport(1000.0, self.incarnation, tuple(self.running), ended)

    async def close(self) -> None:
        """Do nothing, as there is no connection."""

    def end_run(self) -> None:
        """End the oldest run."""
        run = self.running.pop(0)
        sequence = len(self.ended) + 1
        self.ended.append(EndedRun(sequence, run.task, run.number, RunOutcome.DONE))


class CrashingUpstream(EndlessUpstream):
    """An endless upstream that a test crashes or cuts off."""

    def __init__(self) -> None:
        super().__init__()
        self.refuses = False
        self.silent = False
        self.refused_commands = 0
        """Only an upstream on which a run is placed, or was left, gets commands."""
        self.started_jobs: list[str] = []

    async def start(self, command: Start, timeout_s: float) -> Accepted:
        """Start a run."""
        await self._check_reachable()
        self.started_jobs.append(command.task.job)
        return await super().start(command, timeout_s)

    async def hold(self, command: Hold, timeout_s: float) -> RunReport:
        """Return the lists of runs."""
        await self._check_reachable()
        report = await super().hold(command, timeout_s)
        await self._check_reachable()
        return report

    def crash(self) -> None:
        """Forget everything and refuse connections."""
        self.running.clear()
        self.ended.clear()
        self.refuses = True
        self.incarnation += 1

    def restart(self) -> None:
        """Accept connections again after a crash."""
        self.refuses = False

    async def _check_reachable(self) -> None:
        if self.refuses:
            self.refused_commands += 1
            await anyio.sleep(REFUSAL_S)
            raise ExchangeError(ExchangeStep.CONNECT, "u", "refused")
        if self.silent:
            await anyio.sleep(SILENCE_TIMEOUT_S)
            raise ExchangeError(ExchangeStep.RECEIVE, "u", "timed out")


class EndlessConnector:
    """Connector to endless upstreams, by id."""

    def __init__(self) -> None:
        self.upstreams: dict[str, EndlessUpstream] = {}

    def open(self, upstream: UpstreamInfo) -> EndlessUpstream:
        """Return the upstream itself, which also serves as its connection."""
        return self.upstreams.setdefault(upstream.id, EndlessUpstream())


def describe_upstreams(count: int) -> dict[str, UpstreamInfo]:
    """Return the directory entries of upstreams with room for two tasks each."""
    names = (f"u{index}" for index in range(count))
    ready = UpstreamState.READY
    return {name: UpstreamInfo(name, "desk", "u:1", "z1", ready, CAPACITY) for name in names}


def read_once(infos: Mapping[str, UpstreamInfo]) -> DirectoryView:
    """Return a view of the directory that stays in use, since no store answers after it."""
    return DirectoryView(infos, time.monotonic(), store_answers=False)


def make_job(name: str, tasks: int) -> Job:
    policy = RoutePolicy("orders", "desk", 0, 3, 60000, 1000, 1.6)
    return Job(name * 16, "work", (Step(tasks, NEEDS, 500),), policy, 60000)


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds; raise ``TimeoutError`` after ``WAIT_LIMIT_S``."""
    with anyio.fail_after(WAIT_LIMIT_S):
        while not condition():
            await anyio.sleep(0.01)


def make_long_job(name: str, tasks: int = 1) -> Job:
    """Return a job none of whose runs is moved for being slow."""
    job = make_job(name, tasks)
    steps = tuple(replace(step, estimate_ms=LONG_ESTIMATE_MS) for step in job.steps)
    return replace(job, steps=steps)
