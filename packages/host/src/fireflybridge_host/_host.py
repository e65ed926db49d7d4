"""The parts of a host, wired together, and its life from start to drain."""

import signal
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from fireflybridge_entry import (
    Configuration,
    ConfigurationSource,
    JobSubmitter,
    LeaderLink,
    Limits,
    Peer,
    PeerService,
    RouteTable,
)
from fireflybridge_execution import CommandConnector, DirectorySource, Scheduler, UpstreamDirectory
from fireflybridge_host._campaign import Campaign
from fireflybridge_host._journal import Journal
from fireflybridge_host._logs import configure_logs
from fireflybridge_host._metrics import MetricsService
from fireflybridge_host._settings import HostSettings
from fireflybridge_http import Request, Response, Server, ServerLimits
from fireflybridge_jobs import Answer
from fireflybridge_leadership import Holder, Leadership, TermStore

UNREADY_LISTEN_S = 1.0  # the balancer takes as long to notice that the host isn't ready
DRAIN_CHECK_S = 0.05
PEER_BODY_BYTES = 8 * 1024 * 1024  # a job of the largest body, encoded for another host


class CallersFront(Protocol):
    """Translate callers' requests."""

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        ...


RecordRequest = Callable[[str, str, Answer, float], None]
FrontFactory = Callable[[RouteTable, JobSubmitter, RecordRequest], CallersFront]


@dataclass(frozen=True, slots=True)
class PlatformPorts:
    """Hold what the platform's adapter provides."""

    terms: TermStore
    configuration: ConfigurationSource
    directory: DirectorySource
    orders: CommandConnector
    make_front: FrontFactory
    ready_path: str


async def run_host(settings: HostSettings, ports: PlatformPorts) -> None:
    """Run a host until SIGTERM and the end of its drain."""
    output = configure_logs(settings.log_lines_per_s, host=settings.name)
    host = _Host(settings, ports, lambda: output.dropped)
    await host.run()


class _Host:
    """Own the parts of one host."""

    def __init__(
        self, settings: HostSettings, ports: PlatformPorts, count_dropped: Callable[[], int]
    ) -> None:
        self._settings = settings
        self._ports = ports
        self._journal = Journal()
        holder = Holder(settings.name, uuid.uuid4().hex[:12], settings.peer_address)
        peer = Peer(holder, settings.failure_domain, settings.strength)
        self._leadership = Leadership(ports.terms, self._journal.record_store_error)
        self._routes = RouteTable()
        self._scheduler = Scheduler(
            ports.orders,
            self._journal.record_execution,
            self._leadership.changed.notify,
        )
        self._directory = UpstreamDirectory(
            ports.directory, self._scheduler.set_upstreams, self._journal.record_store_error
        )
        self._submitter = JobSubmitter(settings.name, self._scheduler)
        self._peers = PeerService(peer, self._scheduler, self._leadership)
        self._campaign = Campaign(
            settings,
            holder,
            self._leadership,
            LeaderLink(self._leadership, peer),
            self._submitter,
            self._scheduler,
            self._directory,
            self._peers,
            self._journal,
        )
        front = ports.make_front(self._routes, self._submitter, self._journal.record_request)
        self._callers = Server(settings.callers_address, front.handle, _convert(Limits()))
        metrics = MetricsService(self._journal.tallies, count_dropped)
        self._servers = (
            self._callers,
            Server(settings.ready_address, self._answer_ready, ServerLimits()),
            Server(
                settings.peer_address,
                self._peers.handle,
                ServerLimits(max_body_bytes=PEER_BODY_BYTES),
            ),
            Server(settings.metrics_address, metrics.handle, ServerLimits()),
        )
        self._draining = False

    async def run(self) -> None:
        """Start every part and stop them once drained."""
        self._journal.record_lifecycle(
            7001, "host started", failure_domain=self._settings.failure_domain
        )
        async with anyio.create_task_group() as group:
            for server in self._servers:
                group.start_soon(server.serve, group)
            group.start_soon(self._leadership.follow)
            group.start_soon(self._scheduler.serve)
            group.start_soon(self._directory.follow)
            group.start_soon(self._follow_configuration)
            group.start_soon(self._peers.watch_senders)
            group.start_soon(self._campaign.run, group)
            await self._wait_for_signals(group)
        self._journal.record_lifecycle(7004, "host stopped")

    async def _follow_configuration(self) -> None:
        await self._routes.follow(
            self._ports.configuration, self._apply, self._journal.record_store_error
        )

    def _apply(self, configuration: Configuration, waited_s: float) -> None:
        self._callers.limits = _convert(configuration.limits)
        self._journal.record_configuration(configuration, waited_s)

    async def _answer_ready(self, request: Request) -> Response:
        if request.path != self._ports.ready_path:
            return Response(404)
        ready = (
            not self._draining
            and self._routes.configuration is not None
            and self._submitter.has_leader
            and (self._scheduler.has_synced_upstream or not self._campaign.leads)
        )
        return Response(200 if ready else 503)

    async def _wait_for_signals(self, group: TaskGroup) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    # The settings name addresses and bounds, which hold until the next start.
                    self._journal.record_lifecycle(7002, "settings changed", in_force=False)
                else:
                    await self._drain()
                    group.cancel_scope.cancel()
                    return

    async def _drain(self) -> None:
        """Hand leadership over, finish the requests under way and stop listening."""
        started_s = time.monotonic()
        self._draining = True
        self._journal.record_lifecycle(7003, "drain started", requests=self._callers.active)
        self._callers.start_draining()
        await self._campaign.hand_over()
        await anyio.sleep(UNREADY_LISTEN_S)
        self._callers.stop_listening()
        limit_s = started_s + self._settings.drain_s
        while self._is_busy() and time.monotonic() < limit_s:
            await anyio.sleep(DRAIN_CHECK_S)

    def _is_busy(self) -> bool:
        return bool(self._callers.active or self._scheduler.job_count)


def _convert(limits: Limits) -> ServerLimits:
    return ServerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_s,
        limits.idle_timeout_s,
    )
