"""Steps for the election of a leader, with an in-memory log and a fake leader monitor."""

from dataclasses import dataclass, field
from types import SimpleNamespace

import anyio
from behave import given, then, when
from behave.runner import Context
from support.recording_scheduler import RecordingScheduler
from support.terms import HangingPollLog
from support.upstreams import make_job, wait_until

from fireflybridge_entry import JobSubmitter, LeaderLoss, LocalLeader, Peer, RemoteLeader
from fireflybridge_host._election import LeaderElection
from fireflybridge_host._event_logger import EventLogger
from fireflybridge_http import Request, Response
from fireflybridge_leadership import AppendResult, Holder, Leadership, Term, compute_fence
from fireflybridge_pauses import PauseMonitor

OWN = Holder("h2", "1", "127.0.0.1:2")
LOST = Holder("h1", "1", "127.0.0.1:1")
OTHER = Holder("h3", "1", "127.0.0.1:3")
TIMEOUT_S = 10.0
FOLLOWING_S = 0.3
GAINED_OFFSET = 3
# An entry host submits a moved job again after this time, and a host that leads nothing gives it up
# after twice as long.
MOVED_JOB_WAIT_S = 0.05


@dataclass
class FailingLeaderMonitor:
    """A monitor whose leader is lost; another host claims a failure domain before the loss."""

    log: HangingPollLog
    peers: tuple[object, ...] = ()
    probed: list[Holder] = field(default_factory=list)

    async def watch(self, term: Term, duration_s: float | None = None) -> LeaderLoss:
        """Report the loss after another host has replaced the leader in its own failure domain."""
        await self.log.append(("z3",), OTHER, len(self.log.terms))
        return LeaderLoss("timed out")

    async def find_peers(self, address: str) -> None:
        """Find no peers."""

    async def probe(self, holder: Holder) -> bool:
        """Record a probe, which gets no reply."""
        self.probed.append(holder)
        return False


def ignore(*_arguments: object) -> None:
    """Do nothing."""


@given("a host that follows a lost leader, and a concurrent claim of another failure domain")
def prepare(context: Context) -> None:
    context.log = HangingPollLog()
    context.monitor = FailingLeaderMonitor(context.log)


@when("the host replaces the leader")
def replace_leader(context: Context) -> None:
    anyio.run(run_election, context)


async def run_election(context: Context) -> None:
    """Run the host's part in the election until it leads its failure domain."""
    await context.log.append(("z1", "z2", "z3"), LOST, 0)
    leadership = Leadership(context.log, ignore)
    submitter = SimpleNamespace(set_leader=ignore, renew_leader=ignore)
    scheduler = SimpleNamespace(lead=ignore, upstream_count=3)
    election = make_election(leadership, context.monitor, submitter, scheduler)
    async with anyio.create_task_group() as group:
        group.start_soon(election.apply_terms)
        group.start_soon(election.run)
        group.start_soon(leadership.follow)
        with anyio.move_on_after(TIMEOUT_S):
            while not election.leads:
                await leadership.changed.wait()
        context.probed = list(context.monitor.probed)
        group.cancel_scope.cancel()
    context.leads = election.leads


@then("it leads its failure domain without probing the lost leader")
def check_lead(context: Context) -> None:
    assert context.leads
    assert not context.probed, context.probed


class GainingLeaderMonitor(FailingLeaderMonitor):
    """A monitor whose leader gains a failure domain, and is lost once a job was sent to it."""

    def __init__(self, log: HangingPollLog, leadership: Leadership, sent: anyio.Event) -> None:
        super().__init__(log)
        self._leadership = leadership
        self._sent = sent

    async def watch(self, term: Term, duration_s: float | None = None) -> LeaderLoss:
        """Add a term of the leader, wait for a job, and report the loss."""
        self._leadership.add_terms((Term("z1", term.holder, compute_fence(GAINED_OFFSET)),))
        await self._sent.wait()
        return LeaderLoss("timed out")


class SilentPool:
    """Connections to a leader that receives a job and never answers."""

    def __init__(self) -> None:
        self.sent = anyio.Event()

    async def exchange(self, request: Request, timeout_s: float) -> Response:
        """Never return."""
        self.sent.set()
        await anyio.sleep_forever()
        raise AssertionError


def make_election(
    leadership: Leadership,
    monitor: object,
    submitter: object,
    scheduler: object,
    strongest: Peer | None = None,
) -> LeaderElection:
    return LeaderElection(
        SimpleNamespace(
            failure_domain="z2",
            failure_domains=("z1", "z2", "z3"),
            strength=1.0,
            joined_upstreams=3,
        ),
        OWN,
        leadership,
        monitor,
        submitter,
        scheduler,
        SimpleNamespace(set_leading=ignore, refresh_soon=ignore, note_silence=ignore),
        SimpleNamespace(find_strongest=lambda _domains: strongest),
        EventLogger(),
    )


@when("its leader gains a failure domain, gets a job and is lost")
def lose_grown_leader(context: Context) -> None:
    anyio.run(follow_growing_leader, context)


async def follow_growing_leader(context: Context) -> None:
    """Follow a leader of one failure domain that gains another, and replace it."""
    log = HangingPollLog()
    await log.append(("z2",), LOST, 0)
    leadership = Leadership(log, ignore)
    scheduler = RecordingScheduler()
    submitter = JobSubmitter(OWN.host, scheduler, PauseMonitor())
    pool = SilentPool()
    submitter._pools[LOST.address] = pool
    monitor = GainingLeaderMonitor(log, leadership, pool.sent)
    election = make_election(leadership, monitor, submitter, scheduler)
    async with anyio.create_task_group() as group:
        group.start_soon(election.apply_terms)
        group.start_soon(election.run)
        group.start_soon(leadership.follow)
        with anyio.move_on_after(TIMEOUT_S):
            await submitter.submit(make_job("a", 1), 0.0)
        group.cancel_scope.cancel()
    context.earlier = scheduler.earlier


@then("the job's earlier runs are looked for in both failure domains of the lost leader")
def check_domains(context: Context) -> None:
    expected = {"z1": compute_fence(GAINED_OFFSET), "z2": compute_fence(0)}
    assert context.earlier is not None
    assert dict(context.earlier.domains) == expected, context.earlier


class SilentAppendLog(HangingPollLog):
    """An in-memory log of terms whose appends get no response."""

    async def append(self, domains: tuple[str, ...], holder: Holder, end: int) -> AppendResult:
        """Never return."""
        await anyio.sleep_forever()
        raise AssertionError


@when("it hears of a newer term while its own append gets no answer")
def lose_provisional_term(context: Context) -> None:
    anyio.run(hear_of_newer_term, context)


async def hear_of_newer_term(context: Context) -> None:
    """Lead provisionally, and learn during a claim that another host leads."""
    log = SilentAppendLog()
    log.terms.append(Term("z2", LOST, compute_fence(0)))
    leadership = Leadership(log, ignore)
    submitter = JobSubmitter(OWN.host, RecordingScheduler(), PauseMonitor())
    scheduler = SimpleNamespace(lead=ignore, upstream_count=3)
    election = make_election(leadership, SilentLeaderMonitor(), submitter, scheduler)
    async with anyio.create_task_group() as group:
        group.start_soon(election.apply_terms)
        group.start_soon(election.run)
        group.start_soon(leadership.follow)
        with anyio.fail_after(TIMEOUT_S):
            while submitter._leader != LocalLeader():
                await anyio.sleep(0.01)
        await anyio.sleep(0.1)
        leadership.add_terms((Term("z2", OTHER, compute_fence(1)),))
        await anyio.sleep(MOVED_JOB_WAIT_S)
        context.leader = submitter._leader
        group.cancel_scope.cancel()


class SilentLeaderMonitor:
    """A monitor whose first leader is lost; the next one stays."""

    peers: tuple[object, ...] = ()

    async def find_peers(self, address: str) -> None:
        """Find no peers."""

    async def watch(self, term: Term, duration_s: float | None = None) -> LeaderLoss:
        """Report the loss of the first leader."""
        if term.holder != LOST:
            await anyio.sleep_forever()
        return LeaderLoss("timed out")

    async def probe(self, holder: Holder) -> bool:
        """Return that the host doesn't reply."""
        return False


@then("it no longer submits its callers' jobs to itself")
def check_not_local(context: Context) -> None:
    assert isinstance(context.leader, RemoteLeader), context.leader
    assert context.leader.address == OTHER.address, context.leader


class WatchingMonitor(SilentLeaderMonitor):
    """A monitor that notes which leaders it watches."""

    def __init__(self) -> None:
        self.watched: list[Holder] = []

    async def watch(self, term: Term, duration_s: float | None = None) -> LeaderLoss:
        """Note the leader, which is never lost."""
        self.watched.append(term.holder)
        await anyio.sleep_forever()
        raise AssertionError


@when("a host is replaced while it waits to hand over to a stronger one")
def replace_waiting_leader(context: Context) -> None:
    anyio.run(lose_term_before_hand_over, context)


async def lose_term_before_hand_over(context: Context) -> None:
    """Lead, find a stronger host, and learn 0.1 s later that it leads already."""
    log = HangingPollLog()
    await log.append(("z2",), OWN, 0)
    leadership = Leadership(log, ignore)
    monitor = WatchingMonitor()
    scheduler = SimpleNamespace(lead=ignore, upstream_count=3, is_superseded=lambda _domain: False)
    submitter = SimpleNamespace(set_leader=ignore, renew_leader=ignore)
    stronger = Peer(OTHER, "z2", 4.0)
    election = make_election(leadership, monitor, submitter, scheduler, stronger)
    async with anyio.create_task_group() as group:
        group.start_soon(election.apply_terms)
        group.start_soon(election.run)
        group.start_soon(leadership.follow)
        await wait_until(lambda: election.leads)
        await anyio.sleep(0.1)
        assert not monitor.watched, monitor.watched
        leadership.add_terms((Term("z2", OTHER, compute_fence(1)),))
        with anyio.move_on_after(FOLLOWING_S):
            await wait_until(lambda: monitor.watched)
        context.watched = list(monitor.watched)
        group.cancel_scope.cancel()


@then("it sends heartbeats to the next leader within 0.3 s")
def check_watched(context: Context) -> None:
    assert context.watched == [OTHER], context.watched
