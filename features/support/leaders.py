"""Leaders in turn, each with connections of its own to upstreams, which a test can disturb."""

import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import StrEnum
from itertools import count

import anyio
from anyio.abc import TaskStatus

from fireflybridge_adapter._commands import HttpCommandConnector
from fireflybridge_execution import EarlierRunAdopted, ExecutionEvent, Scheduler, TasksPlaced
from fireflybridge_http import Request, Response, Server, ServerLimits
from fireflybridge_jobs import Answer, EarlierRuns, Job, UpstreamInfo, UpstreamState
from fireflybridge_pauses import PauseMonitor
from fireflybridge_standins.site._service import Site
from support.upstreams import CAPACITY, read_once

REPORT_INTERVAL_S = 0.5  # shorter than the time after which a silent upstream runs nothing


class Call(StrEnum):
    """The last part of a command's path."""

    START = "run-start"
    STOP = "run-stop"
    HOLD = "hold"


@dataclass(frozen=True, slots=True)
class Open:
    """Every call is carried out and answered."""


@dataclass(frozen=True, slots=True)
class CallsLost:
    """Calls of these kinds are neither carried out nor answered."""

    calls: frozenset[Call]


@dataclass(frozen=True, slots=True)
class RepliesHeldBack:
    """Every call is carried out, but only the first ``answered`` ones are answered."""

    answered: int


Gate = Open | CallsLost | RepliesHeldBack


class Door:
    """A port at which one leader reaches an upstream, through a gate that the test sets."""

    def __init__(self, site: Site, upstream: str) -> None:
        self.address = "127.0.0.1:0"
        self.gate: Gate = Open()
        self.answered = 0
        self.unanswered: Counter[Call] = Counter()
        self._site = site
        self._upstream = upstream

    async def serve(self, *, task_status: TaskStatus[None]) -> None:
        """Pass calls on to the upstream until cancelled."""
        server = Server(self.address, self._handle, ServerLimits())
        async with anyio.create_task_group() as connections:
            self.address = await connections.start(server.serve, connections)
            task_status.started()

    def describe(self) -> UpstreamInfo:
        """Return the directory entry that leads to this door."""
        upstream = self._site.upstreams[self._upstream]
        ready = UpstreamState.READY
        return UpstreamInfo(
            upstream.id, "desk", self.address, upstream.zone, ready, CAPACITY, (), upstream.born
        )

    async def _handle(self, request: Request) -> Response:
        call = Call(request.path.rpartition("/")[2])
        match self.gate:
            case CallsLost(calls=calls) if call in calls:
                await self._leave_unanswered(call)
        response = await self._site.handle_upstream(self._upstream, request)
        # The gate may have been set while the upstream waited for the end of a run.
        match self.gate:
            case RepliesHeldBack(answered=answered) if self.answered >= answered:
                await self._leave_unanswered(call)
        self.answered += 1
        return response

    async def _leave_unanswered(self, call: Call) -> None:
        """Wait until the client gives up and closes its connection."""
        self.unanswered[call] += 1
        await anyio.sleep_forever()


@dataclass(frozen=True, slots=True)
class Moment:
    """What was seen at a monotonic time."""

    time_s: float
    source: str
    text: str


class Leader:
    """A leader of one failure domain, with a door of its own at each upstream."""

    def __init__(
        self, name: str, site: Site, domain: str, fence: int, upstreams: Iterable[str]
    ) -> None:
        self.doors = {upstream: Door(site, upstream) for upstream in upstreams}
        self.moments: list[Moment] = []
        self.answer: Answer | None = None
        self.ended_s: float | None = None
        """When its job was answered, or when the job's caller left."""
        self.has_run = False
        """Whether it has adopted a run of its job, or has started one."""
        self._name = name
        self._fences = {domain: fence}
        self._scheduler = Scheduler(
            HttpCommandConnector(), self._record, lambda: None, PauseMonitor()
        )
        self._process = anyio.CancelScope()
        self._caller = anyio.CancelScope()

    async def serve(self, *, task_status: TaskStatus[None]) -> None:
        """Lead until cancelled or killed."""
        with self._process:
            async with anyio.create_task_group() as group:
                for door in self.doors.values():
                    await group.start(door.serve)
                group.start_soon(self._scheduler.serve)
                self._scheduler.lead(self._fences)
                infos = {name: door.describe() for name, door in self.doors.items()}
                self._scheduler.set_upstreams(read_once(infos))
                self._note("begins")
                task_status.started()

    async def renew_entries(self) -> None:
        """Read again and again that the upstreams report themselves to the directory."""
        for revision in count(1):
            infos = {
                name: replace(door.describe(), revision=revision)
                for name, door in self.doors.items()
            }
            self._scheduler.set_upstreams(read_once(infos))
            await anyio.sleep(REPORT_INTERVAL_S)

    def kill(self) -> None:
        """End the leader and its connections."""
        self._process.cancel()
        self._note("is killed")

    async def submit(self, job: Job, earlier: EarlierRuns | None) -> None:
        """Submit a job as its entry host does; return once it is answered or abandoned."""
        self._note("gets the job")
        with self._caller:
            self.answer = await self._scheduler.submit(job, 0.0, earlier)
            self.ended_s = time.monotonic()
            self._note(f"answers {self.answer}")

    def learn_replacement(self) -> None:
        """Learn that another host has begun a newer term."""
        self._note("learns that it is replaced")
        self._scheduler.lead({})

    def drop_caller(self) -> None:
        """Let the caller leave."""
        self._note("sees that the caller has left")
        self.ended_s = time.monotonic()
        self._caller.cancel()

    def _record(self, event: ExecutionEvent) -> None:
        match event:
            case EarlierRunAdopted() | TasksPlaced():
                self.has_run = True
        self._note(str(event))

    def _note(self, text: str) -> None:
        self.moments.append(Moment(time.monotonic(), self._name, text))


def list_run_moments(site: Site) -> list[Moment]:
    """Return the starts and ends of runs that the upstreams have recorded."""
    runs = site.describe()["runs"]
    starts = [
        Moment(run["started_s"], run["upstream"], _describe_run(run, "starts")) for run in runs
    ]
    ends = [
        Moment(run["ended_s"], run["upstream"], _describe_run(run, f"ends {run['how']}"))
        for run in runs
        if run["how"]
    ]
    return starts + ends


def _describe_run(run: dict[str, object], verb: str) -> str:
    return f"run {run['number']} of {run['task']} {verb}"


def format_moments(moments: Iterable[Moment]) -> str:
    """Return one line for each moment, in order, with its seconds since the first one."""
    ordered = sorted(moments, key=lambda moment: moment.time_s)
    return "\n".join(
        f"{moment.time_s - ordered[0].time_s:6.3f} {moment.source}: {moment.text}"
        for moment in ordered
    )
