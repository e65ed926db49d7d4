"""Steps for moving tasks between daemons, and for messages to peers without a working link.

The task mover, the replies and the forwarding are called directly, with a fake link to the peer.
"""

from dataclasses import dataclass, field
from types import SimpleNamespace

import anyio
from behave import given, then, when
from behave.runner import Context
from result import Err, Ok, Result
from support.checks import expect, make_request
from support.deployment import Deployment
from support.dispatch import QueueFixture
from support.processes import wait_until

from fireflybridge_core import MayHaveRun, Outcome, Pending, Submission, Task
from fireflybridge_daemon._forwarding import Forwarding
from fireflybridge_daemon._replies import Replies
from fireflybridge_daemon._task_mover import TaskMover
from fireflybridge_peers import Answer as AnswerMessage
from fireflybridge_peers import Cancel, Lost, Message, PeerStalled, Pull, SendFailure, UnknownPeer
from fireflybridge_telemetry import Metrics, Tracer

FIRST_INCARNATION = "first"


@dataclass
class MoverFixture:
    """Task mover with its queue, and the messages and outcomes that it has sent."""

    bench: QueueFixture = field(default_factory=lambda: QueueFixture(1, 4))
    sent: list[Message] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)

    def __post_init__(self) -> None:
        tracer = Tracer(0.0, None)
        self.replies = Replies(self.send)
        self.mover = TaskMover(
            self, self.replies, self.deliver, Metrics(), tracer, lambda: self.bench.now
        )

    def deliver(self, task: Task, outcome: Outcome) -> bool:
        """Record an outcome."""
        self.outcomes.append(outcome)
        return True

    def send(self, peer: str, message: Message) -> Ok[None]:
        """Record a message."""
        self.sent.append(message)
        return Ok(None)

    def find_runner(self, pool: str) -> SimpleNamespace:
        """Return the attributes of a pool runner that the mover uses."""
        return SimpleNamespace(
            queue=self.bench.queue, owned={"u0"}, local_slots=self.bench.slots, running=0
        )


@given("a mover with {count:d} queued tasks")
def start_mover(context: Context, count: int) -> None:
    context.fixture = MoverFixture()
    if count:
        context.fixture.bench.queue.put(context.fixture.bench.make_job(count))


@when("the restarted peer pulls {count:d} tasks from the mover")
def pull_tasks(context: Context, count: int) -> None:
    context.fixture.mover.answer_pull("p", Pull("p", count))


@when("the mover's session {session} ends with that message {state}")
def end_session(context: Context, session: str, state: str) -> None:
    messages = tuple(context.fixture.sent)
    assert len(messages) == 1
    unsent = state == "unsent"
    incarnation = FIRST_INCARNATION if session == "with the first incarnation" else ""
    lost = Lost("p", incarnation, () if unsent else messages, messages if unsent else ())
    context.fixture.mover.drop_peer(lost)


@then("the mover has {queued:d} tasks queued and {unknown:d} that may have run")
def check_settled(context: Context, queued: int, unknown: int) -> None:
    fixture: MoverFixture = context.fixture
    assert fixture.mover.assigned == 0, "tasks without an outcome until their deadline"
    assert fixture.bench.queue.queued == queued
    assert len(fixture.outcomes) == unknown
    assert all(isinstance(outcome, MayHaveRun) for outcome in fixture.outcomes), fixture.outcomes


@when(
    "a peer offers {count:d} tasks to the mover every {step_s:g} s for {total_s:g} s and never answers"
)
def offer_tasks(context: Context, count: int, step_s: float, total_s: float) -> None:
    for _ in range(round(total_s / step_s)):
        context.fixture.mover.record_backlog("p", "p", count)
        context.fixture.bench.now += step_s


@then("the mover has asked that peer {times:d} times")
def check_pull_count(context: Context, times: int) -> None:
    assert context.fixture.sent == [Pull("p", 4)] * times, context.fixture.sent


@when("the pool of a job queued at d2 is removed while d2 can hand nothing to d1")
def remove_pool(context: Context) -> None:
    deployment: Deployment = context.deployment
    deployment.proxy.set_faults("d2-d1", faults=[{"kind": "drop"}])
    prefix = deployment.make_prefix("d2")
    jobs = [make_request(100, 400, prefix=prefix, deadline_ms=30_000) for _ in range(2)]
    context.sent = [context.ledger.send("d2", job) for job in jobs]
    context.ledger.wait_started(jobs[0])
    routes, pools = deployment.plan.routes, deployment.make_pools()
    deployment.publish(routes.replace('"desk"', '"spare"'), pools.replace('"desk"', '"spare"'))
    for name in deployment.daemons:
        wait_until(
            lambda n=name: deployment.read_status(n)["tables_revision"] == deployment.revision,
            detail=f"the revision at {name}",
        )
    # Waiting for this many consecutive starts leaves enough time to remove an idle pool.
    started = len(deployment.read_starts())
    wait_until(
        lambda: len(deployment.read_starts())
        > started + 2 * deployment.plan.workers * deployment.plan.slots
    )


@when("the link from d2 to d1 heals")
def heal_link(context: Context) -> None:
    context.deployment.proxy.clear_faults("d2-d1")


@then("d1 runs tasks of that job")
def check_accepted(context: Context) -> None:
    wait_until(
        lambda: context.deployment.read_status("d1")["tasks_accepted_from_peers"] > 0,
        detail="d1 has tasks of d2",
    )
    for call in context.sent:
        expect(call.result(), state="complete")


@given("an answer to a peer whose link has stalled")
def hold_reply(context: Context) -> None:
    context.link: list[Message] = []
    context.failure = Err(PeerStalled("p"))

    def send(peer: str, message: Message) -> Result[None, SendFailure]:
        if context.failure is not None:
            return context.failure
        context.link.append(message)
        return Ok(None)

    context.replies = Replies(send)
    context.answers = [AnswerMessage(number, Pending()) for number in (1, 2)]
    context.replies.send("p", context.answers[0])
    context.replies.hold_unsent("p", (Pull("p", 1), context.answers[1]))


@when("that peer is heard, and later heard over a link that works")
def hear_peer(context: Context) -> None:
    context.replies.send_held("p")
    assert context.link == []
    context.failure = None
    context.replies.send_held("p")
    context.replies.send_held("p")


@then("the peer gets the answer once")
def check_answer(context: Context) -> None:
    assert context.link == context.answers, context.link


@when("a question goes to a peer that is heard {polls:d} polls before it has a link")
def request_while_unlinked(context: Context, polls: int) -> None:
    context.requests = []

    def send(peer: str, message: Message) -> Result[None, SendFailure]:
        context.requests.append(message)
        return Err(UnknownPeer(peer)) if len(context.requests) <= polls else Ok(None)

    async def ask() -> None:
        directory = SimpleNamespace(find_peer=lambda executor: "p", send=send)
        async with anyio.create_task_group() as group:
            forwarding = Forwarding(directory, Replies(send), group, Tracer(0.0, None))
            group.start_soon(answer_request, forwarding)
            submission = Submission("key", "", "", (b"x",), deadline_s=10.0)
            context.answer = await forwarding.forward("first", submission, b"digest")

    async def answer_request(forwarding: Forwarding) -> None:
        while len(context.requests) <= polls:
            await anyio.sleep(0.01)
        forwarding.receive(AnswerMessage(context.requests[-1].request_id, Pending()))

    anyio.run(ask)


@then("its answer is the peer's")
def check_peer_answer(context: Context) -> None:
    assert context.answer == Pending(), context.answer


@when("a cancellation goes to a peer that is heard {polls:d} polls before it has a link")
def cancel_while_unlinked(context: Context, polls: int) -> None:
    attempts: list[Message] = []
    context.delivered = []

    def send(peer: str, message: Message) -> Result[None, SendFailure]:
        attempts.append(message)
        if len(attempts) <= polls:
            return Err(UnknownPeer(peer))
        context.delivered.append(message)
        return Ok(None)

    async def cancel() -> None:
        directory = SimpleNamespace(list_peers=lambda: ("p",), send=send)
        async with anyio.create_task_group() as group:
            Forwarding(directory, Replies(send), group, Tracer(0.0, None)).cancel("key")

    anyio.run(cancel)


@then("the peer gets the cancellation once")
def check_cancellation(context: Context) -> None:
    assert context.delivered == [Cancel(("key",))], context.delivered
