"""Steps on requests that waited unread while a host was paused."""

import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from unittest import mock

import anyio
from behave import given, then, when
from behave.runner import Context
from support.upstreams import EndlessConnector, describe_upstreams, make_job, read_once, wait_until

from fireflybridge_entry import JobSubmitter, LocalLeader, Peer, PeerService, RemoteLeader
from fireflybridge_entry._codec import (
    Submission,
    decode_answer,
    encode_heartbeat,
    encode_submission,
)
from fireflybridge_execution import Accepted, Hold, Scheduler, Start
from fireflybridge_http import ConnectionPool, Request, Response, Server, ServerLimits
from fireflybridge_http._server_connection import ServerConnection
from fireflybridge_jobs import (
    LOCAL_SENDER,
    Answer,
    EarlierRuns,
    Job,
    JobSender,
    Moved,
    NotRun,
    RefusalReason,
    RunReport,
    Succeeded,
)
from fireflybridge_leadership import Holder, Leadership, Term
from fireflybridge_pauses import PauseMonitor

JOB = make_job("a", 1)
OTHER_JOB = make_job("b", 2)
PAUSE_S = 0.8
END_DELAY_S = 0.3
RETRANSMISSION_S = 0.2
SETTLED_S = 0.5  # a job that is taken has been started by then
SILENCE_S = 1.0
ANSWER_LIMIT_S = 2.0
MOST_CHECKS = 3  # between the submission of a job and the sending of its start
REQUEST = b"POST /job HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n"
NOT_RUN = 503
SUCCEEDED = 200
LEADER = Peer(Holder("h1", "1", "127.0.0.1:1"), "z1", 1.0)
SENDER = Peer(Holder("h2", "1", "127.0.0.1:2"), "z1", 1.0)


@dataclass(slots=True)
class LeadingHost:
    """Serve callers over HTTP and lead one in-memory upstream, in the process of the test."""

    connector: EndlessConnector = field(default_factory=EndlessConnector)
    pauses: PauseMonitor = field(default_factory=PauseMonitor)
    scheduler: Scheduler = field(init=False)
    submitter: JobSubmitter = field(init=False)
    server: Server = field(init=False)
    address: str = ""
    answers: list[Answer] = field(default_factory=list)

    @asynccontextmanager
    async def run(self) -> AsyncIterator["LeadingHost"]:
        """Run the host until the context ends."""
        self.scheduler = Scheduler(self.connector, lambda _event: None, lambda: None, self.pauses)
        self.submitter = JobSubmitter("h1", self.scheduler, self.pauses)
        self.submitter.set_leader(LocalLeader())
        async with anyio.create_task_group() as group:
            group.start_soon(self.scheduler.serve)
            group.start_soon(self.pauses.watch, self._handle_pause)
            self.server = Server(find_address(), self.handle, ServerLimits())
            self.address = await group.start(self.server.serve, group)
            self.scheduler.lead({"z1": 1000})
            infos = describe_upstreams(1)
            self.scheduler.set_upstreams(read_once(infos))
            await wait_until(lambda: self.scheduler.has_synced_upstream)
            yield self
            group.cancel_scope.cancel()

    async def handle(self, request: Request) -> Response:
        """Submit a job for a caller."""
        answer = await self.submitter.submit(JOB, request.sent_after_s)
        self.answers.append(answer)
        return Response(SUCCEEDED if answer == Succeeded() else NOT_RUN)

    async def _handle_pause(self, _paused_s: float) -> None:
        await self.server.read_backlog()
        await anyio.sleep(RETRANSMISSION_S)
        self.server.trust_idle_connections(time.monotonic())

    def connect(self) -> socket.socket:
        """Open a connection as a caller."""
        host, _, port = self.address.rpartition(":")
        return socket.create_connection((host, int(port)))

    @property
    def starts(self) -> int:
        """Return how often a run of the job was started."""
        return self.connector.upstreams["u0"].starts


def find_address() -> str:
    """Return a free address, which the server also uses to reach itself."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return "{}:{}".format(*probe.getsockname())


async def receive_status(caller: socket.socket) -> int:
    """Return the status code of the response that a caller gets."""
    caller.settimeout(ANSWER_LIMIT_S)
    data = await anyio.to_thread.run_sync(caller.recv, 4096)
    return int(data.split()[1])


@given("a host that leads an idle upstream and serves callers")
@given("a host that leads an upstream without room and serves callers")
def given_host(context: Context) -> None:
    context.host = LeadingHost()


@when(
    "a caller sends it a job over {connection} connection while it is paused, and the end of the"
    " connection {end}"
)
def send_during_pause(context: Context, connection: str, end: str) -> None:
    anyio.run(request_during_pause, context, connection == "an idle", end)


async def request_during_pause(context: Context, idle: bool, end: str) -> None:
    """Pause the event loop while a request lies in a socket, and end the connection sometime."""
    async with context.host.run() as host:
        caller = await use_connection(host) if idle else host.connect()
        started = host.starts
        caller.sendall(REQUEST)
        if end == "lies behind the request":
            caller.shutdown(socket.SHUT_WR)
        time.sleep(PAUSE_S)
        if end.startswith("comes"):
            await anyio.sleep(END_DELAY_S)
            caller.shutdown(socket.SHUT_WR)
        await anyio.sleep(SETTLED_S)
        context.starts = host.starts - started
        context.answers = host.answers[started:]
        caller.close()


@when(
    "a caller gets a response and sends the next job while the host is paused in sending the"
    " response"
)
def send_during_response(context: Context) -> None:
    anyio.run(request_during_response, context)


async def request_during_response(context: Context) -> None:
    """Pause the event loop once a response is written, and resume its sender after the monitor."""
    send = ServerConnection._send
    callers: list[socket.socket] = []

    async def send_and_pause(
        connection: ServerConnection, response: Response, *, close: bool
    ) -> None:
        await send(connection, response, close=close)
        if callers:
            callers.pop().sendall(REQUEST)
            time.sleep(PAUSE_S)
            await anyio.sleep(END_DELAY_S)

    async with context.host.run() as host:
        with mock.patch.object(ServerConnection, "_send", send_and_pause):
            caller = host.connect()
            callers.append(caller)
            caller.sendall(REQUEST)
            upstream = host.connector.upstreams["u0"]
            await wait_until(lambda: upstream.running)
            upstream.end_run()
            await wait_until(lambda: not callers)
            await anyio.sleep(END_DELAY_S + SETTLED_S)
        context.starts = host.starts - 1
        context.answers = host.answers[1:]
        caller.close()


async def use_connection(host: LeadingHost) -> socket.socket:
    """Let a caller's job run, and return its connection, which is idle then."""
    caller = host.connect()
    caller.sendall(REQUEST)
    upstream = host.connector.upstreams["u0"]
    await wait_until(lambda: upstream.running)
    upstream.end_run()
    assert await receive_status(caller) == SUCCEEDED
    return caller


@then("nothing is started, and the answer is that the job has not run")
def check_nothing_started(context: Context) -> None:
    assert context.starts == 0, context.starts
    reasons = [answer.reason for answer in context.answers if isinstance(answer, NotRun)]
    assert len(reasons) == len(context.answers), context.answers
    assert set(reasons) <= {RefusalReason.PAUSED}, reasons


@when("a caller sends it a job over a new connection after a pause")
def send_after_pause(context: Context) -> None:
    anyio.run(request_after_pause, context, False)


@when(
    "a caller sends it a job over an idle connection after a pause and the longest retransmission"
)
def send_on_idle_connection(context: Context) -> None:
    anyio.run(request_after_pause, context, True)


async def request_after_pause(context: Context, idle: bool) -> None:
    """Pause the event loop, let the host find out about its connections, and send a request."""
    async with context.host.run() as host:
        caller = await use_connection(host)
        started = host.starts
        time.sleep(PAUSE_S)
        await anyio.sleep(2 * RETRANSMISSION_S)
        if not idle:
            caller.close()
            caller = host.connect()
        caller.sendall(REQUEST)
        upstream = host.connector.upstreams["u0"]
        await wait_until(lambda: upstream.running)
        upstream.end_run()
        context.status = await receive_status(caller)
        context.starts = host.starts - started
        caller.close()


@then("the job is started once and answered as succeeded")
def check_served(context: Context) -> None:
    assert context.starts == 1, context.starts
    assert context.status == SUCCEEDED, context.status


@when("a caller's job waits for room while the host is paused, and room comes free")
def wait_during_pause(context: Context) -> None:
    anyio.run(queue_during_pause, context)


async def queue_during_pause(context: Context) -> None:
    """Fill the upstream, queue a job, pause the event loop and end a run of the upstream."""
    async with context.host.run() as host, anyio.create_task_group() as group:
        group.start_soon(host.scheduler.submit, OTHER_JOB, 0.0, None)
        upstream = host.connector.upstreams["u0"]
        await wait_until(lambda: len(upstream.running) == OTHER_JOB.steps[0].count)
        started = host.starts
        caller = host.connect()
        caller.sendall(REQUEST)
        await wait_until(lambda: host.scheduler.job_count == 2)
        upstream.end_run()
        time.sleep(PAUSE_S)
        await anyio.sleep(SETTLED_S)
        context.starts = host.starts - started
        context.answers = host.answers
        caller.close()
        group.cancel_scope.cancel()


@when("it is paused right after it has found that a start may be sent")
def pause_before_start(context: Context) -> None:
    anyio.run(pause_after_check, context)


def make_pausing_check(number: int) -> Callable[[PauseMonitor, float], bool]:
    """Return a check for pauses that pauses the event loop right after its n-th call."""
    is_current = PauseMonitor.is_current
    calls = count(1)

    def check(monitor: PauseMonitor, sent_after_s: float) -> bool:
        found = is_current(monitor, sent_after_s)
        if next(calls) == number:
            time.sleep(PAUSE_S)
        return found

    return check


async def pause_after_check(context: Context) -> None:
    """Pause the event loop after one check of a start and then after the next, up to the last."""
    context.margins_ms = []

    async def start(upstream: object, command: Start, _timeout_s: float) -> Accepted:
        context.margins_ms.append(command.lease_until_ms - time.monotonic() * 1000)
        return Accepted(time.monotonic() * 1000)

    async def hold(upstream: object, command: Hold, _timeout_s: float) -> RunReport:
        await anyio.sleep(0.01)
        return RunReport(time.monotonic() * 1000, 1, (), ())

    async with context.host.run() as host:
        upstream = host.connector.upstreams["u0"]
        with (
            mock.patch.object(type(upstream), "start", start),
            mock.patch.object(type(upstream), "hold", hold),
        ):
            for paused_check in range(1, MOST_CHECKS + 1):
                check = make_pausing_check(paused_check)
                with (
                    mock.patch.object(PauseMonitor, "is_current", check),
                    anyio.move_on_after(SETTLED_S),
                ):
                    await host.scheduler.submit(JOB, 0.0, None)
                await anyio.sleep(SETTLED_S)


@then("the lease of the start has ended when it reaches the upstream")
def check_lease(context: Context) -> None:
    assert context.margins_ms, "no start was sent"
    assert all(margin_ms < 0 for margin_ms in context.margins_ms), context.margins_ms


@given("a host that follows no leader yet and has a caller's job")
def given_follower(context: Context) -> None:
    context.sent = []
    context.pauses = PauseMonitor()
    context.submitter = JobSubmitter("h2", mock.Mock(), context.pauses)


@when("it is paused and finds a leader then")
def find_leader_after_pause(context: Context) -> None:
    anyio.run(follow_after_pause, context)


async def follow_after_pause(context: Context) -> None:
    """Pause the event loop while a job waits for a leader, and follow one then."""

    async def exchange(_pool: ConnectionPool, request: Request, _timeout_s: float) -> Response:
        context.sent.append(request)
        return Response(500)

    answers: list[Answer] = []

    async def submit(sent_after_s: float) -> None:
        answers.append(await context.submitter.submit(JOB, sent_after_s))

    with mock.patch.object(ConnectionPool, "exchange", exchange):
        async with anyio.create_task_group() as group:
            group.start_soon(context.pauses.watch)
            await anyio.sleep(0)
            group.start_soon(submit, time.monotonic())
            await anyio.sleep(0.01)
            time.sleep(PAUSE_S)
            context.submitter.set_leader(RemoteLeader("127.0.0.1:1", "1", {"z1": 1000}))
            await wait_until(lambda: answers)
            group.cancel_scope.cancel()
    context.answers = answers


@then("the leader gets no job, and the answer is that the job has not run")
def check_not_sent(context: Context) -> None:
    assert not context.sent, context.sent
    context.starts = 0
    check_nothing_started(context)
    assert len(context.answers) == 1, context.answers


class TakingScheduler:
    """A scheduler that answers each job at once."""

    async def submit(
        self,
        job: Job,
        age_s: float,
        earlier: EarlierRuns | None,
        sender: JobSender = LOCAL_SENDER,
    ) -> Answer:
        """Answer a job."""
        return Succeeded()


@given("a leader that has lost the heartbeats of another host")
def given_silent_host(context: Context) -> None:
    leadership = Leadership(mock.Mock(), lambda _error: None)
    leadership.add_terms((Term("z1", LEADER.holder, 1000),))
    context.service = PeerService(LEADER, TakingScheduler(), leadership, PauseMonitor())


@when("that host submits a job, sends a heartbeat and submits it again")
def submit_from_silent_host(context: Context) -> None:
    anyio.run(submit_around_heartbeat, context)


async def submit_around_heartbeat(context: Context) -> None:
    """Submit a job after a host has fallen silent, and again after its next heartbeat."""
    service: PeerService = context.service
    submission = encode_submission(Submission(SENDER.holder.host, JOB, 0, None))
    send = partial(service.handle, submission)
    async with anyio.create_task_group() as group:
        group.start_soon(service.watch_senders)
        await service.handle(encode_heartbeat(SENDER))
        context.before = decode_answer(await send())
        await anyio.sleep(SILENCE_S)
        context.silent = decode_answer(await send())
        await service.handle(encode_heartbeat(SENDER))
        context.after = decode_answer(await send())
        group.cancel_scope.cancel()


@then("the job is given back first and taken then")
def check_given_back(context: Context) -> None:
    assert context.before == Succeeded(), context.before
    assert context.silent == Moved(None), context.silent
    assert context.after == Succeeded(), context.after
