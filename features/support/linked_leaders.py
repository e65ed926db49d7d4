"""Leaders of different failure domains that ask each other over loopback connections."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import anyio
from anyio.abc import TaskGroup, TaskStatus
from behave.runner import Context

from fireflybridge_clearances import JobClearances
from fireflybridge_entry import LeaderLinks, Peer, PeerService
from fireflybridge_execution import ExecutionEvent, JobDeferred, Scheduler, TasksPlaced
from fireflybridge_http import Request, Response, Server, ServerLimits
from fireflybridge_leadership import Holder, Leadership, Term
from support.leased_upstreams import find_overlaps, list_spans
from support.shared_leaders import Leader
from support.upstreams import wait_until

UNUSED_ADDRESS = "127.0.0.1:9"
RESUBMISSION_DELAY_S = 1.3
FIRST = 1000  # fencing token of the first terms


class LinkedLeader(Leader):
    """A leader with a view of the terms of its own, at an address where others ask it."""

    def __init__(self, context: Context, name: str) -> None:
        super().__init__(context, name)
        self.holder = Holder(name, "1", UNUSED_ADDRESS)
        self.leadership = Leadership(None, lambda _error: None)  # type: ignore[arg-type]
        self.placed: list[str] = []
        """The jobs of which it has placed tasks."""
        self.deferred: list[str] = []
        """The jobs that it has left to another leader."""
        self.hold_requests = anyio.Event()
        """Requests of other leaders are handled once it is set."""
        self.hold_requests.set()
        self.requests = 0
        self._process = anyio.CancelScope()

    async def serve(self, *, task_status: TaskStatus[None]) -> None:
        """Serve until cancelled or killed."""
        server = Server("127.0.0.1:0", self._handle, ServerLimits())
        with self._process:
            async with anyio.create_task_group() as group:
                address = await group.start(server.serve, group)
                self._compose(replace(self.holder, address=address))
                group.start_soon(self.scheduler.serve)
                group.start_soon(self._links.run)
                task_status.started()

    def kill(self) -> None:
        """End the process, whose runs go on until their lease has ended."""
        self._process.cancel()

    def _compose(self, holder: Holder) -> None:
        self.holder = holder
        clearances = JobClearances(
            holder, lambda: self.leadership.terms.values(), RESUBMISSION_DELAY_S
        )
        self.scheduler = Scheduler(
            self.network, self._record, lambda: None, self.pauses, None, clearances
        )
        peer = Peer(holder, "z1", 1.0)
        self._service = PeerService(peer, self.scheduler, self.leadership, self.pauses)
        self._links = LeaderLinks(holder, self.leadership, self.scheduler, clearances)

    async def _handle(self, request: Request) -> Response:
        self.requests += 1
        await self.hold_requests.wait()
        return await self._service.handle(request)

    def _record(self, event: ExecutionEvent) -> None:
        match event:
            case TasksPlaced(job=job):
                self.placed.append(job)
            case JobDeferred(job=job):
                self.deferred.append(job)
            case _:
                pass

    def learn(self, *terms: Term) -> None:
        """Learn of terms, and lead the failure domains of those that this leader holds."""
        self.leadership.add_terms(terms)
        led = self.leadership.find_terms_held_by(self.holder)
        self.scheduler.lead({term.domain: term.fence for term in led})

    def begin_terms(self, fence: int, *domains: str) -> tuple[Term, ...]:
        """Lead failure domains under a fencing token, and return the terms."""
        terms = tuple(Term(domain, self.holder, fence) for domain in domains)
        self.learn(*terms)
        return terms


@asynccontextmanager
async def run_linked_leaders(
    context: Context,
) -> AsyncIterator[tuple[LinkedLeader, LinkedLeader, TaskGroup]]:
    """Run two leaders that lead nothing yet."""
    first, second = LinkedLeader(context, "first"), LinkedLeader(context, "second")
    async with anyio.create_task_group() as group:
        await group.start(first.serve)
        await group.start(second.serve)
        yield first, second, group
        context.overlaps = find_overlaps(context.upstreams.values())
        context.spans = list_spans(tuple(context.upstreams.values()))
        group.cancel_scope.cancel()


def run_linked(
    context: Context,
    play: Callable[[LinkedLeader, LinkedLeader, TaskGroup], Awaitable[None]],
) -> None:
    """Run a play of two leaders that ask each other."""

    async def run() -> None:
        async with run_linked_leaders(context) as (first, second, group):
            await play(first, second, group)

    anyio.run(run)


async def begin(context: Context, first: LinkedLeader, second: LinkedLeader) -> None:
    """Let each leader lead one failure domain, know the other and list its upstream."""
    terms = (*first.begin_terms(FIRST, "z1"), *second.begin_terms(FIRST, "z2"))
    for leader, upstream in ((first, "u0"), (second, "u1")):
        leader.learn(*terms)
        leader.see(context.infos, *context.infos)
        await wait_until(lambda leader=leader, upstream=upstream: leader.has_listed == {upstream})


def delay_replies(leader: LinkedLeader, delay: Any) -> None:
    """Let a leader handle each question at once and send the reply after a delay."""
    handle = leader._service.handle

    async def handle_late(request: Request) -> Response:
        response = await handle(request)
        await delay()
        return response

    leader._service.handle = handle_late  # type: ignore[method-assign]
