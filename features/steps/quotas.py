"""Steps for limits over all daemons: the rule, books on a clock of the step, real daemons."""

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
    QuotaBook,
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
# Two heartbeats with a report before each, and the longest run of what had started before.
SETTLE_STEPS = 2 * (STEPS_PER_HEARTBEAT + STEPS_PER_REFRESH) + LONGEST_RUN_STEPS
TASK_S = 0.3
JOB_TASKS = 120
JOBS = 3


@dataclass(slots=True)
class QuotaDaemon:
    """Hold one daemon's book, its running tasks by the step they end at, and its queue."""

    name: str
    book: QuotaBook
    allowance: int
    limit: int
    queued: int = 0
    ends: deque[int] = field(default_factory=deque)

    def refresh(self, peers: list[str]) -> None:
        """Make a report and take the new allowance."""
        held = len(self.ends)
        demands = [TeamDemand(KEY, self.limit, held, self.queued)] if held + self.queued else []
        allowances = self.book.refresh(demands, peers)
        fair = find_guaranteed_slots(self.limit, self.book.daemons)
        self.allowance = allowances[KEY].slots if demands else fair


@dataclass(slots=True)
class QuotaDaemons:
    """Own the daemons and the reports on their way between them."""

    limit: int
    count: int
    rng: random.Random
    now: int = 0
    loss: float = 0.0  # of the exchanges between daemons
    daemons: list[QuotaDaemon] = field(default_factory=list)

    def __post_init__(self) -> None:
        fair = find_guaranteed_slots(self.limit, self.count)
        for number in range(self.count):
            book = QuotaBook(f"d{number}", self.rng.randint(1, 99), lambda: self.now * STEP_S)
            self.daemons.append(QuotaDaemon(f"d{number}", book, fair, self.limit))

    def pass_step(self, longest_run: int = LONGEST_RUN_STEPS) -> None:
        """End tasks, exchange reports, refresh and start tasks."""
        self.now += 1
        for number, daemon in enumerate(self.daemons):
            daemon.ends = deque(end for end in daemon.ends if end > self.now)
            if (self.now + number) % STEPS_PER_REFRESH == 0:
                daemon.refresh([one.name for one in self.daemons if one is not daemon])
        for place, (one, other) in enumerate(permutations(self.daemons, 2)):
            due = one.name < other.name and (self.now + 7 * place) % STEPS_PER_HEARTBEAT == 0
            if due and self.rng.random() >= self.loss:
                request, reply = one.book.report, other.book.report
                hear(other, one, request)
                hear(one, other, reply)
        for daemon in self.daemons:
            while daemon.queued and len(daemon.ends) < daemon.allowance:
                daemon.queued -= 1
                daemon.ends.append(self.now + self.rng.randint(1, longest_run))

    @property
    def used(self) -> int:
        """Return the slots in use through all daemons."""
        return sum(len(daemon.ends) for daemon in self.daemons)


def hear(receiver: QuotaDaemon, sender: QuotaDaemon, report: OwnReport) -> None:
    heard = report.heard.get(receiver.name, 0)
    received = PeerReport(report.number, heard, report.complete, report.claims)
    receiver.book.hear(sender.name, received)


@given('quota daemons that hold and want "{claims}"')
def note_claims(context: Context, claims: str) -> None:
    pairs = [claim.split("/") for claim in claims.split(", ")]
    context.claims = [
        DaemonClaim(f"d{number}", TeamClaim(int(held), int(wanted)))
        for number, (held, wanted) in enumerate(pairs)
    ]


@then('their quota parts of a limit of {limit:d} are "{parts}"')
def check_parts(context: Context, limit: int, parts: str) -> None:
    claims = context.claims
    found = [share_limit(limit, own, [c for c in claims if c is not own]) for own in claims]
    assert ",".join(map(str, found)) == parts, found


@then(
    "in any quota history of {count:d} daemons use stays within the limit and {parts:d} fair parts"
)
def check_histories(context: Context, count: int, parts: int) -> None:
    for seed in SEEDS:
        rng = random.Random(seed)
        limit = rng.randint(1, 40)
        group = QuotaDaemons(limit, count, rng, loss=0.2)
        bound = limit + parts * find_guaranteed_slots(limit, count)
        for _ in range(1000):
            if rng.random() < 0.05:
                rng.choice(group.daemons).queued += rng.randint(1, 3 * limit)
            group.pass_step(rng.choice(RUN_STEPS))
            assert group.used <= bound, (seed, group.now, limit, group.used, bound)


@then("in any quota history where every daemon wants all, use settles at the limit")
def check_settling(context: Context) -> None:
    for seed in SEEDS:
        rng = random.Random(seed)
        limit = rng.randint(4, 40)
        group = QuotaDaemons(limit, 4, rng)
        group.daemons[0].queued = 100_000
        for _ in range(SETTLE_STEPS):
            group.pass_step()
        for daemon in group.daemons:
            daemon.queued = 100_000
        for _ in range(SETTLE_STEPS):
            group.pass_step()
        for _ in range(100):
            group.pass_step()
            assert group.used <= limit, (seed, group.now, limit, group.used)
        assert group.used == limit, (seed, limit, group.used)


@given("{count:d} quota daemons whose team has a limit of {limit:d}")
def make_daemons(context: Context, count: int, limit: int) -> None:
    context.group = QuotaDaemons(limit, count, random.Random(1))


@when("quota daemon {number:d} wants {slots:d} slots and reports pass")
def want_slots(context: Context, number: int, slots: int) -> None:
    context.group.daemons[number].queued = 10_000 * slots
    pass_reports(context)


@when("quota daemon {number:d} is lost and reports pass")
def lose_daemon(context: Context, number: int) -> None:
    del context.group.daemons[number]
    pass_reports(context)


def pass_reports(context: Context) -> None:
    for _ in range(SETTLE_STEPS):
        context.group.pass_step()


@then("quota daemon {number:d} may use {slots:d} slots")
def check_allowance(context: Context, number: int, slots: int) -> None:
    daemon = next(one for one in context.group.daemons if one.name == f"d{number}")
    assert daemon.allowance == slots, daemon.allowance


class EarlierHeartbeat(msgspec.Struct, array_like=True, frozen=True, tag=0):
    """Encode a heartbeat as the version before quota reports did."""

    failure_domain: str
    state: str
    tables_revision: str
    log_reachable: bool
    pools: tuple[WirePoolLoad, ...]


class EarlierBatch(msgspec.Struct, array_like=True, frozen=True):
    """Encode a batch with such a heartbeat."""

    sequence: int
    heartbeat: EarlierHeartbeat | None
    messages: tuple[msgspec.Raw, ...]


@then("a heartbeat with a quota report is read by the earlier version and theirs here")
def check_versions(context: Context) -> None:
    assert WireHeartbeat.__struct_fields__ == (*EarlierHeartbeat.__struct_fields__, "quotas")
    report = QuotaReport(5, 4, True, (PoolClaims("p", (TeamUse(1, 2, 3), TeamUse(2, 0, 1))),))
    beat = Heartbeat("p", "1", "fd", PeerState.READY, "r", True, (), report)
    read = msgspec.msgpack.decode(encode_batch(1, beat, ()), type=EarlierBatch)
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


@when('jobs of teams "{first}" and "{second}" enter all daemons at once')
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
    """Return when tasks of a team's jobs started; the workers ran each for ``TASK_S`` at least."""
    starts = context.deployment.read_starts()
    return sorted(one["at"] for one in starts if one["key"].split(".")[1].startswith(team))


def count_running(starts: list[float], at: float) -> int:
    return bisect_right(starts, at) - bisect_right(starts, at - TASK_S)


@then(
    'starts of "{team}" stay within {bound:d} slots, and within {limit:d}'
    " in the second half, when daemons have heard each other"
)
def check_bound(context: Context, team: str, bound: int, limit: int) -> None:
    starts = read_starts(context, team)
    assert len(starts) == JOB_TASKS * len(context.deployment.daemons), len(starts)
    counts = [count_running(starts, at) for at in starts]
    assert max(counts) <= bound, max(counts)
    assert max(counts[len(counts) // 2 :]) <= limit, max(counts[len(counts) // 2 :])


@then('starts of "{one}" reach {slots:d} slots and those of "{other}" {rest:d} at the same time')
def check_rest(context: Context, one: str, slots: int, other: str, rest: int) -> None:
    first, second = read_starts(context, one), read_starts(context, other)
    found = {(count_running(first, at), count_running(second, at)) for at in sorted(first + second)}
    assert (slots, rest) in found, found


@then('starts of "{team}" reach {slots:d} slots')
def check_reached(context: Context, team: str, slots: int) -> None:
    starts = read_starts(context, team)
    assert max(count_running(starts, at) for at in starts) == slots
