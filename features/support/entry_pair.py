"""A leader and an entry host that follows it, over loopback connections through a relay."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest import mock

import anyio
from anyio.abc import TaskGroup

from fireflybridge_entry import (
    JobSubmitter,
    LeaderContacts,
    LeaderMonitor,
    Peer,
    PeerService,
    RemoteLeader,
    SentSubmission,
)
from fireflybridge_execution import ExecutionEvent, Scheduler, TasksPlaced
from fireflybridge_http import Server, ServerLimits
from fireflybridge_jobs import Answer, Job
from fireflybridge_leadership import Holder, Leadership, Term
from fireflybridge_pauses import PauseMonitor
from support.leased_upstreams import LeasedNetwork, LeasedUpstream
from support.relay import Relay
from support.upstreams import describe_upstreams, read_once, wait_until

DOMAIN = "z1"
FENCE = 1000


class LeadingHost:
    """A leader of one in-memory upstream that other hosts reach through a relay."""

    def __init__(self, address: str) -> None:
        self.holder = Holder("h1", "leader-1", address)
        self.events: list[ExecutionEvent] = []
        self.upstream = LeasedUpstream("u0")
        pauses = PauseMonitor()
        network = LeasedNetwork("h1", {"u0": self.upstream})
        self.scheduler = Scheduler(network, self.events.append, lambda: None, pauses)
        peer = Peer(self.holder, DOMAIN, 1.0)
        self.service = PeerService(peer, self.scheduler, make_leadership(self.holder), pauses)

    @property
    def placed(self) -> list[TasksPlaced]:
        """Return the placements of tasks so far."""
        return [event for event in self.events if isinstance(event, TasksPlaced)]

    async def begin(self, group: TaskGroup) -> str:
        """Begin to lead; return the address that it listens on."""
        server = Server("127.0.0.1:0", self.service.handle, ServerLimits())
        address: str = await group.start(server.serve, group)
        group.start_soon(self.scheduler.serve)
        group.start_soon(self.service.watch_senders)
        self.scheduler.lead({DOMAIN: FENCE})
        self.scheduler.set_upstreams(read_once(describe_upstreams(1)))
        await wait_until(lambda: self.scheduler.can_start_tasks)
        return address


class EntryHost:
    """An entry host that follows a leader until it loses it."""

    def __init__(self, leader: Holder) -> None:
        self.answers: list[Answer] = []
        self.sent: list[SentSubmission] = []
        self._callers: list[anyio.CancelScope] = []
        self.has_lost_leader = False
        self._leadership = make_leadership(leader)
        self._leader = RemoteLeader(leader.address, leader.incarnation, {DOMAIN: FENCE})
        peer = Peer(Holder("h2", "entry-1", "127.0.0.1:2"), DOMAIN, 1.0)
        self.contacts = LeaderContacts()
        self._monitor = LeaderMonitor(self._leadership, peer, contacts=self.contacts)
        self._submitter = JobSubmitter("h2", mock.Mock(), PauseMonitor(), "entry-1", self.contacts)

    async def follow(self) -> None:
        """Submit to the leader until it is lost, and to nobody after that.

        The end of its term is no loss, as in the product.
        """
        self._submitter.set_leader(self._leader)
        if await self._monitor.watch(self._leadership.terms[DOMAIN]) is not None:
            self.has_lost_leader = True
            self._submitter.set_leader(None)

    def drop_callers(self) -> None:
        """Let every caller leave."""
        for scope in self._callers:
            scope.cancel()

    async def submit(self, job: Job) -> None:
        """Submit a caller's job, and keep its answer."""
        with anyio.CancelScope() as scope:
            self._callers.append(scope)
            self.answers.append(await self._submitter.submit(job, 0.0, self.sent.append))


def make_leadership(holder: Holder) -> Leadership:
    """Return what a host knows that has read of one leader."""
    leadership = Leadership(mock.Mock(), lambda _error: None)
    leadership.add_terms((Term(DOMAIN, holder, FENCE),))
    return leadership


@asynccontextmanager
async def run_hosts() -> AsyncIterator[tuple[LeadingHost, EntryHost, Relay, TaskGroup]]:
    """Run a leader and an entry host whose heartbeats it has answered."""
    async with Relay().run() as relay, anyio.create_task_group() as group:
        leader = LeadingHost(relay.address)
        relay.lead_to(await leader.begin(group))
        entry = EntryHost(leader.holder)
        group.start_soon(entry.follow)
        await wait_until(lambda: relay.has_answered_heartbeats)
        yield leader, entry, relay, group
        group.cancel_scope.cancel()
