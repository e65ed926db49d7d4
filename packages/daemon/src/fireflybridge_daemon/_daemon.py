"""Composition root: builds, runs and drains the parts of a daemon."""

import signal
import time
import traceback
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup

from fireflybridge_claims import PrefixIssuer, RegistrarLimits
from fireflybridge_core import Cause, NotRun, Outcome, Problem, Task, make_incarnation
from fireflybridge_daemon._claiming import Claims
from fireflybridge_daemon._configuration import Configuration
from fireflybridge_daemon._forwarding import Forwarding
from fireflybridge_daemon._interfaces import SubmissionSettings
from fireflybridge_daemon._jobs import JobStore
from fireflybridge_daemon._peering import Handlers, Peering
from fireflybridge_daemon._pools import PoolHooks, PoolRunner
from fireflybridge_daemon._replies import Replies
from fireflybridge_daemon._settings import Settings
from fireflybridge_daemon._submissions import Submissions
from fireflybridge_daemon._task_mover import TaskMover
from fireflybridge_front import CallersApp, OperatorsApp, serve_app
from fireflybridge_peers import LinkSettings
from fireflybridge_platform import HttpHostList, HttpLog
from fireflybridge_tables import Pool
from fireflybridge_telemetry import (
    Event,
    ExportSettings,
    Metrics,
    SpanExporter,
    Tracer,
    log_event,
)

# Interval at which dispatch queues refresh shares, expire tasks and offer waiting tasks to slots.
HOUSEKEEPING_INTERVAL_S = 0.1
# Time after the drain in which the last answers can still reach their callers.
ANSWER_GRACE_S = 2.0
OPERATORS_GRACE_S = 0.5
TRACE_EXPORT_GRACE_S = 2.0
DEFAULT_RERECORD_INTERVAL_S = 300.0
BYTES_PER_MB = 1024 * 1024


class Daemon:
    """Build the parts of one daemon and connect them."""

    def __init__(self, settings: Settings, log: HttpLog, group: TaskGroup) -> None:
        self.settings = settings
        self.incarnation = make_incarnation()
        self.metrics = Metrics()
        self._group = group
        self._ready = False
        self._operators_stop = anyio.Event()
        self.callers_closed = anyio.Event()
        self._exporter = self._make_exporter()
        emit = None if self._exporter is None else self._exporter.emit
        self.tracer = Tracer(settings.trace_ratio, emit)
        self._hooks = PoolHooks(self._deliver, self._is_wanted, self.tracer)
        rerecord_interval_s = settings.log_retention_s / 2 or DEFAULT_RERECORD_INTERVAL_S
        self.configuration = Configuration(
            log, self._make_runner, rerecord_interval_s, self.metrics
        )
        self.peering = Peering(
            self._make_link_settings(),
            settings.failure_domain,
            self.configuration,
            group,
            self.metrics,
        )
        self.job_store = JobStore(
            time.monotonic, settings.retention_s, settings.max_kept_mb * BYTES_PER_MB
        )
        self.claims = Claims(
            log, self.incarnation, self._make_limits(), self.peering, group, self.metrics
        )
        self.replies = Replies(self.peering.send)
        self.forwarding = Forwarding(self.peering, self.replies, group, self.tracer)
        self.mover = TaskMover(
            self.peering, self.replies, self._deliver_local, self.metrics, self.tracer
        )
        self.submissions = Submissions(
            SubmissionSettings(self.incarnation, settings.retention_s),
            self.job_store,
            PrefixIssuer(self.incarnation, settings.prefix_lifetime_s),
            self.configuration,
            self.claims,
            self.forwarding,
            group,
            self.metrics,
            self.tracer,
            self.mover.announce_backlog,
        )
        self.configuration.on_change = self.peering.update_ownership
        # Only the registrar of shard 0 re-records the tables, so that a single daemon does it.
        self.configuration.may_rerecord = lambda: not self.peering.find_registrar(0)

    def render_metrics(self) -> bytes:
        """Return the metrics in text form."""
        self._update_gauges()
        return self.metrics.render()

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests."""
        return self._ready and self.configuration.loaded and not self.peering.is_yielding

    def describe_status(self) -> dict[str, Any]:
        """Return the daemon's status as JSON data."""
        state = self.configuration.state
        return {
            "name": self.settings.name,
            "incarnation": self.incarnation,
            "failure_domain": self.settings.failure_domain,
            "state": str(self.peering.state),
            "ready": self.is_ready(),
            "tables_revision": state.revision_id,
            "tables_offset": state.offset,
            "tables_age_s": round(self.configuration.age_s, 3),
            "tables_fault": repr(state.last_fault) if state.last_fault else None,
            "log_reachable": self.configuration.log_reachable,
            "submissions_running": self.job_store.running,
            "submissions_kept": len(self.job_store),
            "tasks_assigned_to_peers": self.mover.assigned,
            "tasks_accepted_from_peers": self.mover.accepted,
            "claims_remembered": self.claims.remembered,
            "peers": self.peering.describe_peers(),
            "pools": [
                {
                    "name": runner.pool.name,
                    "queued": runner.queue.queued,
                    "free_slots": runner.free,
                    "running": runner.running,
                    "owned": sorted(runner.owned),
                }
                for runner in self.configuration.runners
            ],
        }

    async def start(self, hosts: HttpHostList) -> None:
        """Start the peer links, the background tasks and the operators' server."""
        handlers = Handlers(
            self.claims, self.forwarding, self.mover, self.replies, self.submissions
        )
        self.peer_address = await self._group.start(self.peering.run, handlers)
        self.peering.address = self.peer_address
        self._group.start_soon(self.configuration.follow)
        self._group.start_soon(self.peering.poll_hosts, hosts, self.settings.host_list_interval_s)
        self._group.start_soon(self.peering.run_ticks)
        self._group.start_soon(self._run_housekeeping)
        if self._exporter is not None:
            self._group.start_soon(self._exporter.run)
        self.operators_address = await self._group.start(
            serve_app,
            OperatorsApp(self),
            self.settings.operators_address,
            self._operators_stop.wait,
            OPERATORS_GRACE_S,
        )
        self._ready = True

    async def serve_callers(self, stop: anyio.Event, *, task_status: Any) -> None:
        """Serve callers until ``stop`` is set and open requests have ended."""
        app = CallersApp(self.submissions, self.tracer, self._count_refusal, report_failure)
        await serve_app(
            app,
            self.settings.callers_address,
            stop.wait,
            ANSWER_GRACE_S,
            task_status=task_status,
        )
        self.callers_closed.set()

    async def drain(self, force: anyio.Event) -> None:
        """Finish accepted work, at most until the drain timeout has passed or ``force`` is set."""
        self._ready = False
        log_event(Event.DRAIN_STARTED, running=self.job_store.running)
        self.peering.drain()
        with anyio.move_on_after(self.settings.drain_delay_s):
            await force.wait()
        self.submissions.stop_accepting()
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_when_set, force, group.cancel_scope)
            with anyio.move_on_after(self.settings.drain_timeout_s):
                await self.submissions.wait_idle()
                await self.mover.wait_idle()
            group.cancel_scope.cancel()
        closed = self.submissions.close_all()
        if closed:
            log_event(Event.DRAIN_CUT, submissions=closed)

    async def finish_traces(self) -> None:
        """Export the remaining spans."""
        if self._exporter is not None:
            await self._exporter.finish(TRACE_EXPORT_GRACE_S)

    def stop_operators(self) -> None:
        """Stop the operators' server."""
        self._operators_stop.set()

    def _deliver(self, task: Task, outcome: Outcome) -> None:
        self.tracer.end_queue_wait(task)
        if not self.mover.return_result(task, outcome):
            self.submissions.deliver(task, outcome)
        self.mover.pull(task.pool)

    def _deliver_local(self, task: Task, outcome: Outcome) -> bool:
        return self.submissions.deliver(task, outcome)

    def _is_wanted(self, task: Task) -> bool:
        return self.mover.has_accepted(task) or self.submissions.is_wanted(task)

    def _is_pool_needed(self, pool: str) -> bool:
        return self.mover.has_assigned(pool) or self.peering.is_needed_by_peers(pool)

    def _make_runner(self, pool: Pool) -> PoolRunner:
        return PoolRunner(pool, self._group, self.metrics, self._hooks)

    def _make_exporter(self) -> SpanExporter | None:
        url = self.settings.trace_url
        if not url:
            return None
        target = ExportSettings(url, self.settings.name, self.incarnation)
        return SpanExporter(target, self.metrics)

    def _make_link_settings(self) -> LinkSettings:
        key_file = self.settings.peer_key_file
        return LinkSettings(
            name=self.settings.name,
            incarnation=self.incarnation,
            listen=self.settings.peer_address,
            key=Path(key_file).read_bytes().strip() if key_file else None,
        )

    def _make_limits(self) -> RegistrarLimits:
        return RegistrarLimits(
            retention_s=self.settings.retention_s,
            log_retention_s=self.settings.log_retention_s,
            claim_timeout_s=self.settings.claim_timeout_ms / 1000,
        )

    def _count_refusal(self, problem: Problem) -> None:
        self.metrics.refusals.labels(str(problem)).inc()

    async def _run_housekeeping(self) -> None:
        """Remove expired records and announce queued tasks at an interval, until cancelled."""
        while True:
            slept_at = time.monotonic()
            await anyio.sleep(HOUSEKEEPING_INTERVAL_S)
            self.metrics.event_loop_lag.set(time.monotonic() - slept_at - HOUSEKEEPING_INTERVAL_S)
            self.job_store.expire()
            self.configuration.remove_idle_runners(self._is_pool_needed)
            for runner in self.configuration.runners:
                for task in runner.queue.expire():
                    self._deliver(task, NotRun(Cause.DEADLINE_PASSED))
                if not runner.owned:
                    self.mover.return_queued_tasks(runner)
                self.mover.announce_backlog(runner.pool.name)

    def _update_gauges(self) -> None:
        for runner in self.configuration.runners:
            self.metrics.queued_tasks.labels(runner.pool.name).set(runner.queue.queued)
            self.metrics.free_slots.labels(runner.pool.name).set(runner.free)


async def run_daemon(settings: Settings, announce: Any) -> int:
    """Run a daemon until SIGTERM or SIGINT and return its exit code.

    ``announce`` is called with the bound addresses by name once the daemon listens.
    """
    # The receiver is the outermost scope, since a second signal may arrive until the process ends.
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with (
            HttpLog(settings.platform_url) as log,
            HttpHostList(settings.platform_url) as hosts,
            anyio.create_task_group() as group,
        ):
            daemon = Daemon(settings, log, group)
            await daemon.start(hosts)
            async with anyio.create_task_group() as front:
                await _serve_until_signal(daemon, front, signals, announce)
            group.cancel_scope.cancel()
    log_event(Event.DAEMON_STOPPED)
    return 0


def report_failure(error: Exception) -> None:
    """Log where an internal error was raised, without its text, which may contain payload data."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    place = f"{Path(frame.filename).name}:{frame.lineno}"
    log_event(Event.REQUEST_FAILED, error=type(error).__name__, place=place)


async def _serve_until_signal(
    daemon: Daemon, front: TaskGroup, signals: Any, announce: Any
) -> None:
    """Serve callers until the first signal, then drain; a second signal ends the drain."""
    stop, force = anyio.Event(), anyio.Event()
    callers = await front.start(daemon.serve_callers, stop)
    announce(
        {
            "callers": callers,
            "operators": daemon.operators_address,
            "peers": daemon.peer_address,
            "incarnation": daemon.incarnation,
        }
    )
    log_event(Event.DAEMON_STARTED, callers=callers)
    await anext(signals)
    front.start_soon(_set_on_signal, signals, force)
    await daemon.drain(force)
    stop.set()
    await daemon.callers_closed.wait()
    await daemon.finish_traces()
    daemon.stop_operators()
    front.cancel_scope.cancel()


async def _set_on_signal(signals: Any, event: anyio.Event) -> None:
    await anext(signals)
    event.set()


async def _cancel_when_set(event: anyio.Event, scope: anyio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
