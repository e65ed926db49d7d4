"""Exchange of queued tasks and their results between daemons."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from itertools import count
from typing import Protocol

import anyio
from result import Err, Result

from fireflybridge_core import Cause, Done, MayHaveRun, Outcome, Task, TaskId
from fireflybridge_daemon._pools import PoolRunner
from fireflybridge_daemon._replies import Replies
from fireflybridge_peers import (
    Assign,
    Backlog,
    Lost,
    Message,
    Pull,
    Results,
    Returned,
    SendFailure,
    TaskResult,
    accept_task,
    assign_task,
)
from fireflybridge_telemetry import Metrics, Span, SpanKind, Tracer

# A Pull asks for this share of the local slots in addition to the free ones, so that a slot that
# ends a task finds the next one in the local queue, without a round trip between daemons.
PREFETCH_SHARE = 0.125
# A backlog is announced to this many peers at a time; the others learn of it from heartbeats.
MAX_BACKLOG_PEERS = 8
BACKLOG_INTERVAL_S = 0.02
# Heartbeats may be a second old, so a peer that reported no free slots is offered a few tasks too.
MIN_OFFERED_TASKS = 2
# Tasks announced longer ago have mostly been pulled by others; a Pull would get an empty Assign.
BACKLOG_LIFETIME_S = 0.25
# The reply to a Pull is lost when the peer's link to this daemon stalls or its session ends. An
# unacknowledged exchange is repeated after 1 s, so a reply seldom takes longer than that.
PULL_LIFETIME_S = 1.0


@dataclass(frozen=True, slots=True)
class ServingPeer:
    """Peer that serves a pool, with the free slots reported in its last heartbeat."""

    peer: str
    free_slots: int


class PeerGateway(Protocol):
    """Sends messages to peers, and knows their load and this daemon's pools."""

    def send(self, peer: str, message: Message) -> Result[None, SendFailure]:
        """Queue a message to a peer."""

    def find_serving_peers(self, pool: str, limit: int) -> tuple[ServingPeer, ...]:
        """Return ready peers that serve a pool, those with the most free slots first."""

    def find_runner(self, pool: str) -> PoolRunner | None:
        """Return the runner of a pool."""


@dataclass(frozen=True, slots=True)
class Assigned:
    """Task of this daemon that was assigned to a peer."""

    task: Task
    peer: str
    span: Span | None


@dataclass(frozen=True, slots=True)
class Accepted:
    """Task of a peer that this daemon has accepted."""

    peer: str
    assignment: int


@dataclass(frozen=True, slots=True)
class AnnouncedBacklog:
    """Number of tasks that a peer announced, and when the announcement expires."""

    count: int
    expires: float


@dataclass(frozen=True, slots=True)
class PendingPull:
    """Number of tasks requested from a peer, and the time until which a reply is awaited."""

    slots: int
    expires: float


@dataclass(frozen=True, slots=True)
class PeerPool:
    """Queue of a pool at a peer."""

    peer: str
    pool: str


class TaskMover:
    """Assign queued tasks to peers, accept tasks of peers, and exchange the results.

    A task assigned to a peer is queued again only if the peer reports that it never started it, or
    if the message that carried the task was never sent.
    """

    def __init__(
        self,
        gateway: PeerGateway,
        replies: Replies,
        deliver: Callable[[Task, Outcome], bool],
        metrics: Metrics,
        tracer: Tracer,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._gateway = gateway
        self._replies = replies
        self._deliver = deliver
        self._tracer = tracer
        self._clock = clock
        self._assigned: dict[TaskId, Assigned] = {}
        self._accepted: dict[TaskId, Accepted] = {}
        self._backlogs: dict[PeerPool, AnnouncedBacklog] = {}
        self._pending_pulls: dict[PeerPool, PendingPull] = {}
        self._announced_at: dict[str, float] = {}
        self._assignments = count(1)
        self._cancelled: set[TaskId] = set()
        self._idle = anyio.Event()
        self._moved_out = metrics.tasks_moved.labels("out")
        self._moved_in = metrics.tasks_moved.labels("in")
        self._wasted = metrics.wasted_messages

    @property
    def assigned(self) -> int:
        """Return how many tasks of this daemon are assigned to peers."""
        return len(self._assigned)

    @property
    def accepted(self) -> int:
        """Return how many tasks of peers this daemon has accepted and not finished."""
        return len(self._accepted)

    async def wait_idle(self) -> None:
        """Wait until no accepted task is left."""
        while self._accepted:
            self._idle = anyio.Event()
            await self._idle.wait()

    def has_assigned(self, pool: str) -> bool:
        """Return whether any task of a pool is assigned to a peer."""
        return any(assigned.task.pool == pool for assigned in self._assigned.values())

    def has_accepted(self, task: Task) -> bool:
        """Return whether a task belongs to a peer and was not cancelled by it."""
        return task.id in self._accepted and task.id not in self._cancelled

    def return_result(self, task: Task, outcome: Outcome) -> bool:
        """Send the outcome of a peer's task to the peer; return False for a task of this daemon."""
        accepted = self._release(task)
        if accepted is None:
            return False
        runner = self._gateway.find_runner(task.pool)
        final = outcome if runner is None else runner.finalize_outcome(task, outcome)
        result = TaskResult(task.id, accepted.assignment, final)
        self._replies.send(accepted.peer, Results((result,)))
        return True

    def announce_backlog(self, pool: str) -> None:
        """Announce queued tasks to peers if no slot of this daemon is free for them."""
        runner = self._gateway.find_runner(pool)
        now = self._clock()
        if runner is None or runner.queue.movable == 0:
            return
        if now - self._announced_at.get(pool, 0.0) < BACKLOG_INTERVAL_S:
            return
        self._announced_at[pool] = now
        waiting = runner.queue.movable
        for serving_peer in self._gateway.find_serving_peers(pool, MAX_BACKLOG_PEERS):
            # A peer is offered no more than it can take, so that the peers' pulls do not compete.
            offered = min(waiting, max(serving_peer.free_slots, MIN_OFFERED_TASKS))
            self._gateway.send(serving_peer.peer, Backlog(pool, offered))
            waiting -= offered
            if waiting <= 0:
                break

    def record_backlog(self, peer: str, pool: str, queued: int) -> None:
        """Record how many tasks a peer has queued, and pull some if slots are free."""
        source = PeerPool(peer, pool)
        if queued:
            self._backlogs[source] = AnnouncedBacklog(queued, self._clock() + BACKLOG_LIFETIME_S)
            self.pull(pool)
        else:
            self._backlogs.pop(source, None)

    def pull(self, pool: str) -> None:
        """Pull as many tasks as free slots can take from the peer with the longest queue."""
        if not self._backlogs:
            return
        runner = self._gateway.find_runner(pool)
        if runner is None or not runner.owned:
            return
        now = self._clock()
        self._backlogs = {
            source: one for source, one in self._backlogs.items() if one.expires > now
        }
        self._pending_pulls = {
            source: one for source, one in self._pending_pulls.items() if one.expires > now
        }
        waiting = {
            source: announced.count
            for source, announced in self._backlogs.items()
            if source.pool == pool and source not in self._pending_pulls
        }
        if not waiting:
            return
        local_slots = runner.local_slots
        prefetch = max(1, int(local_slots * PREFETCH_SHARE))
        pending = sum(
            one.slots for source, one in self._pending_pulls.items() if source.pool == pool
        )
        wanted = local_slots - runner.running - runner.queue.startable - pending + prefetch
        if wanted < prefetch:
            return
        source = max(waiting, key=lambda candidate: waiting[candidate])
        wanted = min(wanted, waiting[source])
        if isinstance(self._gateway.send(source.peer, Pull(pool, wanted)), Err):
            del self._backlogs[source]
            return
        self._pending_pulls[source] = PendingPull(wanted, now + PULL_LIFETIME_S)

    def answer_pull(self, peer: str, pull: Pull) -> None:
        """Assign queued tasks to a peer; an empty assignment means that there are none."""
        runner = self._gateway.find_runner(pull.pool)
        tasks = runner.queue.take_batch(pull.slots) if runner is not None else ()
        if not tasks:
            self._wasted.inc()
        assignment = next(self._assignments)
        now = self._clock()
        for task in tasks:
            self._tracer.end_queue_wait(task)
            span = self._tracer.begin("move to peer", task.traceparent, SpanKind.CLIENT)
            self._assigned[task.id] = Assigned(task, peer, span)
        traced = (_add_span_context(self._assigned[task.id]) for task in tasks)
        message = Assign(assignment, pull.pool, tuple(assign_task(task, now) for task in traced))
        self._moved_out.inc(len(tasks))
        if isinstance(self._gateway.send(peer, message), Err):
            self._requeue(task.id for task in tasks)

    def accept(self, peer: str, message: Assign) -> None:
        """Queue the tasks that a peer has assigned to this daemon."""
        source = PeerPool(peer, message.pool)
        self._pending_pulls.pop(source, None)
        if not message.tasks:
            self._backlogs.pop(source, None)
            return
        announced = self._backlogs.pop(source, None)
        if announced is not None and announced.count > len(message.tasks):
            self._backlogs[source] = replace(announced, count=announced.count - len(message.tasks))
        runner = self._gateway.find_runner(message.pool)
        if runner is None or not runner.owned:
            self._replies.send(peer, Returned(tuple(task.id for task in message.tasks)))
            return
        now = self._clock()
        tasks = tuple(accept_task(task, now) for task in message.tasks)
        for task in tasks:
            self._accepted[task.id] = Accepted(peer, message.assignment)
        self._moved_in.inc(len(tasks))
        self._tracer.begin_queue_waits(tasks)
        runner.queue.put_pinned(tasks)

    def receive_results(self, peer: str, message: Results) -> None:
        """Deliver the outcomes of tasks that were assigned to a peer."""
        for result in message.results:
            assigned = self._assigned.get(result.id)
            if assigned is None or assigned.peer != peer:
                continue
            del self._assigned[result.id]
            self._finish(assigned, result.outcome)

    def receive_returned(self, peer: str, message: Returned) -> None:
        """Queue tasks again that a peer returned without starting them."""
        self._requeue(
            task_id
            for task_id in message.ids
            if task_id in self._assigned and self._assigned[task_id].peer == peer
        )

    def cancel_accepted(self, peer: str, keys: tuple[str, ...]) -> None:
        """Mark a peer's tasks as cancelled; those that have started still run."""
        wanted = frozenset(keys)
        for task_id, accepted in self._accepted.items():
            if task_id.key in wanted and accepted.peer == peer:
                self._cancelled.add(task_id)

    def return_queued_tasks(self, runner: PoolRunner) -> None:
        """Return the peers' tasks in the queue of a pool that this daemon no longer serves."""
        keys = {task_id.key for task_id in self._accepted}
        for task in (task for key in keys for task in runner.queue.cancel(key)):
            if task.id not in self._accepted:
                runner.queue.put((task,))
            elif runner.is_retried(task):
                self.return_result(task, MayHaveRun(Cause.CONNECTION_BROKEN))
            elif (accepted := self._release(task)) is not None:
                self._replies.send(accepted.peer, Returned((task.id,)))

    def withdraw_unsent(self, peer: str, unsent: Iterable[Message]) -> None:
        """Undo assignments and pulls whose messages were not sent over a stalled link."""
        for message in unsent:
            match message:
                case Assign(tasks=tasks):
                    self._requeue(task.id for task in tasks if task.id in self._assigned)
                case Pull(pool=pool):
                    self._pending_pulls.pop(PeerPool(peer, pool), None)
                case _:
                    pass

    def drop_peer(self, lost: Lost) -> None:
        """Resolve the tasks assigned to a peer whose session has ended.

        Tasks in messages that were never sent return to the queue. All others assigned to this peer
        may have run, whichever incarnation pulled them: a restarted peer may pull before the
        session of its previous incarnation ends, and tasks of earlier sessions are already resolved.
        """
        unsent = frozenset(
            task.id
            for message in lost.unsent
            if isinstance(message, Assign)
            for task in message.tasks
        )
        assigned_ids = [task_id for task_id, one in self._assigned.items() if one.peer == lost.peer]
        self._requeue(task_id for task_id in assigned_ids if task_id in unsent)
        for task_id in assigned_ids:
            if task_id not in unsent:
                assigned = self._assigned.pop(task_id)
                self._finish(assigned, MayHaveRun(Cause.PEER_LOST, lost.peer))
        self._backlogs = {p: one for p, one in self._backlogs.items() if p.peer != lost.peer}
        self._pending_pulls = {
            p: one for p, one in self._pending_pulls.items() if p.peer != lost.peer
        }

    def _release(self, task: Task) -> Accepted | None:
        """Remove the record of a peer's task that has ended or is returned."""
        accepted = self._accepted.pop(task.id, None)
        self._cancelled.discard(task.id)
        if not self._accepted:
            self._idle.set()
        return accepted

    def _finish(self, assigned: Assigned, outcome: Outcome) -> None:
        task = assigned.task
        self._tracer.end(assigned.span, peer=assigned.peer, outcome=type(outcome).__name__)
        runner = self._gateway.find_runner(task.pool)
        if runner is not None:
            run_s = outcome.run_s if isinstance(outcome, Done) else 0.0
            runner.queue.finish(task, outcome, run_s)
        self._deliver(task, outcome)

    def _requeue(self, task_ids: Iterable[TaskId]) -> None:
        for task_id in tuple(task_ids):
            assigned = self._assigned.pop(task_id)
            task = assigned.task
            self._tracer.end(assigned.span, peer=assigned.peer, outcome="Returned")
            self._tracer.begin_queue_waits((task,))
            runner = self._gateway.find_runner(task.pool)
            final = runner.queue.put_back(task) if runner is not None else None
            if final is not None:
                self._deliver(task, final)


def _add_span_context(assigned: Assigned) -> Task:
    """Return the task with the span of its move as parent of the peer's spans."""
    if assigned.span is None:
        return assigned.task
    return replace(assigned.task, traceparent=str(assigned.span.context))
