"""An upstream that runs tasks under a lease and checks fencing tokens."""

import time
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup

RunKey = tuple[str, int]
ACCEPTED = 200
CONFLICT = 409
UNHEALTHY = 503


@dataclass(frozen=True, slots=True)
class RunRecord:
    """Hold one run with its times in seconds; ``how`` is empty while it is under way."""

    upstream: str
    task: str
    number: int
    started_s: float
    ended_s: float = 0.0
    how: str = ""


@dataclass(slots=True)
class Behaviour:
    """Hold the faults of an upstream."""

    work_s: float = 0.05
    hangs: bool = False
    fails: bool = False
    unhealthy: bool = False
    mute: bool = False
    lost_answers: int = 0
    """How many of the next starts are carried out without an answer."""


@dataclass(slots=True)
class _Live:
    """Hold a run under way and what ends it."""

    record: RunRecord
    cpu: int
    scope: anyio.CancelScope
    how: str = "stopped"


@dataclass(slots=True)
class Upstream:
    """Own the runs of one upstream."""

    id: str
    zone: str
    group: TaskGroup
    cpu: int = 16000
    behaviour: Behaviour = field(default_factory=Behaviour)
    state: str = "ready"
    address: str = ""
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    fence: int = 0
    lease_end_ms: float = 0.0
    live: dict[RunKey, _Live] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    highest: dict[str, int] = field(default_factory=dict)
    history: list[RunRecord] = field(default_factory=list)
    refused_fences: int = 0
    sequence: int = 0
    changed: anyio.Event = field(default_factory=anyio.Event)
    _started_s: float = field(default_factory=time.monotonic)

    @property
    def clock_ms(self) -> float:
        """Return the upstream's own clock."""
        return (time.monotonic() - self._started_s) * 1000

    def describe(self) -> dict[str, Any]:
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

    def start(self, order: dict[str, Any], cpu: int) -> tuple[int, dict[str, Any]]:
        """Start a run or say why not."""
        key = (order["task"], order["run_id"])
        reason = self._refuse(order, cpu)
        if reason:
            return CONFLICT, {"clock_ms": self.clock_ms, "reason": reason}
        self._extend(order["deadline_ms"])
        if key not in self.live:
            record = RunRecord(self.id, *key, time.monotonic())
            self.live[key] = _Live(record, cpu, anyio.CancelScope())
            self.group.start_soon(self._run, key)
        return ACCEPTED, {"clock_ms": self.clock_ms}

    def stop(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Stop a run, or keep it from starting later."""
        if self._is_fenced(order):
            return CONFLICT, {"clock_ms": self.clock_ms, "reason": "fence"}
        key = (order["task"], order["run_id"])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        if key in self.live:
            self.live[key].scope.cancel()
        return ACCEPTED, {"clock_ms": self.clock_ms}

    async def hold(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Extend the lease and return the lists of runs."""
        if self._is_fenced(order):
            return CONFLICT, {"clock_ms": self.clock_ms, "reason": "fence"}
        self.ended = [row for row in self.ended if row[0] > order["seen_upto"]]
        if "deadline_ms" in order:
            self._extend(order["deadline_ms"])
        with anyio.move_on_after(order.get("wait_ms", 0) / 1000):
            while not self.ended:
                await self.changed.wait()
        return ACCEPTED, {
            "clock_ms": self.clock_ms,
            "born": self.born,
            "running": [
                [*key, "", self._measure_progress(live)] for key, live in self.live.items()
            ],
            "ended": self.ended,
        }

    def _measure_progress(self, live: _Live) -> int:
        """Return the percentage of a run's work that is done."""
        if self.behaviour.hangs:
            return 0
        elapsed_s = time.monotonic() - live.record.started_s
        return min(int(100 * elapsed_s / self.behaviour.work_s), 99)

    def _refuse(self, order: dict[str, Any], cpu: int) -> str:
        if self._is_fenced(order):
            return "fence"
        if order["deadline_ms"] < self.clock_ms:
            return "late"
        if order["run_id"] <= self.highest.get(order["task"], 0):
            return "old"
        if sum(live.cpu for live in self.live.values()) + cpu > self.cpu:
            return "room"
        return ""

    def _is_fenced(self, order: dict[str, Any]) -> bool:
        if order["fence"] < self.fence:
            self.refused_fences += 1
            return True
        self.fence = order["fence"]
        return False

    def _extend(self, until_ms: float) -> None:
        self.lease_end_ms = max(self.lease_end_ms, min(until_ms, self.clock_ms + 1000))

    async def _run(self, key: RunKey) -> None:
        live = self.live[key]
        with live.scope:
            live.how = await self._work()
        if live.scope.cancelled_caught:
            live.how = "stopped"
        del self.live[key]
        self._list_end(live)

    async def _work(self) -> str:
        """Return how a run ends: after its work, or when the lease expires."""
        done_s = time.monotonic() + self.behaviour.work_s
        while self.behaviour.hangs or time.monotonic() < done_s:
            left_s = (self.lease_end_ms - self.clock_ms) / 1000
            if left_s <= 0:
                return "lapsed"
            rest_s = left_s if self.behaviour.hangs else done_s - time.monotonic()
            await anyio.sleep(max(min(rest_s, left_s), 0.001))
        return "failed" if self.behaviour.fails else "done"

    def _list_end(self, live: _Live) -> None:
        record = live.record
        self.sequence += 1
        self.highest[record.task] = max(self.highest.get(record.task, 0), record.number)
        self.ended.append([self.sequence, record.task, record.number, live.how, ""])
        self.history.append(
            RunRecord(
                record.upstream,
                record.task,
                record.number,
                record.started_s,
                time.monotonic(),
                live.how,
            )
        )
        event, self.changed = self.changed, anyio.Event()
        event.set()
