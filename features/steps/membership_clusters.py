"""Steps for several memberships in one process with a shared clock."""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from behave import given, then, when
from behave.runner import Context

from fireflybridge_core import CLAIM_SHARDS
from fireflybridge_membership import DaemonReport, MemberKind, MemberRecord, Membership, Resource

STEP_S = 0.5


@dataclass
class Cluster:
    """Several memberships in one process with a shared clock.

    Daemons in ``silent`` exchange no heartbeats and count as dead; those in ``paused`` do not run
    and keep their state.
    """

    names: list[str]
    upstreams: list[Resource]
    now: float = 0.0
    members: dict[str, Membership] = field(default_factory=dict)
    incarnations: Counter[str] = field(default_factory=Counter)
    silent: set[str] = field(default_factory=set)
    paused: set[str] = field(default_factory=set)

    def start(self, name: str) -> None:
        """Start a daemon, or start it again as a new incarnation."""
        self.incarnations[name] += 1
        self.members[name] = Membership(name, "x", self.now)
        self.members[name].set_upstreams(self.upstreams, self.now)
        self.members[name].apply_list(self.list_records(), self.now)

    def list_records(self) -> list[MemberRecord]:
        """Return the platform's list of these daemons."""
        return [
            MemberRecord(name, MemberKind.DAEMON, False, "x", f"{name}:1") for name in self.names
        ]

    def exchange(self) -> None:
        """Deliver one heartbeat from each running daemon to every other one."""
        running = [name for name in self.names if name not in self.silent | self.paused]
        reports = {name: self.report(name) for name in running}
        for name in running:
            for report in reports.values():
                self.members[name].record_heartbeat(report, self.now)
        for name in set(self.names) - self.paused:
            self.members[name].tick(self.now)

    def report(self, name: str) -> DaemonReport:
        """Return the daemon's current heartbeat."""
        return DaemonReport(name, str(self.incarnations[name]), "x", self.members[name].state)

    def advance(self, seconds: float) -> None:
        """Advance the clock, with two rounds of heartbeats a second."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.exchange()

    def find_users(self) -> dict[str, list[str]]:
        """Return the names of the running daemons that use each resource."""
        users: dict[str, list[str]] = {upstream.name: [] for upstream in self.upstreams}
        users |= {f"claims-{shard:02}": [] for shard in range(CLAIM_SHARDS)}
        for name in set(self.names) - self.silent - self.paused:
            member = self.members[name]
            for resource in member.list_upstreams(self.now) + member.list_shards(self.now):
                users[resource.name].append(name)
        return users


def start_cluster(count: int, upstreams: int) -> Cluster:
    cluster = Cluster(
        [f"d{number}" for number in range(count)],
        [Resource(f"u{number}", "x") for number in range(upstreams)],
    )
    for name in cluster.names:
        cluster.start(name)
    return cluster


@given("{count:d} memberships that start together and {upstreams:d} upstreams")
def start_memberships(context: Context, count: int, upstreams: int) -> None:
    context.cluster = start_cluster(count, upstreams)


@given("the memberships hear each other")
@when("the memberships hear each other")
def hear_all(context: Context) -> None:
    context.cluster.exchange()
    context.users = context.cluster.find_users()


@given("membership {number:d} falls silent and 3 s pass")
@when("membership {number:d} falls silent and 3 s pass")
def stop_member(context: Context, number: int) -> None:
    context.cluster.silent.add(f"d{number}")
    context.cluster.advance(3.0)


@when("membership {number:d} restarts and the memberships hear each other")
def restart_member(context: Context, number: int) -> None:
    context.cluster.silent.clear()
    context.cluster.start(f"d{number}")
    context.cluster.exchange()


@when("membership {number:d} is paused for {seconds:g} s")
def pause_member(context: Context, number: int, seconds: float) -> None:
    context.cluster.paused.add(f"d{number}")
    context.cluster.advance(seconds)


@then("membership {number:d} uses nothing")
def check_idle(context: Context, number: int) -> None:
    cluster = context.cluster
    member = cluster.members[f"d{number}"]
    assert not member.list_upstreams(cluster.now) + member.list_shards(cluster.now)


@when("membership {number:d} resumes and hears the others, which do not hear it yet")
def resume_receiving_only(context: Context, number: int) -> None:
    cluster = context.cluster
    cluster.paused.clear()
    for name in cluster.names:
        cluster.members[f"d{number}"].record_heartbeat(cluster.report(name), cluster.now)


@when("membership {number:d} resumes and the memberships hear each other")
def resume_member(context: Context, number: int) -> None:
    context.cluster.paused.clear()
    context.cluster.exchange()


@when("3 s pass in which the memberships hear each other")
def advance_cluster(context: Context) -> None:
    context.cluster.advance(3.0)


@then("each resource is used by exactly one membership")
def check_one_user(context: Context) -> None:
    wrong = {name: used for name, used in context.cluster.find_users().items() if len(used) != 1}
    assert not wrong, wrong


@then("no resource is used by two memberships")
def check_no_overlap(context: Context) -> None:
    wrong = {name: used for name, used in context.cluster.find_users().items() if len(used) > 1}
    assert not wrong, wrong


@then("only resources of membership {number:d} moved")
def check_moved(context: Context, number: int) -> None:
    users = context.cluster.find_users()
    moved = {name for name, used in users.items() if used != context.users[name]}
    assert moved == {name for name, used in context.users.items() if used == [f"d{number}"]}


@then("the memberships agree on the registrar of all {count:d} shards")
def check_registrars(context: Context, count: int) -> None:
    cluster = context.cluster
    for shard in range(count):
        found = {m.find_registrar(shard, cluster.now) for m in cluster.members.values()}
        assert [*found] == context.users[f"claims-{shard:02}"], found


@then("the membership invariants hold over {count:d} random histories of {daemons:d} daemons")
def check_histories(context: Context, count: int, daemons: int) -> None:
    for number in range(count):
        random = Random(number)
        cluster = start_cluster(daemons, 30)
        cluster.exchange()
        for _ in range(12):
            change_random_member(cluster, random)
            cluster.advance(random.choice((STEP_S, 2.0, 4.0)))
            overlaps = {name: used for name, used in cluster.find_users().items() if len(used) > 1}
            assert not overlaps, f"history {number}: {overlaps}"
        for name in sorted(cluster.silent):
            cluster.start(name)
        cluster.silent.clear()
        cluster.paused.clear()
        cluster.advance(7.0)
        assert all(len(used) == 1 for used in cluster.find_users().values()), f"history {number}"


def change_random_member(cluster: Cluster, random: Random) -> None:
    """Stop, restart, pause or resume one daemon."""
    name = random.choice(cluster.names)
    if name in cluster.silent:
        cluster.silent.remove(name)
        cluster.start(name)
    elif name in cluster.paused:
        cluster.paused.remove(name)
    else:
        random.choice((cluster.silent, cluster.paused)).add(name)
