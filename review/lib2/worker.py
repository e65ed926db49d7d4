"""Stand-in for a worker: runs tasks under leases, as the protocol page describes."""

import asyncio
import json
import time
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from lib2.record import Record
from lib2.store import Store
from lib2.wire import HttpServer, Request, Response, make_json

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000.0
STOP_S = 0.02
MAX_ENDS = 500
ACCEPTED = 200
CONFLICT = 409
MISDIRECTED = 421


@dataclass
class Run:
    """A run; ``work_s`` is how long its task takes."""

    task: str
    number: int
    cpu: int
    work_s: float
    started_s: float
    job: asyncio.Task[None] | None = None
    stopping: bool = False
    stopped: asyncio.Event = field(default_factory=asyncio.Event)


class Worker:
    """A worker that may crash and start again under its id and at its address."""

    def __init__(self, ip: str, name: str, zone: str, service: str, store: Store, record: Record):
        self.id = name
        self.zone = zone
        self.service = service
        self.labels = ["a", f"r-{zone}"]
        self.cpu = 16000
        self._store = store
        self._record = record
        self.server = HttpServer(ip, 0, self._handle)
        self.is_up = False
        self.state = "ready"
        self._beat: asyncio.Task[None] | None = None
        self._forget()

    def _forget(self) -> None:
        self.born = int(time.time() * 1000)
        self._began_s = time.monotonic()
        self.fence = 0
        self.lease_end_ms = 0.0
        self.runs: dict[tuple[str, int], Run] = {}
        self.ended: list[list[Any]] = []
        self._sequence = 0
        self._highest: dict[str, int] = {}
        self._run_ended = asyncio.Event()

    @property
    def clock_ms(self) -> float:
        """Return the worker's steady clock."""
        return (time.monotonic() - self._began_s) * 1000

    async def start(self) -> None:
        """Begin a life: listen, register, and report from then on."""
        self._forget()
        await self.server.start()
        self.is_up = True
        self._record.note("worker up", worker=self.id, labels=self.labels, born=self.born)
        self.report()
        self._beat = asyncio.create_task(self._report_always())

    def crash(self) -> None:
        """End the process: everything that runs on it, and its connections."""
        self.is_up = False
        self.server.kill()
        if self._beat is not None:
            self._beat.cancel()
        for run in list(self.runs.values()):
            assert run.job is not None
            run.job.cancel()
            self._record.note("run end", worker=self.id, task=run.task, run=run.number, how="crash")
        self.runs.clear()
        self._record.note("worker down", worker=self.id)

    def report(self) -> None:
        """Write the worker's entry to the store."""
        entry = {
            "service": self.service,
            "addr": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
            "labels": self.labels,
            "born": self.born,
            "seq": self._sequence,
        }
        self._store.put("keyed.servers", self.id, entry)

    async def _report_always(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.report()

    async def _handle(self, request: Request) -> Response:
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return make_json(MISDIRECTED, {"clock_ms": self.clock_ms})
        message = request.read_json()
        if message.get("fence", 0) < self.fence:
            return make_json(CONFLICT, {"clock_ms": self.clock_ms, "reason": "fence"})
        self.fence = message.get("fence", 0)
        match request.path:
            case "/fireflybridge/run-start":
                return self._start_run(message)
            case "/fireflybridge/run-stop":
                return self._stop_run(message)
            case "/fireflybridge/hold":
                return await self._hold(message)
        return Response(404)

    def _start_run(self, message: dict[str, Any]) -> Response:
        key = (message["task"], message["run_id"])
        spec = json.loads(message["spec"])
        if key not in self.runs:
            reason = self._find_reason(key, message["deadline_ms"], spec["cpu"])
            if reason in ("", "old", "room"):
                self._extend(message["deadline_ms"])
            if reason:
                return make_json(CONFLICT, {"clock_ms": self.clock_ms, "reason": reason})
            run = Run(*key, spec["cpu"], spec["work_ms"] / 1000, time.monotonic())
            self.runs[key] = run
            self._record.note(
                "run start", worker=self.id, task=run.task, run=run.number, labels=self.labels
            )
            run.job = asyncio.create_task(self._work(run))
        return make_json(ACCEPTED, {"clock_ms": self.clock_ms})

    def _find_reason(self, key: tuple[str, int], deadline_ms: float, cpu: int) -> str:
        if key[1] <= self._highest.get(key[0], 0):
            return "old"
        if deadline_ms <= self.clock_ms:
            return "late"
        used = sum(run.cpu for run in self.runs.values())
        return "room" if used + cpu > self.cpu else ""

    def _stop_run(self, message: dict[str, Any]) -> Response:
        key = (message["task"], message["run_id"])
        self._highest[key[0]] = max(self._highest.get(key[0], 0), key[1])
        run = self.runs.get(key)
        if run is not None and not run.stopping:
            run.stopping = True
            run.stopped.set()
        return make_json(ACCEPTED, {"clock_ms": self.clock_ms})

    async def _hold(self, message: dict[str, Any]) -> Response:
        seen_upto = message.get("seen_upto", 0)
        self.ended = [row for row in self.ended if row[0] > seen_upto]
        if "deadline_ms" in message:
            self._extend(message["deadline_ms"])
        wait_s = min(message.get("wait_ms", 0), 2000) / 1000
        if not self.ended and wait_s:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._run_ended.wait(), wait_s)
        now_s = time.monotonic()
        running = [
            [run.task, run.number, "", min(int((now_s - run.started_s) / run.work_s * 100), 99), 0]
            for run in self.runs.values()
        ]
        body = {"running": running, "ended": self.ended[:MAX_ENDS], "born": self.born}
        return make_json(ACCEPTED, {"clock_ms": self.clock_ms, **body})

    def _extend(self, deadline_ms: float) -> None:
        """Extend the lease of everything that runs here; it never gets shorter."""
        longest_ms = self.clock_ms + HOLD_MAX_MS
        self.lease_end_ms = max(self.lease_end_ms, min(deadline_ms, longest_ms))

    async def _work(self, run: Run) -> None:
        done_s = run.started_s + run.work_s
        while not run.stopping and time.monotonic() < done_s and self.clock_ms < self.lease_end_ms:
            left_s = min(done_s - time.monotonic(), (self.lease_end_ms - self.clock_ms) / 1000)
            with suppress(TimeoutError):
                await asyncio.wait_for(run.stopped.wait(), max(left_s, 0.001))
        if run.stopping:
            await asyncio.sleep(STOP_S)
            self._end(run, "stopped")
        else:
            self._end(run, "done" if time.monotonic() >= done_s else "lapsed")

    def _end(self, run: Run, how: str) -> None:
        self.runs.pop((run.task, run.number), None)
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.number)
        self._sequence += 1
        self.ended.append([self._sequence, run.task, run.number, how, ""])
        self._record.note("run end", worker=self.id, task=run.task, run=run.number, how=how)
        run_ended, self._run_ended = self._run_ended, asyncio.Event()
        run_ended.set()
