"""Steps on pauses of a process, which must not be taken for the silence of its peers."""

import time
from unittest import mock

import anyio
from behave import given, then, when
from behave.runner import Context
from support.terms import HangingPollLog
from support.upstreams import make_job

from fireflybridge_entry import LeaderLoss, LeaderMonitor, Peer, PeerService
from fireflybridge_entry._codec import (
    HeartbeatReply,
    Submission,
    encode_heartbeat,
    encode_heartbeat_reply,
    encode_submission,
)
from fireflybridge_http import Connection, ExchangeError, ExchangeStep, Request, Response
from fireflybridge_jobs import LOCAL_SENDER, Answer, EarlierRuns, Job, JobSender, Succeeded
from fireflybridge_leadership import Holder, Leadership, Term
from fireflybridge_pauses import PauseMonitor

LEADER = Peer(Holder("h1", "1", "127.0.0.1:1"), "z1", 1.0)
ENTRY = Peer(Holder("h2", "1", "127.0.0.1:2"), "z1", 1.0)
HEARTBEAT_S = 0.1


class EndlessScheduler:
    """A scheduler whose jobs end only by cancellation."""

    def __init__(self) -> None:
        self.cancelled = False

    async def submit(
        self,
        job: Job,
        age_s: float,
        earlier: EarlierRuns | None,
        sender: JobSender = LOCAL_SENDER,
    ) -> Answer:
        """Wait until cancelled."""
        try:
            await anyio.sleep_forever()
        finally:
            self.cancelled = True
        return Succeeded()


def make_leadership() -> Leadership:
    leadership = Leadership(HangingPollLog(), lambda _error: None)
    leadership.add_terms((Term("z1", LEADER.holder, 1000),))
    return leadership


@given("a leader that runs a job of another host which sends heartbeats")
def given_leader(context: Context) -> None:
    context.scheduler = EndlessScheduler()


@when("its process is paused for {pause_s:g} s and the next heartbeat arrives {late_s:g} s later")
def pause_leader(context: Context, pause_s: float, late_s: float) -> None:
    async def run() -> None:
        service = PeerService(LEADER, context.scheduler, make_leadership(), PauseMonitor())
        async with anyio.create_task_group() as group:
            group.start_soon(service.watch_senders)
            await service.handle(encode_heartbeat(ENTRY))
            submission = encode_submission(Submission("h2", make_job("a", 1), 0, None))
            group.start_soon(service.handle, submission)
            await anyio.sleep(HEARTBEAT_S)
            time.sleep(pause_s)
            await anyio.sleep(late_s)
            await service.handle(encode_heartbeat(ENTRY))
            context.kept = not context.scheduler.cancelled
            await anyio.sleep(1.0)
            context.cancelled_later = context.scheduler.cancelled
            group.cancel_scope.cancel()

    anyio.run(run)


@then("the job of that host still runs")
def check_kept(context: Context) -> None:
    assert context.kept


@when("no heartbeat arrives for 1.0 s")
def wait_without_heartbeats(context: Context) -> None:
    assert hasattr(context, "cancelled_later"), "the scenario has not waited"


@then("the job of that host is cancelled")
def check_cancelled(context: Context) -> None:
    assert context.cancelled_later


class ReplyingLeader:
    """Replaces the connections of a monitor by ones to a leader that can be paused or stopped."""

    def __init__(self) -> None:
        self.pause_s = 0.0
        self.replies = True

    async def exchange(self, request: Request, timeout_s: float) -> Response:
        """Reply, pause the process before the reply is read, or time out."""
        if self.pause_s:
            pause_s, self.pause_s = self.pause_s, 0.0
            time.sleep(pause_s)
            return await self._time_out(0)
        if not self.replies:
            return await self._time_out(timeout_s)
        return encode_heartbeat_reply(HeartbeatReply(LEADER, (), ()))

    async def _time_out(self, after_s: float) -> Response:
        await anyio.sleep(after_s)
        raise ExchangeError(ExchangeStep.RECEIVE, "h1", "timed out")


@given("a host that follows a leader which replies to heartbeats")
def given_follower(context: Context) -> None:
    context.leader = ReplyingLeader()
    context.losses = []


@when("the host's process is paused for {pause_s:g} s during a heartbeat")
def pause_follower(context: Context, pause_s: float) -> None:
    leader = context.leader

    async def run() -> None:
        leadership = make_leadership()
        monitor = LeaderMonitor(leadership, ENTRY)
        term = leadership.terms["z1"]

        async def watch() -> None:
            context.losses.append(await monitor.watch(term))
            context.lost_s = anyio.current_time()

        with mock.patch.object(Connection, "exchange", lambda _, *args: leader.exchange(*args)):
            async with anyio.create_task_group() as group:
                group.start_soon(watch)
                await anyio.sleep(HEARTBEAT_S)
                leader.pause_s = pause_s
                await anyio.sleep(pause_s + 1.0)
                context.lost_after_pause = bool(context.losses)
                leader.replies = False
                context.stopped_s = anyio.current_time()
                await anyio.sleep(2.0)
                group.cancel_scope.cancel()

    anyio.run(run)


@when("it has heard of two peers from its leader and asks one of them")
def ask_peer(context: Context) -> None:
    others = [Peer(Holder(f"h{n}", "1", f"127.0.0.1:{n}"), "z1", 1.0) for n in (3, 4)]
    replies = {
        LEADER.holder.address: HeartbeatReply(LEADER, (), tuple(others)),
        others[0].holder.address: HeartbeatReply(others[0], (), ()),
    }

    async def reply(connection: Connection, _request: Request, _timeout_s: float) -> Response:
        return encode_heartbeat_reply(replies[connection.address])

    async def run() -> None:
        monitor = LeaderMonitor(make_leadership(), ENTRY)
        with mock.patch.object(Connection, "exchange", reply):
            for peer in (LEADER, others[0]):
                assert await monitor.probe(peer.holder)
        context.peers = {peer.holder.host for peer in monitor.peers}

    anyio.run(run)


@then("it knows both peers and the leader")
def check_peers(context: Context) -> None:
    assert context.peers == {"h1", "h3", "h4"}, context.peers


@then("the leader isn't lost")
def check_not_lost(context: Context) -> None:
    assert not context.lost_after_pause, context.losses


@when("the leader stops replying")
def stop_leader(context: Context) -> None:
    assert not context.leader.replies


@then("the leader is lost within 2 s")
def check_lost(context: Context) -> None:
    assert len(context.losses) == 1, context.losses
    assert isinstance(context.losses[0], LeaderLoss), context.losses
