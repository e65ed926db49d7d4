"""Moves queued tasks to daemons with free slots, and results back."""

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

# A Pull asks for this share of the own slots more than are free, so that a slot that ends a task
# finds the next one here instead of waiting for a round trip between daemons.
PREFETCH_SHARE = 0.125
# Backlog goes to this many peers at once; the others learn of it from heartbeats.
MAX_BACKLOG_PEERS = 8
BACKLOG_INTERVAL_S = 0.02
# Heartbeats are up to a second old, so a peer that seemed full is offered a few tasks too.
MIN_OFFERED_TASKS = 2
# An offer older than this has mostly been taken by others; pulling it costs an empty answer.
OFFER_LIFETIME_S = 0.25
# The answer to a Pull is lost when the peer's link to this daemon stalls or its session ends. An
# exchange that is not acknowledged is repeated after 1 s, so an answer is seldom later than that.
PULL_LIFETIME_S = 1.0


@dataclass(frozen=True, slots=True)
class Helper:
    """Name a peer that serves a pool, with the free slots of its last heartbeat."""

    peer: str
    free_slots: int


class Exchange(Protocol):
    """Reach peers, and know how loaded they are."""

    def send(self, peer: str, message: Message) -> Result[None, SendFailure]:
        """Queue a message to a peer."""

    def find_helpers(self, pool: str, limit: int) -> tuple[Helper, ...]:
        """Return ready peers that serve a pool, those with the most free slots first."""

    def find_runner(self, pool: str) -> PoolRunner | None:
        """Return the runner of a pool."""


@dataclass(frozen=True, slots=True)
class Assigned:
    """Note a local task that a peer runs."""

    task: Task
    peer: str
    span: Span | None


@dataclass(frozen=True, slots=True)
class Accepted:
    """Note a peer's task that runs here."""

    peer: str
    assignment: int


@dataclass(frozen=True, slots=True)
class Offer:
    """Note how many tasks a peer offered, and until when that counts."""

    count: int
    expires: float


@dataclass(frozen=True, slots=True)
class Asked:
    """Note for how many tasks a peer was asked, and until when an answer is awaited."""

    slots: int
    expires: float


@dataclass(frozen=True, slots=True)
class PeerPool:
    """Identify a pool's queue at a peer."""

    peer: str
    pool: str


class Mover:
    """Own the tasks that are on their way between daemons.

    A task handed to a peer comes back only if the peer says that it never started it, or if the
    message that carried it was never sent.
    """

    def __init__(
        self,
        exchange: Exchange,
        replies: Replies,
        deliver: Callable[[Task, Outcome], bool],
        metrics: Metrics,
        tracer: Tracer,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._exchange = exchange
        self._replies = replies
        self._deliver = deliver
        self._tracer = tracer
        self._clock = clock
        self._assigned: dict[TaskId, Assigned] = {}
        self._accepted: dict[TaskId, Accepted] = {}
        self._backlogs: dict[PeerPool, Offer] = {}
        self._asked: dict[PeerPool, Asked] = {}
        self._announced: dict[str, float] = {}
        self._assignments = count(1)
        self._cancelled: set[TaskId] = set()
        self._emptied = anyio.Event()
        self._moved_out = metrics.tasks_moved.labels("out")
        self._moved_in = metrics.tasks_moved.labels("in")
        self._wasted = metrics.wasted_messages

    @property
    def assigned(self) -> int:
        """Return how many local tasks peers run."""
        return len(self._assigned)

    @property
    def accepted(self) -> int:
        """Return how many tasks of peers are here."""
        return len(self._accepted)

    async def wait_idle(self) -> None:
        """Wait until no peer's task is left here."""
        while self._accepted:
            self._emptied = anyio.Event()
            await self._emptied.wait()

    def has_assigned(self, pool: str) -> bool:
        """Tell whether peers hold tasks of a pool."""
        return any(assigned.task.pool == pool for assigned in self._assigned.values())

    def has_accepted(self, task: Task) -> bool:
        """Tell whether a task belongs to a peer and was not cancelled by it."""
        return task.id in self._accepted and task.id not in self._cancelled

    def settle(self, task: Task, outcome: Outcome) -> bool:
        """Send the outcome of a peer's task back; return False for a local task."""
        accepted = self._release(task)
        if accepted is None:
            return False
        runner = self._exchange.find_runner(task.pool)
        final = outcome if runner is None else runner.judge(task, outcome)
        result = TaskResult(task.id, accepted.assignment, final)
        self._replies.send(accepted.peer, Results((result,)))
        return True

    def offer(self, pool: str) -> None:
        """Tell peers about queued tasks that no own slot is free for."""
        runner = self._exchange.find_runner(pool)
        now = self._clock()
        if runner is None or runner.queue.movable == 0:
            return
        if now - self._announced.get(pool, 0.0) < BACKLOG_INTERVAL_S:
            return
        self._announced[pool] = now
        waiting = runner.queue.movable
        for helper in self._exchange.find_helpers(pool, MAX_BACKLOG_PEERS):
            # A peer is told of as much as it can take, so that the peers' pulls do not compete.
            share = min(waiting, max(helper.free_slots, MIN_OFFERED_TASKS))
            self._exchange.send(helper.peer, Backlog(pool, share))
            waiting -= share
            if waiting <= 0:
                break

    def note_backlog(self, peer: str, pool: str, queued: int) -> None:
        """Remember how many tasks a peer has queued, and pull some if slots are free."""
        place = PeerPool(peer, pool)
        if queued:
            self._backlogs[place] = Offer(queued, self._clock() + OFFER_LIFETIME_S)
            self.pull(pool)
        else:
            self._backlogs.pop(place, None)

    def pull(self, pool: str) -> None:
        """Ask the peer with the longest queue for as many tasks as slots can take."""
        if not self._backlogs:
            return
        runner = self._exchange.find_runner(pool)
        if runner is None or not runner.owned:
            return
        now = self._clock()
        self._backlogs = {place: o for place, o in self._backlogs.items() if o.expires > now}
        self._asked = {place: one for place, one in self._asked.items() if one.expires > now}
        waiting = {
            place: offer.count
            for place, offer in self._backlogs.items()
            if place.pool == pool and place not in self._asked
        }
        if not waiting:
            return
        local = runner.local_slots
        prefetch = max(1, int(local * PREFETCH_SHARE))
        asked = sum(one.slots for place, one in self._asked.items() if place.pool == pool)
        room = local - runner.running - runner.queue.startable - asked + prefetch
        if room < prefetch:
            return
        place = max(waiting, key=lambda candidate: waiting[candidate])
        room = min(room, waiting[place])
        if isinstance(self._exchange.send(place.peer, Pull(pool, room)), Err):
            del self._backlogs[place]
            return
        self._asked[place] = Asked(room, now + PULL_LIFETIME_S)

    def answer_pull(self, peer: str, pull: Pull) -> None:
        """Hand queued tasks to a peer; an empty assignment says that there are none."""
        runner = self._exchange.find_runner(pull.pool)
        tasks = runner.queue.take_batch(pull.slots) if runner is not None else ()
        if not tasks:
            self._wasted.inc()
        assignment = next(self._assignments)
        now = self._clock()
        for task in tasks:
            self._tracer.end_queue_wait(task)
            span = self._tracer.begin("move to peer", task.traceparent, SpanKind.CLIENT)
            self._assigned[task.id] = Assigned(task, peer, span)
        marked = (_mark_task(self._assigned[task.id]) for task in tasks)
        message = Assign(assignment, pull.pool, tuple(assign_task(task, now) for task in marked))
        self._moved_out.inc(len(tasks))
        if isinstance(self._exchange.send(peer, message), Err):
            self._take_back(task.id for task in tasks)

    def accept(self, peer: str, message: Assign) -> None:
        """Queue a peer's tasks here."""
        place = PeerPool(peer, message.pool)
        self._asked.pop(place, None)
        if not message.tasks:
            self._backlogs.pop(place, None)
            return
        offer = self._backlogs.pop(place, None)
        if offer is not None and offer.count > len(message.tasks):
            self._backlogs[place] = replace(offer, count=offer.count - len(message.tasks))
        runner = self._exchange.find_runner(message.pool)
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
        """Deliver the outcomes of tasks that a peer ran."""
        for result in message.results:
            assigned = self._assigned.get(result.id)
            if assigned is None or assigned.peer != peer:
                continue
            del self._assigned[result.id]
            self._finish(assigned, result.outcome)

    def receive_returned(self, peer: str, message: Returned) -> None:
        """Queue tasks again that a peer never started."""
        self._take_back(
            task_id
            for task_id in message.ids
            if task_id in self._assigned and self._assigned[task_id].peer == peer
        )

    def cancel_accepted(self, peer: str, keys: tuple[str, ...]) -> None:
        """Drop a peer's tasks that have not started here."""
        wanted = frozenset(keys)
        for task_id, accepted in self._accepted.items():
            if task_id.key in wanted and accepted.peer == peer:
                self._cancelled.add(task_id)

    def return_queued(self, runner: PoolRunner) -> None:
        """Give back the peers' tasks that wait in a queue whose slots this daemon gives up."""
        keys = {task_id.key for task_id in self._accepted}
        for task in (task for key in keys for task in runner.queue.cancel(key)):
            if task.id not in self._accepted:
                runner.queue.put((task,))
            elif runner.was_sent(task):
                self.settle(task, MayHaveRun(Cause.CONNECTION_BROKEN))
            elif (accepted := self._release(task)) is not None:
                self._replies.send(accepted.peer, Returned((task.id,)))

    def give_back(self, peer: str, unsent: Iterable[Message]) -> None:
        """Queue the tasks again whose message a silent peer can't get."""
        for message in unsent:
            match message:
                case Assign(tasks=tasks):
                    self._take_back(task.id for task in tasks if task.id in self._assigned)
                case Pull(pool=pool):
                    self._asked.pop(PeerPool(peer, pool), None)
                case _:
                    pass

    def drop_peer(self, lost: Lost) -> None:
        """Settle what the ended session with a peer leaves behind.

        Tasks in messages that were never sent return to the queue. All others of this peer may
        have run, whichever incarnation pulled them: a restarted peer may pull before the session
        with its predecessor ends, and the tasks of earlier sessions are settled already.
        """
        unsent = frozenset(
            task.id
            for message in lost.unsent
            if isinstance(message, Assign)
            for task in message.tasks
        )
        gone = [task_id for task_id, one in self._assigned.items() if one.peer == lost.peer]
        self._take_back(task_id for task_id in gone if task_id in unsent)
        for task_id in gone:
            if task_id not in unsent:
                assigned = self._assigned.pop(task_id)
                self._finish(assigned, MayHaveRun(Cause.PEER_LOST, lost.peer))
        self._backlogs = {p: offer for p, offer in self._backlogs.items() if p.peer != lost.peer}
        self._asked = {p: asked for p, asked in self._asked.items() if p.peer != lost.peer}

    def _release(self, task: Task) -> Accepted | None:
        """Forget a peer's task that has ended here."""
        accepted = self._accepted.pop(task.id, None)
        self._cancelled.discard(task.id)
        if not self._accepted:
            self._emptied.set()
        return accepted

    def _finish(self, assigned: Assigned, outcome: Outcome) -> None:
        task = assigned.task
        self._tracer.end(assigned.span, peer=assigned.peer, outcome=type(outcome).__name__)
        runner = self._exchange.find_runner(task.pool)
        if runner is not None:
            run_s = outcome.run_s if isinstance(outcome, Done) else 0.0
            runner.queue.finish(task, outcome, run_s)
        self._deliver(task, outcome)

    def _take_back(self, task_ids: Iterable[TaskId]) -> None:
        for task_id in tuple(task_ids):
            assigned = self._assigned.pop(task_id)
            task = assigned.task
            self._tracer.end(assigned.span, peer=assigned.peer, outcome="Returned")
            self._tracer.begin_queue_waits((task,))
            runner = self._exchange.find_runner(task.pool)
            last = runner.queue.put_back(task) if runner is not None else None
            if last is not None:
                self._deliver(task, last)


def _mark_task(assigned: Assigned) -> Task:
    """Return the task with the context of its move, so that the peer's spans lie below it."""
    if assigned.span is None:
        return assigned.task
    return replace(assigned.task, traceparent=str(assigned.span.context))
