"""Links to the other daemons, membership, and handling of the peers' messages."""

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
from fireflybridge_daemon._pools import PoolRunner
from fireflybridge_daemon._quota_exchange import QuotaExchange
from fireflybridge_daemon._replies import Replies
from fireflybridge_daemon._tables_exchange import TablesExchange
from fireflybridge_daemon._task_mover import ServingPeer, TaskMover
from fireflybridge_membership import (
    Applied,
    DaemonReport,
    DaemonState,
    MemberKind,
    MemberRecord,
    Membership,
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

TICK_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class Handlers:
    """Parts of the daemon that handle messages from peers."""

    claims: Claims
    forwarding: Forwarding
    mover: TaskMover
    replies: Replies
    submissions: LocalAnswers


class Peering:
    """Manage the links to the other daemons and this daemon's membership."""

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
        self._tables_exchange = TablesExchange(configuration, self.send, clock)
        self._quota_exchange = QuotaExchange(settings.name, configuration, clock)
        self._reported_duplicate = ""
        self.address = ""
        self._heartbeats: dict[str, Heartbeat] = {}
        self._live: frozenset[str] = frozenset()
        self._connected: frozenset[str] = frozenset()
        self._applied_hosts: tuple[Host, ...] | None = None
        self._pools: tuple[Pool, ...] = ()
        self._resources: tuple[Resource, ...] = ()
        self._applied: tuple[frozenset[tuple[str, str]], frozenset[str]] | None = None
        self._handlers: Handlers | None = None
        callbacks = LinkCallbacks(
            handle=self._handle,
            build_heartbeat=self._build_heartbeat,
            lost=self._handle_lost,
            stalled=self._handle_stalled,
            report=self._log_fault,
        )
        self._links = PeerLinks(settings, callbacks)

    @property
    def state(self) -> DaemonState:
        """Return the state announced in heartbeats."""
        return self._membership.state

    @property
    def is_yielding(self) -> bool:
        """Return whether this daemon yields to another one with the same name."""
        return self._membership.is_yielding(self._clock())

    async def run(self, handlers: Handlers, *, task_status: anyio.abc.TaskStatus[str]) -> None:
        """Run the links until cancelled; report the listening address when started."""
        self._handlers = handlers
        await self._links.run(task_status=task_status)

    async def poll_hosts(self, hosts: HostList, interval_s: float) -> None:
        """Read the platform's host list at an interval, until cancelled."""
        while True:
            match await hosts.list_hosts():
                case Ok(listed):
                    self._apply_hosts(listed)
                case Err(error):
                    log_event(Event.HOST_LIST_FAILED, error=str(error))
            await anyio.sleep(interval_s)

    async def run_ticks(self) -> None:
        """Update ownership for lost peers and newly usable resources, until cancelled."""
        while True:
            await anyio.sleep(TICK_INTERVAL_S)
            self._membership.tick(self._clock())
            self._detect_silent_peers()
            self.update_ownership()
            self._quota_exchange.refresh_if_due(self._clock(), self.list_peers())

    def _detect_silent_peers(self) -> None:
        live = frozenset(daemon.name for daemon in self._membership.list_live(self._clock()))
        for peer in sorted(self._live - live):
            log_event(Event.PEER_SILENT, peer=peer)
            if self._handlers is not None:
                self._handlers.forwarding.end_requests_to(peer)
        if self._live - live:
            # Links to live peers that the list lacks were kept, so the list must be applied again.
            self._applied_hosts = None
        self._live = live

    def update_ownership(self) -> None:
        """Serve exactly the upstreams that this daemon owns now.

        This is called several times a second, so resources are built only when the tables change,
        and pools are updated only when the owned or leaving upstreams change.
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
            self._applied = None
            self._membership.set_upstreams(self._resources, now)
        owned = frozenset((r.name, r.address) for r in self._membership.list_upstreams(now))
        leaving = self._membership.view(now).leaving_upstreams
        if self._applied == (owned, leaving):
            return
        self._applied = (owned, leaving)
        for runner in runners:
            remaining = [
                upstream
                for upstream in runner.pool.upstreams
                if leaving.isdisjoint((upstream.name, upstream.address))
            ]
            served = [u for u in remaining if (u.name, u.address) in owned]
            runner.set_owned_upstreams(served, sum(upstream.slots for upstream in remaining))
        # Peers assign tasks only to slots that they know of, and heartbeats are up to 1.4 s apart.
        self._links.announce()

    def drain(self) -> None:
        """Release every upstream and claim shard to the other daemons."""
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
            (
                name
                for name, heartbeat in self._list_heartbeats()
                if heartbeat.incarnation == incarnation
            ),
            None,
        )

    def list_peers(self) -> Iterable[str]:
        """Return the names of the live peers."""
        return tuple(name for name, _ in self._list_heartbeats())

    def find_serving_peers(self, pool: str, limit: int) -> tuple[ServingPeer, ...]:
        """Return ready peers that serve a pool, those with the most free slots first."""
        serving_peers = (
            ServingPeer(name, load.free_slots)
            for name, heartbeat in self._list_heartbeats()
            for load in heartbeat.pools
            if load.pool == pool and heartbeat.state is PeerState.READY
        )
        return tuple(sorted(serving_peers, key=lambda peer: -peer.free_slots)[:limit])

    def is_needed_by_peers(self, pool: str) -> bool:
        """Return whether a live peer has, or may still accept, tasks of a pool.

        A peer with another revision of the tables in force may still accept tasks of the pool.
        """
        revision = self._configuration.state.revision_id
        return any(
            heartbeat.tables_revision != revision
            or any(load.pool == pool and load.queued for load in heartbeat.pools)
            for _, heartbeat in self._list_heartbeats()
        )

    def find_runner(self, pool: str) -> PoolRunner | None:
        """Return the runner of a pool."""
        return self._configuration.find_runner(pool)

    def describe_peers(self) -> list[dict[str, object]]:
        """Return the live peers as JSON data."""
        return [
            {
                "name": name,
                "incarnation": heartbeat.incarnation,
                "failure_domain": heartbeat.failure_domain,
                "state": str(heartbeat.state),
                "tables_revision": heartbeat.tables_revision,
            }
            for name, heartbeat in self._list_heartbeats()
        ]

    def _list_heartbeats(self) -> list[tuple[str, Heartbeat]]:
        live = self._membership.list_live(self._clock())
        return [(d.name, self._heartbeats[d.name]) for d in live if d.name in self._heartbeats]

    def _apply_hosts(self, hosts: tuple[Host, ...]) -> None:
        if hosts is self._applied_hosts:
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
        self._applied_hosts = hosts
        peers = {peer.name: peer for peer in self._membership.list_peers(self.address)}
        for name in self._connected - peers.keys():
            self._links.disconnect(name)
        for peer in peers.values():
            self._links.connect(peer.name, peer.address, remote=peer.remote)
        self._connected = frozenset(peers)
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
            quotas=self._quota_exchange.build_report(peer),
        )

    async def _handle(self, peer: str, incarnation: str, message: Message) -> None:
        """Dispatch a message to its handler; handlers that wait run in a new task."""
        self._metrics.peer_messages.labels("in", type(message).__name__).inc()
        handlers = self._handlers
        if handlers is None:
            return
        match message:
            case Heartbeat():
                self._handle_heartbeat(peer, message, handlers)
            case Backlog(pool=pool, count=count):
                handlers.mover.record_backlog(peer, pool, count)
            case Pull():
                handlers.mover.answer_pull(peer, message)
            case Assign():
                handlers.mover.accept(peer, message)
            case Results():
                handlers.mover.receive_results(peer, message)
            case Returned():
                handlers.mover.receive_returned(peer, message)
            case Cancel(keys=keys):
                handlers.mover.cancel_accepted(peer, keys)
                handlers.submissions.cancel_local(keys)
            case ClaimRequest():
                self._group.start_soon(handlers.claims.serve, peer, message)
            case ClaimReply():
                handlers.claims.receive(peer, message)
            case Fetch():
                self._group.start_soon(
                    handlers.forwarding.serve, peer, message, handlers.submissions
                )
            case Answer():
                handlers.forwarding.receive(message)
            case TablesHave():
                answer = self._configuration.answer_peer(message)
                if answer is not None:
                    self.send(peer, answer)
            case TablesSend():
                self._configuration.adopt(message)

    def _handle_name_conflict(self, heartbeat: Heartbeat) -> None:
        """Log that another daemon has this name; release everything if this daemon must yield."""
        if heartbeat.incarnation == self._incarnation:
            return
        state = DaemonState(heartbeat.state.value)
        other = DaemonReport(heartbeat.name, heartbeat.incarnation, heartbeat.failure_domain, state)
        yields = self._membership.resolve_name_conflict(self._incarnation, other, self._clock())
        if heartbeat.incarnation != self._reported_duplicate:
            log_event(
                Event.NAME_TAKEN,
                setting="--name",
                value=self._name,
                incarnation=heartbeat.incarnation,
                yields=yields,
            )
        self._reported_duplicate = heartbeat.incarnation
        self.update_ownership()

    def _handle_heartbeat(self, peer: str, heartbeat: Heartbeat, handlers: Handlers) -> None:
        if peer == self._name:
            self._handle_name_conflict(heartbeat)
            return
        known = self._heartbeats.get(peer)
        if known is None or known.incarnation != heartbeat.incarnation:
            log_event(Event.PEER_FOUND, peer=peer, incarnation=heartbeat.incarnation)
        self._heartbeats[peer] = heartbeat
        report = DaemonReport(
            peer,
            heartbeat.incarnation,
            heartbeat.failure_domain,
            DaemonState(heartbeat.state.value),
        )
        self._membership.record_heartbeat(report, self._clock())
        self._quota_exchange.receive(peer, heartbeat.tables_revision, heartbeat.quotas)
        handlers.replies.send_held(peer)
        for load in heartbeat.pools:
            handlers.mover.record_backlog(peer, load.pool, load.queued)
        self._tables_exchange.handle_heartbeat(peer, heartbeat)

    def _handle_lost(self, lost: Lost) -> None:
        self._metrics.peers_lost.inc()
        log_event(Event.PEER_LOST, peer=lost.peer, incarnation=lost.incarnation)
        if self._handlers is not None:
            self._handlers.replies.drop_peer(lost.peer)
            self._handlers.mover.drop_peer(lost)
            self._handlers.forwarding.drop_peer(lost)

    def _handle_stalled(self, stalled: Stalled) -> None:
        log_event(Event.PEER_STALLED, peer=stalled.peer)
        if self._handlers is not None:
            self._handlers.replies.hold_unsent(stalled.peer, stalled.unsent)
            self._handlers.mover.withdraw_unsent(stalled.peer, stalled.unsent)

    def _log_fault(self, error: StepError) -> None:
        log_event(Event.PEER_MESSAGE_REJECTED, error=str(error))
