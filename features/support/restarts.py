"""An upstream on a loopback connection whose process a test replaces by a new one."""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup, TaskStatus

from fireflybridge_http import Request, Response, Server, ServerLimits
from fireflybridge_jobs import UpstreamInfo, UpstreamState
from support.upstreams import CAPACITY

HELD_BACK_S = 0.08  # with the delay of the answer shorter than the timeout of a start
ANSWER_DELAY_S = 0.08
RUN_S = 0.6


@dataclass(frozen=True, slots=True)
class StartedRun:
    """A run of a task in one incarnation, with its start on the monotonic clock."""

    task: str
    number: int
    upstream: str
    incarnation: int
    started_s: float

    @property
    def end_s(self) -> float:
        """Return when the run ends by itself."""
        return self.started_s + RUN_S


class RestartableUpstream:
    """Serve commands over HTTP; ``restart`` ends the process with its runs and connections."""

    def __init__(self, name: str, starts: list[StartedRun]) -> None:
        """Append each run that is started to ``starts``."""
        self.name = name
        self.incarnation = 0
        self.address = "127.0.0.1:0"
        self.delays_replies = False
        """Whether a start is carried out after a hold has come, and the hold is answered after it."""
        self._starts = starts
        self._process: anyio.CancelScope | None = None
        self._hold_received = False
        self._run_started = False

    def describe(self) -> UpstreamInfo:
        """Return the directory entry."""
        ready = UpstreamState.READY
        return UpstreamInfo(
            self.name, "desk", self.address, "z1", ready, CAPACITY, (), self.incarnation
        )

    async def start_process(self, group: TaskGroup) -> None:
        """Start the next incarnation at the same address."""
        self.incarnation += 1
        self.address = await group.start(self._live)

    async def restart(self, group: TaskGroup) -> None:
        """End the process and start another one, which answers late."""
        assert self._process is not None
        self._process.cancel()
        await anyio.sleep(HELD_BACK_S)
        self.delays_replies = True
        await self.start_process(group)

    async def _live(self, *, task_status: TaskStatus[str]) -> None:
        server = Server(self.address, self._handle, ServerLimits())
        with anyio.CancelScope() as self._process:
            async with anyio.create_task_group() as connections:
                await server.serve(connections, task_status=task_status)

    def _list_runs(self, *, ended: bool) -> list[StartedRun]:
        """Return the runs of this incarnation that have ended, or those that have not."""
        now_s = time.monotonic()
        return [
            run
            for run in self._starts
            if run.upstream == self.name
            and run.incarnation == self.incarnation
            and (run.end_s <= now_s) is ended
        ]

    async def _handle(self, request: Request) -> Response:
        message = json.loads(request.body)
        match request.path:
            case "/fireflybridge/hold":
                report = self._describe_runs()
                if self.delays_replies:
                    self._hold_received = True
                    await _wait_briefly(lambda: self._run_started)
                return _encode(report)
            case "/fireflybridge/run-start":
                await self._start_run(message)
                return _encode({"clock_ms": 1000})
            case _:
                return _encode({"clock_ms": 1000})

    async def _start_run(self, message: dict[str, object]) -> None:
        if self.delays_replies:
            await _wait_briefly(lambda: self._hold_received)
        run = StartedRun(
            str(message["task"]),
            int(str(message["run_id"])),
            self.name,
            self.incarnation,
            time.monotonic(),
        )
        self._starts.append(run)
        self._run_started = True
        if self.delays_replies:
            await anyio.sleep(ANSWER_DELAY_S)

    def _describe_runs(self) -> dict[str, object]:
        running = [[run.task, run.number, "", 50] for run in self._list_runs(ended=False)]
        ended = [
            [index + 1, run.task, run.number, "done", ""]
            for index, run in enumerate(self._list_runs(ended=True))
        ]
        return {
            "clock_ms": 1000,
            "born": self.incarnation,
            "running": running,
            "ended": ended,
        }


async def _wait_briefly(condition: Callable[[], bool]) -> None:
    with anyio.move_on_after(HELD_BACK_S):
        while not condition():
            await anyio.sleep(0.001)


def _encode(body: dict[str, object]) -> Response:
    return Response(200, json.dumps(body).encode())
