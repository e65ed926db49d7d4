"""Upstream that runs tasks under a lease and checks fencing tokens."""

import time
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
from anyio.abc import TaskGroup

RunKey = tuple[str, int]
ACCEPTED = 200
CONFLICT = 409
UNHEALTHY = 503
CRASHING_SPEC = "crash"
CRASH_DELAY_S = 0.005  # the start is answered before the upstream crashes


@dataclass(frozen=True, slots=True)
class RunRecord:
    """Run with its monotonic times in seconds; ``how`` names its end, empty while it runs."""

    upstream: str
    task: str
    number: int
    started_s: float
    ended_s: float = 0.0
    how: str = ""


@dataclass(slots=True)
class Behaviour:
    """Duration of tasks and faults of an upstream; the control port sets them by name."""

    work_s: float = 0.05
    hangs: bool = False
    fails: bool = False
    unhealthy: bool = False
    mute: bool = False
    lost_answers: int = 0
    """Number of next start requests that take effect but get no response."""
    restart_s: float = 1.0
    """How long an upstream refuses connections after a crash."""


@dataclass(slots=True)
class _ActiveRun:
    """Run in progress, with the CPU that it uses and the scope that cancels it."""

    record: RunRecord
    cpu: int
    crashes: bool
    scope: anyio.CancelScope
    how: str = "stopped"


@dataclass(slots=True)
class Upstream:
    """State of one upstream.

    ``fence`` is the highest fencing token seen. ``highest_run_ids`` holds, for each task, the
    highest id of a run that has ended or was stopped. ``ended`` holds the ends of runs that the
    leader has not acknowledged yet, numbered by ``sequence``.
    """

    id: str
    zone: str
    cpu: int = 16000
    behaviour: Behaviour = field(default_factory=Behaviour)
    state: str = "ready"
    address: str = ""
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    fence: int = 0
    lease_end_ms: float = 0.0
    active_runs: dict[RunKey, _ActiveRun] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    highest_run_ids: dict[str, int] = field(default_factory=dict)
    history: list[RunRecord] = field(default_factory=list)
    refused_fences: int = 0
    sequence: int = 0
    run_ended: anyio.Event = field(default_factory=anyio.Event)
    _started_s: float = field(default_factory=time.monotonic)
    _life: TaskGroup | None = None

    @property
    def clock_ms(self) -> float:
        """Time since the upstream was started, which its deadlines refer to."""
        return (time.monotonic() - self._started_s) * 1000

    @property
    def is_up(self) -> bool:
        """Whether the upstream is running, and not between a crash and its next start."""
        return self._life is not None

    def begin_life(self, life: TaskGroup) -> None:
        """Start, or start again after a crash; ``life`` holds what a crash ends."""
        self._life = life
        self._started_s = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease_end_ms = 0.0
        self.ended.clear()
        self.highest_run_ids.clear()
        self.sequence = 0

    def crash(self) -> None:
        """End every run and connection without a reply."""
        life, self._life = self._life, None
        if life is None:
            # Another run has just crashed it.
            return
        now_s = time.monotonic()
        self.history.extend(
            replace(run.record, ended_s=now_s, how="crashed") for run in self.active_runs.values()
        )
        self.active_runs.clear()
        life.cancel_scope.cancel()

    def make_entry(self) -> dict[str, Any]:
        """Return the upstream's entry in the directory."""
        return {
            "service": "desk",
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
            "labels": ["a", "r1"],
            "born": self.born,
            "seq": 1,
        }

    def start(self, message: dict[str, Any], cpu: int) -> tuple[int, dict[str, Any]]:
        """Start a run, or return the reason for the refusal."""
        key = (message["task"], message["run_id"])
        reason = self._find_refusal(message, cpu)
        if reason:
            return CONFLICT, {"clock_ms": self.clock_ms, "reason": reason}
        self._extend_lease(message["deadline_ms"])
        if key not in self.active_runs:
            record = RunRecord(self.id, *key, time.monotonic())
            crashes = message["spec"] == CRASHING_SPEC
            self.active_runs[key] = _ActiveRun(record, cpu, crashes, anyio.CancelScope())
            assert self._life is not None
            self._life.start_soon(self._run, key)
        return ACCEPTED, {"clock_ms": self.clock_ms}

    def stop(self, message: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Stop a run, and refuse to start it later."""
        if self._refuse_stale_fence(message):
            return CONFLICT, {"clock_ms": self.clock_ms, "reason": "fence"}
        key = (message["task"], message["run_id"])
        self.highest_run_ids[key[0]] = max(self.highest_run_ids.get(key[0], 0), key[1])
        if key in self.active_runs:
            self.active_runs[key].scope.cancel()
        return ACCEPTED, {"clock_ms": self.clock_ms}

    async def hold(self, message: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Extend the lease, wait for the end of a run and return the active and ended runs."""
        if self._refuse_stale_fence(message):
            return CONFLICT, {"clock_ms": self.clock_ms, "reason": "fence"}
        self.ended = [row for row in self.ended if row[0] > message["seen_upto"]]
        if "deadline_ms" in message:
            self._extend_lease(message["deadline_ms"])
        with anyio.move_on_after(message.get("wait_ms", 0) / 1000):
            while not self.ended:
                await self.run_ended.wait()
        return ACCEPTED, {
            "clock_ms": self.clock_ms,
            "born": self.born,
            "running": [
                [*key, "", self._measure_progress(run)] for key, run in self.active_runs.items()
            ],
            "ended": self.ended,
        }

    def _measure_progress(self, run: _ActiveRun) -> int:
        """Return the percentage of a run's work that is done."""
        if self.behaviour.hangs:
            return 0
        elapsed_s = time.monotonic() - run.record.started_s
        return min(int(100 * elapsed_s / self.behaviour.work_s), 99)

    def _find_refusal(self, message: dict[str, Any], cpu: int) -> str:
        if self._refuse_stale_fence(message):
            return "fence"
        if message["deadline_ms"] < self.clock_ms:
            return "late"
        if message["run_id"] <= self.highest_run_ids.get(message["task"], 0):
            return "old"
        if sum(run.cpu for run in self.active_runs.values()) + cpu > self.cpu:
            return "room"
        return ""

    def _refuse_stale_fence(self, message: dict[str, Any]) -> bool:
        """Return whether the message has a stale fencing token; otherwise adopt its token."""
        if message["fence"] < self.fence:
            self.refused_fences += 1
            return True
        self.fence = message["fence"]
        return False

    def _extend_lease(self, until_ms: float) -> None:
        """Extend the lease to a time of the upstream's clock, at most 1000 ms ahead."""
        self.lease_end_ms = max(self.lease_end_ms, min(until_ms, self.clock_ms + 1000))

    async def _run(self, key: RunKey) -> None:
        run = self.active_runs[key]
        with run.scope:
            if run.crashes:
                await anyio.sleep(CRASH_DELAY_S)
                self.crash()
            run.how = await self._wait_for_end()
        if run.scope.cancelled_caught:
            run.how = "stopped"
        del self.active_runs[key]
        self._record_end(run)

    async def _wait_for_end(self) -> str:
        """Wait until the run's work is done or the lease expires, and return how it ended."""
        done_s = time.monotonic() + self.behaviour.work_s
        while self.behaviour.hangs or time.monotonic() < done_s:
            lease_left_s = (self.lease_end_ms - self.clock_ms) / 1000
            if lease_left_s <= 0:
                return "lapsed"
            work_left_s = lease_left_s if self.behaviour.hangs else done_s - time.monotonic()
            await anyio.sleep(max(min(work_left_s, lease_left_s), 0.001))
        return "failed" if self.behaviour.fails else "done"

    def _record_end(self, run: _ActiveRun) -> None:
        record = run.record
        self.sequence += 1
        self.highest_run_ids[record.task] = max(
            self.highest_run_ids.get(record.task, 0), record.number
        )
        self.ended.append([self.sequence, record.task, record.number, run.how, ""])
        self.history.append(
            RunRecord(
                record.upstream,
                record.task,
                record.number,
                record.started_s,
                time.monotonic(),
                run.how,
            )
        )
        event, self.run_ended = self.run_ended, anyio.Event()
        event.set()
