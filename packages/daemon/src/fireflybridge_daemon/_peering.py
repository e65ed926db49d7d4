"""Other daemons: links, membership, and the messages that arrive from them."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup
from result import Err, Ok, Result

from fireflybridge_core import StepError
from fireflybridge_daemon._claiming import Claims
from fireflybridge_daemon._configuration import Configuration
from fireflybridge_daemon._forwarding import Forwarding, LocalAnswers
from fireflybridge_daemon._limits import SharedLimits
from fireflybridge_daemon._mover import Helper, Mover
from fireflybridge_daemon._pools import PoolRunner
from fireflybridge_daemon._replies import Replies
from fireflybridge_daemon._tables_exchange import TablesExchange
from fireflybridge_membership import (
    Applied,
    DaemonState,
    MemberKind,
    MemberRecord,
    Membership,
    PeerReport,
    Resource,
)
from fireflybridge_peers import (
    Answer,
    Assign,
    Backlog,
    Cancel,
    ClaimReply,
    ClaimRequest,
    Fetch,
    Heartbeat,
    LinkCallbacks,
    LinkSettings,
    Lost,
    Message,
    PeerLinks,
    PeerState,
    PoolLoad,
    Pull,
    Results,
    Returned,
    SendFailure,
    Stalled,
    TablesHave,
    TablesSend,
)
from fireflybridge_platform import Host, HostList, HostRole, HostState
from fireflybridge_tables import Pool
from fireflybridge_telemetry import Event, Metrics, log_event

TICK_S = 0.25


@dataclass(frozen=True, slots=True)
class Handlers:
    """Name the parts that handle messages from peers."""

    claims: Claims
    forwarding: Forwarding
    mover: Mover
    replies: Replies
    submissions: LocalAnswers


class Peering:
    """Own the links to the other daemons and this daemon's view of who is live."""

    def __init__(
        self,
        settings: LinkSettings,
        failure_domain: str,
        configuration: Configuration,
        group: TaskGroup,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._name = settings.name
        self._incarnation = settings.incarnation
        self._failure_domain = failure_domain
        self._configuration = configuration
        self._group = group
        self._metrics = metrics
        self._clock = clock
        self._membership = Membership(settings.name, failure_domain, clock())
        self._tables = TablesExchange(configuration, self.send, clock)
        self._limits = SharedLimits(settings.name, configuration, clock)
        self._namesake = ""
        self.address = ""
        self._beats: dict[str, Heartbeat] = {}
        self._live: frozenset[str] = frozenset()
        self._connected: frozenset[str] = frozenset()
        self._listed: tuple[Host, ...] | None = None
        self._pools: tuple[Pool, ...] = ()
        self._resources: tuple[Resource, ...] = ()
        self._served: tuple[frozenset[tuple[str, str]], frozenset[str]] | None = None
        self._handlers: Handlers | None = None
        callbacks = LinkCallbacks(
            handle=self._handle,
            build_heartbeat=self._build_heartbeat,
            lost=self._drop_peer,
            stalled=self._note_stalled,
            report=self._report_fault,
        )
        self._links = PeerLinks(settings, callbacks)

    @property
    def state(self) -> DaemonState:
        """Return the state that heartbeats announce."""
        return self._membership.state

    @property
    def yields(self) -> bool:
        """Tell whether this daemon gives way to another one of its name."""
        return self._membership.yields(self._clock())

    async def run(self, handlers: Handlers, *, task_status: anyio.abc.TaskStatus[str]) -> None:
        """Serve the links until cancelled; report the listening address."""
        self._handlers = handlers
        await self._links.run(task_status=task_status)

    async def follow_hosts(self, hosts: HostList, interval_s: float) -> None:
        """Read the platform's host list at an interval, for ever."""
        while True:
            match await hosts.list_hosts():
                case Ok(listed):
                    self._apply_hosts(listed)
                case Err(error):
                    log_event(Event.HOST_LIST_FAILED, error=str(error))
            await anyio.sleep(interval_s)

    async def follow_time(self) -> None:
        """Update ownership as peers are lost and tenures begin, for ever."""
        while True:
            await anyio.sleep(TICK_S)
            self._membership.tick(self._clock())
            self._note_silent()
            self.update_ownership()
            self._limits.refresh_if_due(self._clock(), self.list_peers())

    def _note_silent(self) -> None:
        live = frozenset(daemon.name for daemon in self._membership.list_live(self._clock()))
        for peer in sorted(self._live - live):
            log_event(Event.PEER_SILENT, peer=peer)
            if self._handlers is not None:
                self._handlers.forwarding.drop_silent(peer)
        if self._live - live:
            # A link to a peer that left the list is kept while it is heard: look at it again.
            self._listed = None
        self._live = live

    def update_ownership(self) -> None:
        """Serve exactly the upstreams that this daemon owns now.

        Called several times a second: what depends only on the tables is made once a revision, and
        the pools are left alone while nothing has changed.
        """
        now = self._clock()
        runners = self._configuration.runners
        pools = tuple(runner.pool for runner in runners)
        if pools != self._pools:
            self._pools = pools
            self._resources = tuple(
                Resource(upstream.name, upstream.failure_domain, upstream.address)
                for pool in pools
                for upstream in pool.upstreams
            )
            self._served = None
            self._membership.set_upstreams(self._resources, now)
        owned = frozenset((r.name, r.address) for r in self._membership.list_upstreams(now))
        leaving = self._membership.view(now).leaving_upstreams
        if self._served == (owned, leaving):
            return
        self._served = (owned, leaving)
        for runner in runners:
            staying = [
                upstream
                for upstream in runner.pool.upstreams
                if leaving.isdisjoint((upstream.name, upstream.address))
            ]
            mine = [u for u in staying if (u.name, u.address) in owned]
            runner.own(mine, sum(upstream.slots for upstream in staying))
        # Peers hand tasks only to slots that they know of, and heartbeats are up to 1.4 s apart.
        self._links.announce()

    def drain(self) -> None:
        """Give up every upstream and shard to the other daemons."""
        self._membership.drain(self._clock())
        self.update_ownership()

    def send(self, peer: str, message: Message) -> Result[None, SendFailure]:
        """Queue a message to a peer."""
        self._metrics.peer_messages.labels("out", type(message).__name__).inc()
        return self._links.send(peer, message)

    def find_registrar(self, shard: int) -> str:
        """Return the name of the daemon that owns the shard; empty for this daemon."""
        owner = self._membership.find_registrar(shard, self._clock())
        return "" if owner is None or owner == self._name else owner

    def find_peer(self, incarnation: str) -> str | None:
        """Return the name of the live peer that runs as this incarnation."""
        return next(
            (name for name, beat in self._list_beats() if beat.incarnation == incarnation), None
        )

    def list_peers(self) -> Iterable[str]:
        """Return the names of the peers that are heard."""
        return tuple(name for name, _ in self._list_beats())

    def find_helpers(self, pool: str, limit: int) -> tuple[Helper, ...]:
        """Return ready peers that serve a pool, those with the most free slots first."""
        helpers = (
            Helper(name, load.free_slots)
            for name, beat in self._list_beats()
            for load in beat.pools
            if load.pool == pool and beat.state is PeerState.READY
        )
        return tuple(sorted(helpers, key=lambda helper: -helper.free_slots)[:limit])

    def is_awaited(self, pool: str) -> bool:
        """Tell whether a heard peer has tasks of a pool queued.

        A peer with other tables in force may still accept some.
        """
        revision = self._configuration.state.revision_id
        return any(
            beat.tables_revision != revision
            or any(load.pool == pool and load.queued for load in beat.pools)
            for _, beat in self._list_beats()
        )

    def find_runner(self, pool: str) -> PoolRunner | None:
        """Return the runner of a pool."""
        return self._configuration.find_runner(pool)

    def describe_peers(self) -> list[dict[str, object]]:
        """Return each heard peer as JSON data."""
        return [
            {
                "name": name,
                "incarnation": beat.incarnation,
                "failure_domain": beat.failure_domain,
                "state": str(beat.state),
                "tables_revision": beat.tables_revision,
            }
            for name, beat in self._list_beats()
        ]

    def _list_beats(self) -> list[tuple[str, Heartbeat]]:
        live = self._membership.list_live(self._clock())
        return [(d.name, self._beats[d.name]) for d in live if d.name in self._beats]

    def _apply_hosts(self, hosts: tuple[Host, ...]) -> None:
        if hosts is self._listed:
            return
        records = tuple(
            MemberRecord(
                name=host.name,
                kind=MemberKind.DAEMON if host.role is HostRole.ENTRY else MemberKind.UPSTREAM,
                leaving=host.state is HostState.LEAVING,
                failure_domain=host.failure_domain,
                address=host.address,
            )
            for host in hosts
        )
        verdict = self._membership.apply_list(records, self._clock())
        if not isinstance(verdict, Applied):
            log_event(Event.HOST_LIST_IGNORED, verdict=repr(verdict))
            return
        self._listed = hosts
        wanted = {peer.name: peer for peer in self._membership.list_peers(self.address)}
        for name in self._connected - wanted.keys():
            self._links.disconnect(name)
        for peer in wanted.values():
            self._links.connect(peer.name, peer.address, remote=peer.remote)
        self._connected = frozenset(wanted)
        self.update_ownership()

    def _build_heartbeat(self, peer: str) -> Heartbeat:
        return Heartbeat(
            name=self._name,
            incarnation=self._incarnation,
            failure_domain=self._failure_domain,
            state=PeerState(self._membership.state.value),
            tables_revision=self._configuration.state.revision_id,
            log_reachable=self._configuration.log_reachable,
            pools=tuple(
                PoolLoad(runner.pool.name, runner.queue.movable, runner.free)
                for runner in self._configuration.runners
                if runner.owned or runner.queue.queued
            ),
            quotas=self._limits.describe(peer),
        )

    async def _handle(self, peer: str, incarnation: str, message: Message) -> None:
        """Hand a message to its part; parts that wait get a task of their own."""
        self._metrics.peer_messages.labels("in", type(message).__name__).inc()
        parts = self._handlers
        if parts is None:
            return
        match message:
            case Heartbeat():
                self._hear(peer, message, parts)
            case Backlog(pool=pool, count=count):
                parts.mover.note_backlog(peer, pool, count)
            case Pull():
                parts.mover.answer_pull(peer, message)
            case Assign():
                parts.mover.accept(peer, message)
            case Results():
                parts.mover.receive_results(peer, message)
            case Returned():
                parts.mover.receive_returned(peer, message)
            case Cancel(keys=keys):
                parts.mover.cancel_accepted(peer, keys)
                parts.submissions.cancel_local(keys)
            case ClaimRequest():
                self._group.start_soon(parts.claims.serve, peer, message)
            case ClaimReply():
                parts.claims.receive(peer, message)
            case Fetch():
                self._group.start_soon(parts.forwarding.serve, peer, message, parts.submissions)
            case Answer():
                parts.forwarding.receive(message)
            case TablesHave():
                answer = self._configuration.answer_peer(message)
                if answer is not None:
                    self.send(peer, answer)
            case TablesSend():
                self._configuration.adopt(message)

    def _hear_namesake(self, beat: Heartbeat) -> None:
        """Report a second daemon of this name, and give everything up if this is the one to."""
        if beat.incarnation == self._incarnation:
            return
        state = DaemonState(beat.state.value)
        other = PeerReport(beat.name, beat.incarnation, beat.failure_domain, state)
        yields = self._membership.hear_namesake(self._incarnation, other, self._clock())
        if beat.incarnation != self._namesake:
            log_event(
                Event.NAME_TAKEN,
                setting="--name",
                value=self._name,
                incarnation=beat.incarnation,
                yields=yields,
            )
        self._namesake = beat.incarnation
        self.update_ownership()

    def _hear(self, peer: str, beat: Heartbeat, parts: Handlers) -> None:
        if peer == self._name:
            self._hear_namesake(beat)
            return
        known = self._beats.get(peer)
        if known is None or known.incarnation != beat.incarnation:
            log_event(Event.PEER_FOUND, peer=peer, incarnation=beat.incarnation)
        self._beats[peer] = beat
        report = PeerReport(
            peer, beat.incarnation, beat.failure_domain, DaemonState(beat.state.value)
        )
        self._membership.hear(report, self._clock())
        self._limits.hear(peer, beat.tables_revision, beat.quotas)
        parts.replies.send_held(peer)
        for load in beat.pools:
            parts.mover.note_backlog(peer, load.pool, load.queued)
        self._tables.hear(peer, beat)

    def _drop_peer(self, lost: Lost) -> None:
        self._metrics.peers_lost.inc()
        log_event(Event.PEER_LOST, peer=lost.peer, incarnation=lost.incarnation)
        if self._handlers is not None:
            self._handlers.replies.drop_peer(lost.peer)
            self._handlers.mover.drop_peer(lost)
            self._handlers.forwarding.drop_peer(lost)

    def _note_stalled(self, stalled: Stalled) -> None:
        log_event(Event.PEER_STALLED, peer=stalled.peer)
        if self._handlers is not None:
            self._handlers.replies.give_back(stalled.peer, stalled.unsent)
            self._handlers.mover.give_back(stalled.peer, stalled.unsent)

    def _report_fault(self, error: StepError) -> None:
        log_event(Event.PEER_MESSAGE_REJECTED, error=str(error))
