"""In-memory upstreams with leases and fencing tokens that several leaders share, and their runs."""

import time
from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import combinations

import anyio

from fireflybridge_execution import (
    Accepted,
    Hold,
    Rejected,
    RejectionReason,
    Start,
    Stop,
)
from fireflybridge_http import ExchangeError, ExchangeStep
from fireflybridge_jobs import EndedRun, RunningRun, RunOutcome, RunReport, TaskId, UpstreamInfo
from support.upstreams import SILENCE_TIMEOUT_S

POLL_S = 0.005


@dataclass(frozen=True, slots=True)
class RunSpan:
    """When a run was alive on the monotonic clock; ``ended_s`` is None while it is."""

    task: TaskId
    number: int
    upstream: str
    starter: str
    started_s: float
    ended_s: float | None = None

    def overlaps(self, other: "RunSpan") -> bool:
        """Return whether both were alive at one time."""
        return (self.ended_s is None or self.ended_s > other.started_s) and (
            other.ended_s is None or other.ended_s > self.started_s
        )


class LeasedUpstream:
    """An upstream that obeys the highest token and kills its runs when their lease has ended."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.fence = 0
        self.spans: list[RunSpan] = []
        self._lease_end_s = 0.0
        self._ended: list[EndedRun] = []
        self._highest_ended: dict[TaskId, int] = {}

    @property
    def alive(self) -> list[RunSpan]:
        """Return the runs that are alive now."""
        self.end_lapsed_runs()
        return [span for span in self.spans if span.ended_s is None]

    def end_lapsed_runs(self) -> None:
        """Note the end of the runs whose lease is over, at the time when it ended."""
        if time.monotonic() >= self._lease_end_s:
            for span in [span for span in self.spans if span.ended_s is None]:
                self._end(span, RunOutcome.LEASE_EXPIRED, self._lease_end_s)

    def start(self, command: Start, starter: str) -> Accepted | Rejected:
        """Start a run unless its token, number or lease is too old."""
        if command.fence < self.fence:
            return Rejected(RejectionReason.FENCE)
        self.fence = command.fence
        if command.number <= self._highest_ended.get(command.task, 0):
            return Rejected(RejectionReason.OLD_RUN)
        if command.lease_until_ms <= self._read_clock():
            return Rejected(RejectionReason.LATE)
        alive = {(span.task, span.number) for span in self.alive}
        self._extend(command.lease_until_ms)
        if (command.task, command.number) not in alive:
            self.spans.append(
                RunSpan(command.task, command.number, self.name, starter, time.monotonic())
            )
        return Accepted(self._read_clock())

    def stop(self, command: Stop) -> Accepted | Rejected:
        """Stop a run at once."""
        if command.fence < self.fence:
            return Rejected(RejectionReason.FENCE)
        self.fence = command.fence
        for span in self.alive:
            if (span.task, span.number) == (command.task, command.number):
                self._end(span, RunOutcome.STOPPED, time.monotonic())
        highest = self._highest_ended.get(command.task, 0)
        self._highest_ended[command.task] = max(highest, command.number)
        return Accepted(self._read_clock())

    async def hold(self, command: Hold) -> RunReport | Rejected:
        """Extend the lease and return the lists of runs, once a run ends or the wait is over."""
        if command.fence < self.fence:
            return Rejected(RejectionReason.FENCE)
        self.fence = command.fence
        before = len(self.alive)
        if command.lease_until_ms is not None:
            self._extend(command.lease_until_ms)
        with anyio.move_on_after(command.wait_ms / 1000):
            while len(self.alive) >= before:
                await anyio.sleep(POLL_S)
        running = tuple(RunningRun(span.task, span.number, 50) for span in self.alive)
        ended = tuple(end for end in self._ended if end.sequence > command.acknowledged)
        return RunReport(self._read_clock(), 1, running, ended)

    def _extend(self, lease_until_ms: int) -> None:
        self._lease_end_s = max(self._lease_end_s, lease_until_ms / 1000)

    def _end(self, span: RunSpan, outcome: RunOutcome, ended_s: float) -> None:
        self.spans[self.spans.index(span)] = replace(span, ended_s=ended_s)
        highest = self._highest_ended.get(span.task, 0)
        self._highest_ended[span.task] = max(highest, span.number)
        self._ended.append(EndedRun(len(self._ended) + 1, span.task, span.number, outcome))

    def _read_clock(self) -> float:
        return time.monotonic() * 1000


class LeasedNetwork:
    """One leader's connections to the upstreams; a test cuts some of them."""

    def __init__(self, leader: str, upstreams: dict[str, LeasedUpstream]) -> None:
        self.leader = leader
        self.upstreams = upstreams
        self.cut: set[str] = set()
        """Upstreams that this leader can't reach."""
        self.lost_stops: set[str] = set()
        """Upstreams that this leader's stops don't reach."""
        self.delays_starts = False
        self.late_starts: list[Start] = []
        """Starts that are under way until a test carries them out."""

    def open(self, upstream: UpstreamInfo) -> "LeasedConnection":
        """Return a connection to an upstream."""
        return LeasedConnection(self, self.upstreams[upstream.id])


class LeasedConnection:
    """A leader's connection to one upstream."""

    def __init__(self, network: LeasedNetwork, upstream: LeasedUpstream) -> None:
        self.incarnation = 1
        self._network = network
        self._upstream = upstream

    async def start(self, command: Start, timeout_s: float) -> Accepted | Rejected:
        """Start a run."""
        await self._check_reachable(self._network.cut)
        if self._network.delays_starts:
            self._network.late_starts.append(command)
            await anyio.sleep(timeout_s)
            raise ExchangeError(ExchangeStep.RECEIVE, self._upstream.name, "timed out")
        return self._upstream.start(command, self._network.leader)

    async def stop(self, command: Stop, timeout_s: float) -> Accepted | Rejected:
        """Stop a run."""
        await self._check_reachable(self._network.cut | self._network.lost_stops)
        return self._upstream.stop(command)

    async def hold(self, command: Hold, timeout_s: float) -> RunReport | Rejected:
        """Extend the lease and return the lists of runs."""
        await self._check_reachable(self._network.cut)
        reply = await self._upstream.hold(command)
        await self._check_reachable(self._network.cut)
        return reply

    async def close(self) -> None:
        """Do nothing, as there is no connection."""

    async def _check_reachable(self, unreachable: set[str]) -> None:
        await anyio.sleep(POLL_S)
        if self._upstream.name in unreachable:
            await anyio.sleep(SILENCE_TIMEOUT_S)
            raise ExchangeError(ExchangeStep.RECEIVE, self._upstream.name, "timed out")


def list_spans(upstreams: Iterable[LeasedUpstream]) -> list[RunSpan]:
    """Return every run, whether it is still alive or not."""
    for upstream in upstreams:
        upstream.end_lapsed_runs()
    return [span for upstream in upstreams for span in upstream.spans]


def find_overlaps(upstreams: Iterable[LeasedUpstream]) -> list[tuple[RunSpan, RunSpan]]:
    """Return the pairs of runs of one task that were alive at one time."""
    pairs = combinations(list_spans(tuple(upstreams)), 2)
    return [(a, b) for a, b in pairs if a.task == b.task and a.overlaps(b)]
