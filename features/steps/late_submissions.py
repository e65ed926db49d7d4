"""Steps on submissions that a leader reads after their senders have given them up."""

import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from unittest import mock

import anyio
import msgspec
from anyio.abc import TaskGroup
from behave import given, then, when
from behave.runner import Context
from structlog.testing import capture_logs
from support.entry_pair import DOMAIN, FENCE, EntryHost, LeadingHost, make_leadership, run_hosts
from support.leading import FENCES, run_scheduler
from support.relay import Relay, Traffic
from support.upstreams import (
    EndlessConnector,
    EndlessUpstream,
    describe_upstreams,
    make_job,
    wait_until,
)

from fireflybridge_entry import JobSubmitter, LeaderContacts, Peer, PeerService, RemoteLeader
from fireflybridge_entry._codec import (
    Heartbeat,
    LeaderStamp,
    Submission,
    decode_heartbeat,
    decode_heartbeat_reply,
    decode_submission,
    encode_answer,
    encode_heartbeat,
    encode_submission,
)
from fireflybridge_entry._sender_leases import Sender, SenderLeases
from fireflybridge_execution import Accepted, JobEnded, Stop
from fireflybridge_host._event_logger import EventLogger
from fireflybridge_http import ConnectionPool, Request, Response
from fireflybridge_jobs import (
    LOCAL_SENDER,
    Answer,
    EarlierRuns,
    Job,
    JobSender,
    Succeeded,
    TimedOut,
)
from fireflybridge_leadership import Holder
from fireflybridge_pauses import PauseMonitor

JOB = make_job("a", 1)
PATIENT_JOB = replace(JOB, policy=replace(JOB.policy, target_latency_ms=JOB.wait_ms))
OTHER_JOB = make_job("b", 2)  # takes all room of an upstream
SHORT_WAIT_S = 0.4
HEARTBEAT_S = 0.15
SENDER = Sender("h2", "1")
PEER = Peer(Holder("h2", "1", "127.0.0.1:2"), "z1", 1.0, draining=True)
MOST_WAKES = 20
SETTLED_S = 0.5  # a job that is taken has been placed by then
HEARTBEATS_READ_S = 0.05
FREQUENT_S = 0.02  # several times between two heartbeats
HELD = {
    "its replies to heartbeats are held back": {Traffic.HEARTBEAT_REPLIES},
    "its requests are held back, heartbeats read first": {Traffic.HEARTBEATS},
}


@given("a leader and an entry host that follows it through a relay")
def given_hosts(context: Context) -> None:
    """Leave it to the next step to run the hosts."""


@when("the leader reads a job after the entry host has lost it, as {cause}")
def read_late(context: Context, cause: str) -> None:
    anyio.run(let_go_after_loss, context, HELD[cause])


async def let_go_after_loss(context: Context, held: set[Traffic]) -> None:
    """Hold a submission back until its sender has lost the leader, and its end for longer."""
    async with run_hosts() as (leader, entry, relay, group):
        relay.held |= {Traffic.SUBMISSIONS, Traffic.ENDS, *held}
        group.start_soon(entry.submit, JOB)
        await wait_until(lambda: entry.has_lost_leader)
        relay.let_go(Traffic.HEARTBEATS)
        await anyio.sleep(HEARTBEATS_READ_S)
        relay.let_go(Traffic.SUBMISSIONS)
        await wait_until(lambda: relay.passed[Traffic.SUBMISSIONS])
        await anyio.sleep(SETTLED_S)
        context.placed = leader.placed


@then("no task of the job was placed")
def check_not_placed(context: Context) -> None:
    assert not context.placed, context.placed


@then("its task was placed")
def check_placed(context: Context) -> None:
    assert len(context.placed) == 1, context.placed


Play = Callable[[LeadingHost, EntryHost, Relay, TaskGroup], Awaitable[None]]


def play_with_hosts(context: Context, play: Play) -> None:
    """Run a play in which the end of no connection arrives, and keep what was placed."""

    async def run() -> None:
        async with run_hosts() as (leader, entry, relay, group):
            relay.held.add(Traffic.ENDS)
            await play(leader, entry, relay, group)
            context.placed = leader.placed

    anyio.run(run)


async def let_submission_go(relay: Relay) -> None:
    relay.let_go(Traffic.SUBMISSIONS)
    await wait_until(lambda: relay.passed[Traffic.SUBMISSIONS])
    await anyio.sleep(SETTLED_S)


@when("the leader reads a job after {delay_s:g} s")
def read_in_time(context: Context, delay_s: float) -> None:
    async def play(_leader: LeadingHost, entry: EntryHost, relay: Relay, group: TaskGroup) -> None:
        relay.held.add(Traffic.SUBMISSIONS)
        group.start_soon(entry.submit, JOB)
        await anyio.sleep(delay_s)
        await let_submission_go(relay)

    play_with_hosts(context, play)


@when("the leader reads a job just after a heartbeat that withdraws it")
def read_withdrawn(context: Context) -> None:
    async def play(leader: LeadingHost, entry: EntryHost, relay: Relay, group: TaskGroup) -> None:
        relay.held.add(Traffic.SUBMISSIONS)
        group.start_soon(entry.submit, JOB)
        await anyio.sleep(HEARTBEATS_READ_S)
        entry.drop_callers()
        leader_process = leader.holder.incarnation
        await wait_until(lambda: entry.contacts.list_withdrawn(leader_process))
        await wait_until(lambda: not entry.contacts.list_withdrawn(leader_process))
        await let_submission_go(relay)

    play_with_hosts(context, play)


@when("a job runs for {length_s:g} s while its entry host submits another one after each reply")
def submit_often(context: Context, length_s: float) -> None:
    async def play(leader: LeadingHost, entry: EntryHost, relay: Relay, group: TaskGroup) -> None:
        group.start_soon(entry.submit, JOB)
        await wait_until(lambda: leader.upstream.alive)
        first = leader.upstream.alive[0]
        end_s = time.monotonic() + length_s
        while time.monotonic() < end_s:
            group.start_soon(entry.submit, make_job("b", 1))
            await anyio.sleep(FREQUENT_S)
        context.goes_on = first in leader.upstream.alive

    play_with_hosts(context, play)


@then("that run was not stopped")
def check_run_goes_on(context: Context) -> None:
    assert context.goes_on


@when("the leader reads a job after its deadline of {wait_s:g} s")
def read_after_deadline(context: Context, wait_s: float) -> None:
    async def play(_leader: LeadingHost, entry: EntryHost, relay: Relay, group: TaskGroup) -> None:
        relay.held.add(Traffic.SUBMISSIONS)
        group.start_soon(entry.submit, replace(JOB, wait_ms=wait_s * 1000))
        await wait_until(lambda: entry.answers)
        assert not entry.has_lost_leader
        await let_submission_go(relay)

    play_with_hosts(context, play)


async def begin_run(leader: LeadingHost, entry: EntryHost, group: TaskGroup) -> None:
    group.start_soon(entry.submit, JOB)
    await wait_until(lambda: leader.upstream.alive)


@when("the caller of a job that runs leaves, and the end of the connection is held back")
def leave_unseen(context: Context) -> None:
    async def play(leader: LeadingHost, entry: EntryHost, _relay: Relay, group: TaskGroup) -> None:
        await begin_run(leader, entry, group)
        entry.drop_callers()
        await measure_end(context, leader)

    play_with_hosts(context, play)


@when("a job runs while the replies to heartbeats are held back")
def lose_replies(context: Context) -> None:
    async def play(leader: LeadingHost, entry: EntryHost, relay: Relay, group: TaskGroup) -> None:
        await begin_run(leader, entry, group)
        relay.held.add(Traffic.HEARTBEAT_REPLIES)
        await measure_end(context, leader)

    play_with_hosts(context, play)


async def measure_end(context: Context, leader: LeadingHost) -> None:
    """Note how long the run goes on from now."""
    began_s = time.monotonic()
    await wait_until(lambda: not leader.upstream.alive)
    context.ended_after_s = time.monotonic() - began_s


@then("the run ends within {limit_s:g} s")
def check_end(context: Context, limit_s: float) -> None:
    assert context.ended_after_s < limit_s, context.ended_after_s


@when("an entry host sends a job twice, the second time {delay_s:g} s before the leader reads it")
def send_twice(context: Context, delay_s: float) -> None:
    async def play(leader: LeadingHost, entry: EntryHost, relay: Relay, group: TaskGroup) -> None:
        await begin_run(leader, entry, group)
        relay.held.add(Traffic.SUBMISSIONS)
        group.start_soon(entry.submit, JOB)
        await anyio.sleep(delay_s)
        await let_submission_go(relay)
        entry.drop_callers()
        await wait_until(lambda: isinstance(leader.events[-1], JobEnded))
        context.events, context.sent = leader.events, entry.sent

    play_with_hosts(context, play)


@then("lines 7101, 7110 and 7104 of the leader and 7103 of the entry host name both submissions")
def check_lines(context: Context) -> None:
    with capture_logs() as lines:
        logger = EventLogger()
        for event in context.events:
            logger.record_execution(event)
        logger.record_request(JOB.id, "orders", Succeeded(), 1.0, context.sent)
    by_id = {line["event_id"]: line for line in lines}
    context.joined = by_id[7110]
    assert (by_id[7101]["sender"], by_id[7101]["submission"]) == ("h2", 1), by_id
    assert (by_id[7110]["sender"], by_id[7110]["submission"]) == ("h2", 2), by_id
    assert sorted(by_id[7104]["senders"]) == [["h2", 1], ["h2", 2]], by_id
    numbers = [[fence, number] for _, fence, number in by_id[7103]["leaders"]]
    assert numbers == [[FENCE, 1], [FENCE, 2]], by_id


@then("the second one's stamp was at least {age_ms:d} ms old")
def check_stamp_age(context: Context, age_ms: int) -> None:
    assert context.joined["stamp_age_ms"] >= age_ms, context.joined


# Decisions of a leader, without connections


class StoppableUpstream(EndlessUpstream):
    """An endless upstream that counts the stops it gets."""

    def __init__(self) -> None:
        super().__init__()
        self.stops = 0

    async def stop(self, command: Stop, timeout_s: float) -> Accepted:
        """Count a stop."""
        self.stops += 1
        return await super().stop(command, timeout_s)


@given("a leader without room for the task of a job whose sender may wait no longer")
@given("a leader that runs a job of two submissions")
@given("a leader without room for the task of a job that its own host has submitted twice")
def given_upstream(context: Context) -> None:
    context.infos = describe_upstreams(1)
    context.upstream = StoppableUpstream()
    context.connector = EndlessConnector()
    context.connector.upstreams["u0"] = context.upstream


@when("there is room")
def make_room(context: Context) -> None:
    async def run() -> None:
        upstream, waits = context.upstream, []
        async with run_scheduler(context, FENCES[0], context.connector) as scheduler:
            sender = JobSender("h2", 1, 0.0, lambda: bool(waits))
            async with anyio.create_task_group() as group:
                await wait_until(lambda: scheduler.can_start_tasks)
                group.start_soon(scheduler.submit, OTHER_JOB, 0.0, None)
                await wait_until(lambda: upstream.starts == len(upstream.running) == 2)
                group.start_soon(scheduler.submit, PATIENT_JOB, 0.0, None, sender)
                upstream.end_run()
                await anyio.sleep(SETTLED_S)
                context.starts = [upstream.starts]
                waits.append(sender)
                await anyio.sleep(SETTLED_S)
                context.starts.append(upstream.starts)
                group.cancel_scope.cancel()

    anyio.run(run)


@then("the task starts only once the sender is known to wait")
def check_start(context: Context) -> None:
    assert context.starts == [2, 3], context.starts


@when("one of them ends and there is room")
def end_one(context: Context) -> None:
    async def run() -> None:
        upstream = context.upstream
        async with run_scheduler(context, FENCES[0], context.connector) as scheduler:
            async with anyio.create_task_group() as group:
                await wait_until(lambda: scheduler.can_start_tasks)
                group.start_soon(scheduler.submit, OTHER_JOB, 0.0, None)
                await wait_until(lambda: upstream.starts == len(upstream.running) == 2)
                group.start_soon(scheduler.submit, PATIENT_JOB, 0.0, None)
                with anyio.move_on_after(HEARTBEATS_READ_S):
                    await scheduler.submit(PATIENT_JOB, 0.0, None)
                upstream.end_run()
                await anyio.sleep(SETTLED_S)
                context.starts = upstream.starts
                group.cancel_scope.cancel()

    anyio.run(run)


@then("the task starts")
def check_started(context: Context) -> None:
    assert context.starts == 3, context.starts


@when("the sender of the {left} one leaves")
def leave_one(context: Context, left: str) -> None:
    run_two_submissions(context, left)


@when("the deadline of the first one comes")
def reach_deadline(context: Context) -> None:
    run_two_submissions(context, None)
    assert isinstance(context.answers["first"], TimedOut), context.answers


def run_two_submissions(context: Context, left: str | None) -> None:
    """End one of two submissions of a job, by its deadline unless it leaves, and the run then."""
    waits_s = {"first": JOB.wait_ms / 1000 if left else SHORT_WAIT_S, "second": JOB.wait_ms / 1000}
    context.answers = {}
    context.waiting = "first" if left == "second" else "second"

    async def run() -> None:
        scopes = {name: anyio.CancelScope() for name in waits_s}
        async with run_scheduler(context, FENCES[0], context.connector) as scheduler:

            async def submit(name: str) -> None:
                with scopes[name]:
                    job = replace(JOB, wait_ms=waits_s[name] * 1000)
                    context.answers[name] = await scheduler.submit(job, 0.0, None)

            async with anyio.create_task_group() as group:
                await wait_until(lambda: scheduler.can_start_tasks)
                group.start_soon(submit, "first")
                await wait_until(lambda: context.upstream.running)
                group.start_soon(submit, "second")
                await anyio.sleep(HEARTBEATS_READ_S)
                if left:
                    scopes[left].cancel()
                await anyio.sleep(SHORT_WAIT_S + HEARTBEATS_READ_S)
                context.stops = context.upstream.stops
                context.upstream.end_run()
                await anyio.sleep(SETTLED_S)
                group.cancel_scope.cancel()

    anyio.run(run)


@then("the run is not stopped, and the other submission gets its result")
def check_not_stopped(context: Context) -> None:
    assert context.stops == 0, context.stops
    assert context.answers.get(context.waiting) == Succeeded(), context.answers


@given('a leader with the incarnation "{incarnation}"')
def given_leases(context: Context, incarnation: str) -> None:
    context.leases = SenderLeases(incarnation)


@when('a sender returns a stamp of incarnation "{incarnation}" that is {age_s:g} s old')
def return_stamp(context: Context, incarnation: str, age_s: float) -> None:
    context.stamp = LeaderStamp(incarnation, time.monotonic() - age_s)


@then("its submission is {decision}")
def check_decision(context: Context, decision: str) -> None:
    assert context.leases.is_valid(context.stamp) == (decision == "taken")


@when("a sender returns a stamp, the same one again and a newer one")
def return_stamps(context: Context) -> None:
    stamps = [context.leases.make_stamp() for _ in range(2)]
    context.news = [
        context.leases.renew(SENDER, stamp) for stamp in (stamps[0], stamps[0], stamps[1])
    ]


@then("only the first and the last of them are news of it")
def check_news(context: Context) -> None:
    assert context.news == [True, False, True], context.news


@when("a heartbeat is encoded with a stamp and withdrawn submissions")
def encode_stamped(context: Context) -> None:
    context.body = encode_heartbeat(PEER, LeaderStamp("a", 1.0), (3, 4)).body


@then("an earlier release reads its sender, and one of an earlier release has no stamp")
def check_releases(context: Context) -> None:
    assert msgspec.json.decode(context.body, type=Peer) == PEER
    assert decode_heartbeat(context.body) == Heartbeat(PEER, LeaderStamp("a", 1.0), (3, 4))
    assert decode_heartbeat(msgspec.json.encode(PEER)) == Heartbeat(PEER)


class EndlessScheduler:
    """A scheduler that keeps the sender of a job, which ends only by cancellation."""

    def __init__(self) -> None:
        self.sender: JobSender | None = None
        self.cancelled = False

    async def submit(
        self, job: Job, age_s: float, earlier: EarlierRuns | None, sender: JobSender = LOCAL_SENDER
    ) -> Answer:
        """Wait until cancelled."""
        self.sender = sender
        try:
            await anyio.sleep_forever()
        finally:
            self.cancelled = True
        raise AssertionError("unreachable")


@given("a leader that runs a job of another host whose heartbeats return its stamps")
def given_service(context: Context) -> None:
    holder = Holder("h1", "1", "127.0.0.1:1")
    context.scheduler = EndlessScheduler()
    context.service = PeerService(
        Peer(holder, DOMAIN, 1.0), context.scheduler, make_leadership(holder), PauseMonitor()
    )


async def beat(context: Context, stamp: LeaderStamp | None) -> LeaderStamp:
    """Send a heartbeat, and return the stamp in the reply."""
    response = await context.service.handle(encode_heartbeat(PEER, stamp))
    returned = decode_heartbeat_reply(response).stamp
    assert returned is not None
    return returned


def play_with_service(
    context: Context,
    play: Callable[[Context, LeaderStamp], Awaitable[None]],
    *,
    watches_senders: bool = True,
) -> None:
    """Run a play that begins with the stamp under which the job was submitted."""

    async def run() -> None:
        async with anyio.create_task_group() as group:
            if watches_senders:
                group.start_soon(context.service.watch_senders)
            stamp = await beat(context, None)
            submission = Submission("h2", JOB, 0, None, "1", 1, stamp)
            group.start_soon(context.service.handle, encode_submission(submission))
            await wait_until(lambda: context.scheduler.sender)
            await play(context, stamp)
            context.cancelled = context.scheduler.cancelled
            group.cancel_scope.cancel()

    anyio.run(run)


@when("that host sends heartbeats for {duration_s:g} s that return the {which} stamp")
def return_each(context: Context, duration_s: float, which: str) -> None:
    async def play(context: Context, first: LeaderStamp) -> None:
        stamp = first
        with anyio.move_on_after(duration_s):
            while True:
                newest = await beat(context, stamp)
                stamp = newest if which == "newest" else first
                await anyio.sleep(HEARTBEAT_S)

    play_with_service(context, play)


@then("its job goes on")
def check_goes_on(context: Context) -> None:
    assert not context.cancelled


@then("its job is cancelled")
def check_cancelled(context: Context) -> None:
    assert context.cancelled


@when("that host is silent for {silence_s:g} s and returns a newer stamp then")
def lapse(context: Context, silence_s: float) -> None:
    async def play(context: Context, first: LeaderStamp) -> None:
        waits = context.scheduler.sender.still_waits
        newer = await beat(context, first)
        context.waits = [waits()]
        await anyio.sleep(silence_s)
        context.waits.append(waits())
        newest = await beat(context, newer)
        context.waits.append(waits())
        await beat(context, newest)
        context.waits.append(waits())

    # On a busy machine the silence may be long enough to cancel the job.
    play_with_service(context, play, watches_senders=False)


@then("nothing may start for it until it returns a stamp from after its silence")
def check_lapse(context: Context) -> None:
    assert context.waits == [True, False, False, True], context.waits


# Decisions of an entry host


@given("an entry host whose leader last replied {age_s:g} s ago")
def given_contacts(context: Context, age_s: float) -> None:
    context.contacts = LeaderContacts()
    with mock.patch.object(time, "monotonic", return_value=time.monotonic() - age_s):
        context.contacts.record_reply("1", LeaderStamp("1", 1.0), ())
    context.submitter = JobSubmitter("h2", mock.Mock(), PauseMonitor(), "1", context.contacts)


@when("it gets a job, and the leader replies {delay_s:g} s later")
def reply_later(context: Context, delay_s: float) -> None:
    context.sent = []

    async def exchange(_pool: ConnectionPool, request: Request, _timeout_s: float) -> Response:
        context.sent.append(decode_submission(request.body))
        return encode_answer(Succeeded())

    async def submit() -> None:
        context.answers = [await context.submitter.submit(JOB, 0.0)]

    async def run() -> None:
        wait = context.contacts.changed.wait
        with (
            mock.patch.object(ConnectionPool, "exchange", exchange),
            mock.patch.object(context.contacts.changed, "wait", side_effect=wait) as waits,
        ):
            context.submitter.set_leader(RemoteLeader("127.0.0.1:1", "1", {"z1": FENCES[0]}))
            async with anyio.create_task_group() as group:
                group.start_soon(submit)
                await anyio.sleep(delay_s)
                context.sent_before = list(context.sent)
                context.contacts.record_reply("1", LeaderStamp("1", 2.0), ())
        context.wakes = waits.call_count

    anyio.run(run)


@then("the job is sent with the stamp of that reply")
def check_stamp(context: Context) -> None:
    assert not context.sent_before, context.sent_before
    assert [submission.stamp for submission in context.sent] == [LeaderStamp("1", 2.0)]
    assert context.wakes < MOST_WAKES, context.wakes
    answers: list[Answer] = context.answers
    assert answers == [Succeeded()], answers
