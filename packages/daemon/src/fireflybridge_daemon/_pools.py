"""Slots of the upstreams that this daemon owns, with one coroutine for each connection."""

import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import anyio
from anyio.abc import TaskGroup

from fireflybridge_core import (
    FIRST_SERVER_ERROR_STATUS,
    Cause,
    Done,
    MayHaveRun,
    NotRun,
    Outcome,
    Task,
    TaskId,
)
from fireflybridge_dispatch import Allowed, Denied, PoolQueue, Probe, RetryBudget, UpstreamHealth
from fireflybridge_tables import Pool, Upstream
from fireflybridge_telemetry import Event, Metrics, SpanKind, Tracer, log_event
from fireflybridge_upstream import UpstreamConnection

MIN_RETRY_DELAY_S = 0.01
MAX_RETRY_DELAY_S = 0.05

Deliver = Callable[[Task, Outcome], None]
IsWanted = Callable[[Task], bool]


@dataclass(frozen=True, slots=True)
class PoolHooks:
    """Callbacks of a pool: delivery of outcomes, check that a task is still wanted, and tracing."""

    deliver: Deliver
    is_wanted: IsWanted
    tracer: Tracer


class _UpstreamOwnership:
    """Ownership of one upstream; when it ends, slots still finish the tasks that they started.

    ``unstarted`` counts the slots whose coroutines start with the first task. When all started
    immediately, a daemon that briefly owned 1,000 upstreams used 65 MB for 8,000 idle slots.
    """

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.ended = False
        self.unstarted = min(upstream.slots, upstream.connections)
        self.waiting: set[anyio.CancelScope] = set()

    def end(self) -> None:
        """End the ownership and wake the slots that wait for a task."""
        self.ended = True
        for scope in tuple(self.waiting):
            scope.cancel()


class PoolRunner:
    """Run the slots of one pool's owned upstreams against the pool's queue."""

    def __init__(self, pool: Pool, group: TaskGroup, metrics: Metrics, hooks: PoolHooks) -> None:
        self.pool = pool
        self.queue = PoolQueue(pool, time.monotonic)
        self.budget = RetryBudget(time.monotonic)
        self._health = UpstreamHealth(pool, time.monotonic)
        self._group = group
        self._hooks = hooks
        self._tracer = hooks.tracer
        self._ownerships: dict[str, _UpstreamOwnership] = {}
        self._running = 0
        self._retried: set[TaskId] = set()
        self._jitter = random.Random()
        self._outcomes = {
            kind: metrics.task_outcomes.labels(pool.name, kind.__name__)
            for kind in (Done, NotRun, MayHaveRun)
        }
        self._starts = metrics.task_starts.labels(pool.name)
        self._retries = metrics.retries.labels(pool.name)
        self._ownership_changes = metrics.ownership_changes

    @property
    def running(self) -> int:
        """Return how many tasks are running at upstreams."""
        return self._running

    @property
    def free(self) -> int:
        """Return how many slots have no task, with or without a coroutine."""
        return self.queue.free + sum(one.unstarted for one in self._ownerships.values())

    @property
    def local_slots(self) -> int:
        """Return the total number of slots of the owned upstreams."""
        return sum(one.upstream.slots for one in self._ownerships.values())

    @property
    def owned(self) -> frozenset[str]:
        """Return the names of the owned upstreams."""
        return frozenset(self._ownerships)

    @property
    def idle(self) -> bool:
        """Return whether no task is queued, running or waiting for a retry."""
        return self._running == 0 and self.queue.queued == 0 and not self._retried

    def configure(self, pool: Pool) -> None:
        """Apply the pool's definition in the tables in force."""
        self.pool = pool
        self.queue.configure(pool)
        self._health.configure(pool)

    def set_owned_upstreams(self, upstreams: Iterable[Upstream], total_slots: int) -> None:
        """Start and end slots so that exactly ``upstreams`` are served.

        ``total_slots`` counts the slots of the pool's upstreams at all daemons, except leaving ones.
        """
        wanted = {upstream.name: upstream for upstream in upstreams}
        for name, ownership in tuple(self._ownerships.items()):
            if wanted.get(name) != ownership.upstream:
                self._release(name)
        for name in wanted.keys() - self._ownerships.keys():
            self._acquire(wanted[name])
        self.queue.set_slots(total_slots, sum(u.slots for u in wanted.values()))

    def release_all(self) -> None:
        """Release all upstreams; requests in flight are finished."""
        self.set_owned_upstreams((), 0)

    def _acquire(self, upstream: Upstream) -> None:
        ownership = _UpstreamOwnership(upstream)
        self._ownerships[upstream.name] = ownership
        self._start_slots(ownership, 1)
        self._ownership_changes.labels("acquired").inc()
        log_event(Event.UPSTREAM_ACQUIRED, pool=self.pool.name, upstream=upstream.name)

    def _start_slots(self, ownership: _UpstreamOwnership, count: int) -> None:
        ownership.unstarted -= count
        for _ in range(count):
            self._group.start_soon(self._run_slot, ownership)

    def _release(self, name: str) -> None:
        self._ownerships.pop(name).end()
        self._ownership_changes.labels("released").inc()
        log_event(Event.UPSTREAM_RELEASED, pool=self.pool.name, upstream=name)

    async def _run_slot(self, ownership: _UpstreamOwnership) -> None:
        """Serve one slot until released: wait for a task, send it, deliver its outcome."""
        upstream = ownership.upstream
        connection = UpstreamConnection(upstream.name, upstream.address, guards=self.pool.guards)
        try:
            while not ownership.ended:
                task = await self._wait_for_task(ownership)
                if task is not None:
                    self._start_slots(ownership, ownership.unstarted)
                    self._tracer.end_queue_wait(task)
                    outcome = await self._exchange(connection, upstream.name, task)
                    self._record_health(upstream.name, outcome)
                    self._handle_outcome(task, outcome)
        finally:
            await connection.close()

    async def _wait_for_task(self, ownership: _UpstreamOwnership) -> Task | None:
        name = ownership.upstream.name
        with anyio.CancelScope() as scope:
            ownership.waiting.add(scope)
            try:
                match self._health.acquire(name):
                    case Denied(until=until):
                        await anyio.sleep(max(0.0, until - time.monotonic()))
                        return None
                    case Allowed() | Probe():
                        return await self._take_task(name)
            finally:
                ownership.waiting.discard(scope)
        return None

    async def _take_task(self, name: str) -> Task:
        try:
            return await self.queue.take(name)
        except BaseException:
            self._health.release(name)
            raise

    async def _exchange(self, connection: UpstreamConnection, upstream: str, task: Task) -> Outcome:
        if not self._hooks.is_wanted(task):
            return NotRun(Cause.CANCELLED)
        self._running += 1
        try:
            self._starts.inc()
            span = self._tracer.begin("upstream request", task.traceparent, SpanKind.CLIENT)
            sent = task if span is None else replace(task, traceparent=str(span.context))
            outcome = await connection.exchange(sent)
            kind = type(outcome).__name__
            self._tracer.end(span, pool=task.pool, upstream=upstream, outcome=kind)
            return outcome
        finally:
            self._running -= 1

    def _record_health(self, upstream: str, outcome: Outcome) -> None:
        if isinstance(outcome, Done) and outcome.status < FIRST_SERVER_ERROR_STATUS:
            self._health.record(upstream, outcome)
            return
        ejected = self._health.count_ejected()
        self._health.record(upstream, outcome)
        if self._health.count_ejected() > ejected:
            log_event(Event.UPSTREAM_EJECTED, pool=self.pool.name, upstream=upstream)

    def _handle_outcome(self, task: Task, outcome: Outcome) -> None:
        match outcome:
            case NotRun(cause=Cause.CONNECT_FAILED | Cause.GUARD_REFUSED):
                self._retries.inc()
                self._tracer.begin_queue_waits((task,))
                final = self.queue.put_back(task)
                if final is not None:
                    self._deliver(task, final)
            case _ if self._may_retry(task, outcome):
                from_peer = self.queue.is_from_peer(task)
                self.queue.finish(task, outcome, 0.0)
                self._retries.inc()
                self._group.start_soon(self._retry_later, task, from_peer)
            case Done(run_s=run_s):
                self.queue.finish(task, outcome, run_s)
                self._deliver(task, outcome)
            case _:
                self.queue.finish(task, outcome, 0.0)
                self._deliver(task, outcome)

    def _may_retry(self, task: Task, outcome: Outcome) -> bool:
        """Return whether an idempotent single request may be retried."""
        if not task.idempotent or time.monotonic() + MAX_RETRY_DELAY_S >= task.deadline:
            return False
        match outcome:
            case MayHaveRun() | Done(status=500 | 502 | 503 | 504):
                return self.budget.try_retry()
            case _:
                return False

    def finalize_outcome(self, task: Task, outcome: Outcome) -> Outcome:
        """Return the final outcome of a task.

        A task that was sent, failed and waits for a retry may have run, whether its deadline, a
        cancellation or a refusal ends the wait.
        """
        if task.id not in self._retried:
            return outcome
        self._retried.discard(task.id)
        match outcome:
            case NotRun(upstream=upstream):
                return MayHaveRun(Cause.CONNECTION_BROKEN, upstream)
            case _:
                return outcome

    def is_retried(self, task: Task) -> bool:
        """Return whether a task was sent before, failed, and is retried."""
        return task.id in self._retried

    async def _retry_later(self, task: Task, from_peer: bool) -> None:
        self._retried.add(task.id)
        await anyio.sleep(self._jitter.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S))
        self._tracer.begin_queue_waits((task,))
        # A peer's task must not be moved again, and the queue no longer records that it is one.
        self.queue.put_pinned((task,), from_peer)

    def _deliver(self, task: Task, outcome: Outcome) -> None:
        self._outcomes[type(outcome)].inc()
        self._hooks.deliver(task, outcome)
