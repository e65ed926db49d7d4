"""Composition of a host's components, and its lifecycle from start to drain."""

import signal
import time
import uuid
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from fireflybridge_clearances import JobClearances
from fireflybridge_entry import (
    Configuration,
    ConfigurationSource,
    JobSubmitter,
    LeaderContacts,
    LeaderLinks,
    LeaderMonitor,
    Limits,
    Peer,
    PeerService,
    RouteTable,
    SentSubmission,
)
from fireflybridge_execution import CommandConnector, DirectorySource, Scheduler, UpstreamDirectory
from fireflybridge_host._election import LeaderElection
from fireflybridge_host._event_logger import EventLogger
from fireflybridge_host._former_leaders import FormerLeaders
from fireflybridge_host._logs import configure_logs
from fireflybridge_host._metrics import MetricsService
from fireflybridge_host._settings import HostSettings
from fireflybridge_http import Request, Response, Server, ServerLimits
from fireflybridge_jobs import Answer
from fireflybridge_leadership import Holder, Leadership, TermStore
from fireflybridge_pauses import PauseMonitor
from fireflybridge_placement import CrashHistory

UNREADY_LISTEN_S = 1.0  # the load balancer takes this long to notice that the host isn't ready
DRAIN_CHECK_INTERVAL_S = 0.05
RESTART_DELAY_S = 0.5  # keeps a task that fails at once from using up the processor
RETRANSMISSION_MARGIN_S = 1.0
MAX_PEER_BODY_BYTES = 8 * 1024 * 1024  # a job with the largest body, encoded for another host


class FrontEnd(Protocol):
    """Translate the requests of callers into jobs and the answers into responses."""

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        ...


RequestRecorder = Callable[[str, str, Answer, float, Iterable[SentSubmission]], None]
FrontEndFactory = Callable[[RouteTable, JobSubmitter, RequestRecorder], FrontEnd]


@dataclass(frozen=True, slots=True)
class PlatformPorts:
    """Hold the interfaces that the platform's adapter implements."""

    terms: TermStore
    configuration: ConfigurationSource
    directory: DirectorySource
    commands: CommandConnector
    make_front_end: FrontEndFactory
    ready_path: str


async def run_host(settings: HostSettings, ports: PlatformPorts) -> None:
    """Run a host until it has drained after SIGTERM or SIGINT."""
    output = configure_logs(settings.log_lines_per_s, host=settings.name)
    host = _Host(settings, ports, lambda: output.dropped)
    await host.run()


class _Host:
    """Own the components of one host."""

    def __init__(
        self, settings: HostSettings, ports: PlatformPorts, count_dropped: Callable[[], int]
    ) -> None:
        self._settings = settings
        self._ports = ports
        self._event_logger = EventLogger()
        holder = Holder(settings.name, uuid.uuid4().hex[:12], settings.peer_address)
        peer = Peer(holder, settings.failure_domain, settings.strength)
        self._leadership = Leadership(ports.terms, self._event_logger.record_store_error)
        self._route_table = RouteTable()
        self._pauses = PauseMonitor()
        crashes = CrashHistory()
        clearances = JobClearances(
            holder, lambda: self._leadership.terms.values(), settings.resubmission_delay_s
        )
        self._scheduler = Scheduler(
            ports.commands,
            self._event_logger.record_execution,
            self._leadership.changed.notify,
            self._pauses,
            crashes,
            clearances,
        )
        self._directory = UpstreamDirectory(
            ports.directory, self._scheduler.set_upstreams, self._event_logger.record_store_error
        )
        contacts = LeaderContacts()
        self._submitter = JobSubmitter(
            settings.name, self._scheduler, self._pauses, holder.incarnation, contacts
        )
        self._peer_service = PeerService(
            peer,
            self._scheduler,
            self._leadership,
            self._pauses,
            crashes,
            self._event_logger.record_late_submission,
        )
        monitor = LeaderMonitor(self._leadership, peer, crashes, contacts)
        links = LeaderLinks(holder, self._leadership, self._scheduler, clearances)
        former_leaders = FormerLeaders(holder, self._leadership, monitor)
        self._election = LeaderElection(
            settings,
            holder,
            self._leadership,
            monitor,
            self._submitter,
            self._scheduler,
            self._directory,
            self._peer_service,
            self._event_logger,
        )
        front_end = ports.make_front_end(
            self._route_table, self._submitter, self._event_logger.record_request
        )
        report = self._event_logger.record_unexpected_error
        self._caller_server = Server(
            settings.callers_address, front_end.handle, _make_server_limits(Limits()), report
        )
        self._peer_server = Server(
            settings.peer_address,
            self._peer_service.handle,
            ServerLimits(max_body_bytes=MAX_PEER_BODY_BYTES),
            report,
        )
        metrics = MetricsService(self._event_logger.counters, count_dropped)
        self._servers = (
            self._caller_server,
            Server(settings.ready_address, self._handle_readiness, ServerLimits(), report),
            self._peer_server,
            Server(settings.metrics_address, metrics.handle, ServerLimits(), report),
        )
        self._tasks: Mapping[str, Callable[[], Awaitable[None]]] = {
            "pauses of the process": self._watch_pauses,
            "log of terms": self._leadership.follow,
            "directory of upstreams": self._directory.follow,
            "configuration": self._follow_configuration,
            "heartbeats of senders": self._peer_service.watch_senders,
            "terms of leadership": self._election.apply_terms,
            "leader election": self._election.run,
            "other leaders": links.run,
            "former leaders": former_leaders.notify,
        }
        self._draining = False

    async def run(self) -> None:
        """Start every component and stop them once drained."""
        self._event_logger.record_lifecycle(
            7001, "host started", failure_domain=self._settings.failure_domain
        )
        async with anyio.create_task_group() as group:
            for server in self._servers:
                group.start_soon(server.serve, group)
            group.start_soon(self._scheduler.serve)
            for name, run in self._tasks.items():
                group.start_soon(self._run_task, name, run)
            await self._wait_for_signals(group)
        self._event_logger.record_lifecycle(7004, "host stopped")

    async def _run_task(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run a task until cancelled, and start it again after an unexpected error."""
        while True:
            try:
                await run()
            except Exception as error:
                self._event_logger.record_unexpected_error(name, error)
                await anyio.sleep(RESTART_DELAY_S)

    async def _watch_pauses(self) -> None:
        await self._pauses.watch(self._handle_pause)

    async def _handle_pause(self, paused_s: float) -> None:
        """Find out which connections may hold requests from before the end of a pause.

        What a network holds for a machine that didn't reply is sent again after less than the time
        that has passed since the first try.
        """
        self._event_logger.record_pause(paused_s)
        servers = (self._caller_server, self._peer_server)
        resumed_s = time.monotonic()
        for server in servers:
            await server.read_backlog()
        await anyio.sleep(paused_s + RETRANSMISSION_MARGIN_S)
        now_s = time.monotonic()
        if self._pauses.is_current(resumed_s):
            for server in servers:
                server.trust_idle_connections(now_s)

    async def _follow_configuration(self) -> None:
        await self._route_table.follow(
            self._ports.configuration,
            self._apply_configuration,
            self._event_logger.record_store_error,
        )

    def _apply_configuration(self, configuration: Configuration, waited_s: float) -> None:
        self._caller_server.limits = _make_server_limits(configuration.limits)
        self._event_logger.record_configuration(configuration, waited_s)

    async def _handle_readiness(self, request: Request) -> Response:
        if request.path != self._ports.ready_path:
            return Response(404)
        ready = (
            not self._draining
            and self._route_table.configuration is not None
            and self._submitter.has_leader
            and (self._scheduler.can_start_tasks or not self._election.leads)
        )
        return Response(200 if ready else 503)

    async def _wait_for_signals(self, group: TaskGroup) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    # The settings are addresses and limits that only take effect at the next start.
                    self._event_logger.record_lifecycle(7002, "settings changed", in_force=False)
                else:
                    await self._drain()
                    group.cancel_scope.cancel()
                    return

    async def _drain(self) -> None:
        """Hand leadership over, finish pending requests and stop listening."""
        started_s = time.monotonic()
        self._draining = True
        self._event_logger.record_lifecycle(
            7003, "drain started", requests=self._caller_server.active
        )
        self._caller_server.start_draining()
        await self._election.hand_over()
        await anyio.sleep(UNREADY_LISTEN_S)
        self._caller_server.stop_listening()
        deadline_s = started_s + self._settings.drain_s
        while self._is_busy() and time.monotonic() < deadline_s:
            await anyio.sleep(DRAIN_CHECK_INTERVAL_S)

    def _is_busy(self) -> bool:
        return bool(self._caller_server.active or self._scheduler.job_count)


def _make_server_limits(limits: Limits) -> ServerLimits:
    return ServerLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_s,
        limits.idle_timeout_s,
    )
