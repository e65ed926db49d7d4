"""Steps for the election of a leader, with an in-memory log and a fake leader monitor."""

from dataclasses import dataclass, field
from types import SimpleNamespace

import anyio
from behave import given, then, when
from behave.runner import Context
from support.terms import HangingPollLog

from fireflybridge_entry import LeaderLoss
from fireflybridge_host._election import LeaderElection
from fireflybridge_host._event_logger import EventLogger
from fireflybridge_leadership import Holder, Leadership, Term

OWN = Holder("h2", "1", "127.0.0.1:2")
LOST = Holder("h1", "1", "127.0.0.1:1")
OTHER = Holder("h3", "1", "127.0.0.1:3")
TIMEOUT_S = 10.0


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
    election = LeaderElection(
        SimpleNamespace(
            failure_domain="z2",
            failure_domains=("z1", "z2", "z3"),
            strength=1.0,
            joined_upstreams=3,
        ),
        OWN,
        leadership,
        context.monitor,
        SimpleNamespace(set_leader=ignore, renew_leader=ignore),
        SimpleNamespace(lead=ignore, upstream_count=3),
        SimpleNamespace(set_leading=ignore),
        SimpleNamespace(find_strongest=ignore),
        EventLogger(),
    )
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
