"""Steps for limits over all daemons: the division rule, simulated daemons and real daemons."""

import random
import threading
from bisect import bisect_right
from collections import deque
from dataclasses import dataclass, field
from itertools import permutations

import msgspec
from behave import given, then, when
from behave.runner import Context
from support.deployment import Deployment, Plan
from support.processes import wait_until

from fireflybridge_dispatch import (
    OwnReport,
    PeerReport,
    QuotaCoordinator,
    TeamClaim,
    TeamDemand,
    TeamKey,
)
from fireflybridge_dispatch._quotas import DaemonClaim, find_guaranteed_slots, share_limit
from fireflybridge_peers import (
    Heartbeat,
    PeerState,
    PoolClaims,
    QuotaReport,
    TeamUse,
    decode_batch,
    encode_batch,
)
from fireflybridge_peers._wire import WireHeartbeat, WirePoolLoad

KEY = TeamKey("p", "t")
STEP_S = 0.05
STEPS_PER_REFRESH = 10
STEPS_PER_HEARTBEAT = 20
SEEDS = range(60)
LONGEST_RUN_STEPS = 100
RUN_STEPS = (5, 100, 400)
# Two reports, each followed by a heartbeat, and the longest run of a task that started before.
SETTLE_STEPS = 2 * (STEPS_PER_HEARTBEAT + STEPS_PER_REFRESH) + LONGEST_RUN_STEPS
TASK_S = 0.3
JOB_TASKS = 120
JOBS = 3


@dataclass(slots=True)
class QuotaDaemon:
    """Simulate a daemon: its quota reports, the end steps of its running tasks, and its queue."""

    name: str
    coordinator: QuotaCoordinator
    allowance: int
    limit: int
    queued: int = 0
    ends: deque[int] = field(default_factory=deque)

    def refresh(self, peers: list[str]) -> None:
        """Make a report and take the new allowance."""
        held = len(self.ends)
        demands = [TeamDemand(KEY, self.limit, held, self.queued)] if held + self.queued else []
        allowances = self.coordinator.refresh(demands, peers)
        guaranteed = find_guaranteed_slots(self.limit, self.coordinator.daemons)
        self.allowance = allowances[KEY].slots if demands else guaranteed


@dataclass(slots=True)
class QuotaCluster:
    """Simulate daemons that exchange quota reports on a clock of steps."""

    limit: int
    count: int
    rng: random.Random
    now: int = 0
    loss: float = 0.0  # of the exchanges between daemons
    daemons: list[QuotaDaemon] = field(default_factory=list)

    def __post_init__(self) -> None:
        guaranteed = find_guaranteed_slots(self.limit, self.count)
        for number in range(self.count):
            coordinator = QuotaCoordinator(
                f"d{number}", self.rng.randint(1, 99), lambda: self.now * STEP_S
            )
            self.daemons.append(QuotaDaemon(f"d{number}", coordinator, guaranteed, self.limit))

    def advance(self, longest_run: int = LONGEST_RUN_STEPS) -> None:
        """Advance the clock by one step: end tasks, make and exchange reports, start tasks."""
        self.now += 1
        for number, daemon in enumerate(self.daemons):
            daemon.ends = deque(end for end in daemon.ends if end > self.now)
            if (self.now + number) % STEPS_PER_REFRESH == 0:
                daemon.refresh([peer.name for peer in self.daemons if peer is not daemon])
        for index, (sender, receiver) in enumerate(permutations(self.daemons, 2)):
            due = sender.name < receiver.name and (self.now + 7 * index) % STEPS_PER_HEARTBEAT == 0
            if due and self.rng.random() >= self.loss:
                request, reply = sender.coordinator.report, receiver.coordinator.report
                deliver_report(receiver, sender, request)
                deliver_report(sender, receiver, reply)
        for daemon in self.daemons:
            while daemon.queued and len(daemon.ends) < daemon.allowance:
                daemon.queued -= 1
                daemon.ends.append(self.now + self.rng.randint(1, longest_run))

    @property
    def used(self) -> int:
        """Return the slots in use through all daemons."""
        return sum(len(daemon.ends) for daemon in self.daemons)


def deliver_report(receiver: QuotaDaemon, sender: QuotaDaemon, report: OwnReport) -> None:
    acknowledged = report.acknowledged.get(receiver.name, 0)
    received = PeerReport(report.number, acknowledged, report.complete, report.claims)
    receiver.coordinator.receive(sender.name, received)


@given('quota daemons that hold and want "{claims}"')
def set_claims(context: Context, claims: str) -> None:
    pairs = [claim.split("/") for claim in claims.split(", ")]
    context.claims = [
        DaemonClaim(f"d{number}", TeamClaim(int(held), int(wanted)))
        for number, (held, wanted) in enumerate(pairs)
    ]


@then('their quota shares of a limit of {limit:d} are "{shares}"')
def check_shares(context: Context, limit: int, shares: str) -> None:
    claims = context.claims
    found = [share_limit(limit, own, [c for c in claims if c is not own]) for own in claims]
    assert ",".join(map(str, found)) == shares, found


@then(
    "in any simulation of {count:d} quota daemons use stays within the limit"
    " plus the guaranteed slots of {others:d}"
)
def check_bound_in_simulations(context: Context, count: int, others: int) -> None:
    for seed in SEEDS:
        rng = random.Random(seed)
        limit = rng.randint(1, 40)
        cluster = QuotaCluster(limit, count, rng, loss=0.2)
        bound = limit + others * find_guaranteed_slots(limit, count)
        for _ in range(1000):
            if rng.random() < 0.05:
                rng.choice(cluster.daemons).queued += rng.randint(1, 3 * limit)
            cluster.advance(rng.choice(RUN_STEPS))
            assert cluster.used <= bound, (seed, cluster.now, limit, cluster.used, bound)


@then("in any simulation where every quota daemon wants the whole limit, use settles at the limit")
def check_settling(context: Context) -> None:
    for seed in SEEDS:
        rng = random.Random(seed)
        limit = rng.randint(4, 40)
        cluster = QuotaCluster(limit, 4, rng)
        cluster.daemons[0].queued = 100_000
        for _ in range(SETTLE_STEPS):
            cluster.advance()
        for daemon in cluster.daemons:
            daemon.queued = 100_000
        for _ in range(SETTLE_STEPS):
            cluster.advance()
        for _ in range(100):
            cluster.advance()
            assert cluster.used <= limit, (seed, cluster.now, limit, cluster.used)
        assert cluster.used == limit, (seed, limit, cluster.used)


@given("{count:d} quota daemons whose team has a limit of {limit:d}")
def make_daemons(context: Context, count: int, limit: int) -> None:
    context.cluster = QuotaCluster(limit, count, random.Random(1))


@when("quota daemon {number:d} wants {slots:d} slots and reports are exchanged")
def want_slots(context: Context, number: int, slots: int) -> None:
    context.cluster.daemons[number].queued = 10_000 * slots
    exchange_reports(context)


@when("quota daemon {number:d} is lost and reports are exchanged")
def lose_daemon(context: Context, number: int) -> None:
    del context.cluster.daemons[number]
    exchange_reports(context)


def exchange_reports(context: Context) -> None:
    for _ in range(SETTLE_STEPS):
        context.cluster.advance()


@then("quota daemon {number:d} may use {slots:d} slots")
def check_allowance(context: Context, number: int, slots: int) -> None:
    daemon = next(known for known in context.cluster.daemons if known.name == f"d{number}")
    assert daemon.allowance == slots, daemon.allowance


class EarlierHeartbeat(msgspec.Struct, array_like=True, frozen=True, tag=0):
    """Encode a heartbeat as the version before quota reports did."""

    failure_domain: str
    state: str
    tables_revision: str
    log_reachable: bool
    pools: tuple[WirePoolLoad, ...]


class EarlierBatch(msgspec.Struct, array_like=True, frozen=True):
    """Encode a batch with a heartbeat of that version."""

    sequence: int
    heartbeat: EarlierHeartbeat | None
    messages: tuple[msgspec.Raw, ...]


@then("the earlier version reads a heartbeat with a quota report, and this version one without")
def check_versions(context: Context) -> None:
    assert WireHeartbeat.__struct_fields__ == (*EarlierHeartbeat.__struct_fields__, "quotas")
    report = QuotaReport(5, 4, True, (PoolClaims("p", (TeamUse(1, 2, 3), TeamUse(2, 0, 1))),))
    heartbeat = Heartbeat("p", "1", "fd", PeerState.READY, "r", True, (), report)
    read = msgspec.msgpack.decode(encode_batch(1, heartbeat, ()), type=EarlierBatch)
    assert read.heartbeat == EarlierHeartbeat("fd", "ready", "r", True, ())
    batch = decode_batch(msgspec.msgpack.encode(read), "p", "1").unwrap()
    assert batch.heartbeat == Heartbeat("p", "1", "fd", PeerState.READY, "r", True)


@given('a deployment of three daemons whose team "{team}" may use {limit:d} of {slots:d} slots')
def deploy(context: Context, team: str, limit: int, slots: int) -> None:
    context.deployment = Deployment(context.processes, Plan(daemons=3, workers=2, slots=slots // 6))
    deployment = context.deployment
    deployment.start()
    quota = f'[[pools.quotas]]\nteam = "{team}"\nmax_share = {limit / slots}\n'
    deployment.publish(deployment.plan.routes, deployment.make_pools() + quota)

    wait_until(
        lambda: all(
            deployment.read_status(name)["tables_revision"] == deployment.revision
            for name in deployment.daemons
        ),
        detail="tables in force",
    )


@when('jobs of teams "{first}" and "{second}" enter all daemons at the same time')
def send_jobs(context: Context, first: str, second: str) -> None:
    jobs = [
        threading.Thread(target=send_job, args=(context.deployment, name, team, f"{team}{number}"))
        for name in context.deployment.daemons
        for team, count in ((first, 1), (second, JOBS))
        for number in range(count)
    ]
    for job in jobs:
        job.start()
    for job in jobs:
        job.join()


@when('a job of team "{team}" enters daemon "{name}" alone')
def send_alone(context: Context, team: str, name: str) -> None:
    send_job(context.deployment, name, team, f"{team}-alone")


def send_job(deployment: Deployment, name: str, team: str, key: str) -> None:
    body = f"sleep={int(TASK_S * 1000)};x"
    response = deployment.call(
        name,
        "POST",
        "/v1/jobs",
        json={"route": "booking", "deadline_ms": 60000, "tasks": [{"body": body}] * JOB_TASKS},
        headers={
            "Idempotency-Key": f"{deployment.make_prefix(name)}.{key}",
            "Fireflybridge-Team": team,
        },
    )
    assert response.status_code == 200, response.text


def read_starts(context: Context, team: str) -> list[float]:
    """Return the start times of a team's tasks; the workers ran each for at least ``TASK_S``."""
    starts = context.deployment.read_starts()
    return sorted(start["at"] for start in starts if start["key"].split(".")[1].startswith(team))


def count_running(starts: list[float], at: float) -> int:
    return bisect_right(starts, at) - bisect_right(starts, at - TASK_S)


@then(
    'starts of "{team}" stay within {bound:d} slots, and within {limit:d}'
    " in the second half, when daemons have exchanged reports"
)
def check_bound(context: Context, team: str, bound: int, limit: int) -> None:
    starts = read_starts(context, team)
    assert len(starts) == JOB_TASKS * len(context.deployment.daemons), len(starts)
    counts = [count_running(starts, at) for at in starts]
    assert max(counts) <= bound, max(counts)
    assert max(counts[len(counts) // 2 :]) <= limit, max(counts[len(counts) // 2 :])


@then('starts of "{team}" reach {slots:d} slots and those of "{other}" {rest:d} at the same time')
def check_rest(context: Context, team: str, slots: int, other: str, rest: int) -> None:
    first, second = read_starts(context, team), read_starts(context, other)
    found = {(count_running(first, at), count_running(second, at)) for at in sorted(first + second)}
    assert (slots, rest) in found, found


@then('starts of "{team}" reach {slots:d} slots')
def check_reached(context: Context, team: str, slots: int) -> None:
    starts = read_starts(context, team)
    assert max(count_running(starts, at) for at in starts) == slots
