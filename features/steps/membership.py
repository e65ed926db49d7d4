"""Steps that call a single membership, with a clock that the steps advance."""

from dataclasses import replace
from random import Random

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_values
from hypothesis import seed, settings
from hypothesis import strategies as st

from fireflybridge_membership import (
    Applied,
    Candidate,
    DaemonReport,
    DaemonState,
    IgnoredDrop,
    IgnoredEmpty,
    MemberKind,
    MemberRecord,
    Membership,
    Resource,
    find_owner,
)

STEP_S = 0.5


def split_names(text: str) -> list[str]:
    return [name for name in text.split(",") if name]


def make_record(name: str, domain: str = "x", leaving: bool = False) -> MemberRecord:
    return MemberRecord(name, MemberKind.DAEMON, leaving, domain, f"{name}:1")


def make_upstreams(count: int, domain: str = "x") -> list[Resource]:
    return [Resource(f"u{number}", domain, f"u{number}:1") for number in range(count)]


def report_daemon(name: str, state: DaemonState = DaemonState.READY) -> DaemonReport:
    return DaemonReport(name, f"{name}-1", "x", state)


@given('a membership that hears "{names}"')
@given('a membership that hears ""')
def start_membership(context: Context, names: str = "") -> None:
    context.now = 0.0
    context.membership = Membership("a", "x", context.now)
    hear_names(context, names)


def hear_names(context: Context, names: str) -> None:
    for name in split_names(names):
        context.membership.record_heartbeat(report_daemon(name), context.now)


@when('the membership gets a list of "{names}"')
@when('the membership gets a list of ""')
def apply_named_list(context: Context, names: str = "") -> None:
    records = [make_record(name) for name in split_names(names)]
    context.verdict = context.membership.apply_list(records, context.now)


@when("the membership gets an empty list")
def apply_empty_list(context: Context) -> None:
    context.verdict = context.membership.apply_list([], context.now)


@then('the membership answers the list with "{expected}"')
def check_verdict(context: Context, expected: str) -> None:
    match context.verdict:
        case Applied():
            found = "Applied"
        case IgnoredEmpty(heard):
            found = f"IgnoredEmpty({heard})"
        case IgnoredDrop(dropped):
            found = f"IgnoredDrop({','.join(dropped)})"
    assert found == expected, found


@when('{seconds:g} s pass in which the membership hears "{names}"')
@when('{seconds:g} s pass in which the membership hears ""')
def pass_time(context: Context, seconds: float, names: str = "") -> None:
    context.now += seconds
    hear_names(context, names)
    context.membership.tick(context.now)


@when('the membership hears incarnation "{incarnation}" of "{name}"')
def hear_incarnation(context: Context, incarnation: str, name: str) -> None:
    report = replace(report_daemon(name), incarnation=incarnation)
    context.membership.record_heartbeat(report, context.now)


@then('the membership knows that incarnation "{incarnation}" of "{name}" is live')
def check_incarnation(context: Context, incarnation: str, name: str) -> None:
    live = {daemon.name: daemon.incarnation for daemon in context.membership.list_live(context.now)}
    assert live == {name: incarnation}, live


@then('the membership view is "{names}"')
def check_view(context: Context, names: str) -> None:
    found = [candidate.name for candidate in context.membership.view(context.now).candidates]
    assert found == split_names(names), found


@then('the membership links to "{names}"')
def check_links(context: Context, names: str) -> None:
    found = [peer.name for peer in context.membership.list_peers()]
    assert found == split_names(names), found


def parse_candidate(text: str) -> Candidate:
    member, _, state = text.partition("/")
    name, _, domain = member.partition("@")
    return Candidate(name, domain, state == "draining")


@then(
    'the membership owner of {count:d} upstreams of "{domain}" among "{members}" is in "{owners}"'
)
@then('the membership owner of {count:d} upstreams of "{domain}" among "" is in ""')
def check_owners(
    context: Context, count: int, domain: str, members: str = "", owners: str = ""
) -> None:
    candidates = [parse_candidate(text) for text in members.split()]
    found = {find_owner(upstream, candidates) for upstream in make_upstreams(count, domain)}
    assert found == (set(split_names(owners)) or {None}), found


@given('a membership alone that owns upstreams "{names}"')
def own_upstreams(context: Context, names: str) -> None:
    context.now = 0.0
    context.membership = Membership("a", "x", context.now)
    context.membership.apply_list([make_record("a")], context.now)
    upstreams = [Resource(name, "x", f"{name}:1") for name in split_names(names)]
    context.membership.set_upstreams(upstreams, context.now)
    assert len(context.membership.list_upstreams(context.now)) == len(upstreams)


@given('the membership gets a list in which "{name}" and the address of "{other}" are leaving')
@when('the membership gets a list in which "{name}" and the address of "{other}" are leaving')
def apply_leaving_list(context: Context, name: str, other: str) -> None:
    upstream = MemberRecord(name, MemberKind.UPSTREAM, True, "x", "elsewhere:1")
    renamed = replace(upstream, name="other-name", address=f"{other}:1")
    records = [make_record("a"), upstream, renamed]
    context.verdict = context.membership.apply_list(records, context.now)


def list_used(context: Context) -> list[str]:
    return sorted(upstream.name for upstream in context.membership.list_upstreams(context.now))


@then('the membership uses upstreams "{names}" now')
def check_used(context: Context, names: str) -> None:
    assert list_used(context) == split_names(names), list_used(context)


@then('no upstream "{name}" is used by the membership')
def check_unused(context: Context, name: str) -> None:
    assert name not in list_used(context), list_used(context)


@when('the membership hears "{name}" that is "{state}"')
def hear_state(context: Context, name: str, state: str) -> None:
    context.membership.record_heartbeat(report_daemon(name, DaemonState(state)), context.now)


@given('a membership "a" that joined daemon "b" which was "{first}" and hears it')
def join_daemon(context: Context, first: str) -> None:
    context.now, context.still_heard = 0.0, False
    context.membership = Membership("a", "x", context.now)
    context.membership.set_upstreams(make_upstreams(40), context.now)
    hear_state(context, "b", first)
    context.membership.apply_list([make_record("a"), make_record("b")], context.now)
    view = context.membership.view(context.now).candidates
    owners = {upstream.name: find_owner(upstream, view) for upstream in make_upstreams(40)}
    context.upstreams_by_owner = {
        name: {u for u, owner in owners.items() if owner == name} for name in "ab"
    }
    assert all(context.upstreams_by_owner.values())


@when('the membership sees that "b" is "{event}"')
def change_daemon(context: Context, event: str) -> None:
    for _ in range(8):
        context.now += STEP_S
        hear_state(context, "b", "ready")
    if event == "draining":
        hear_state(context, "b", event)
    if event == "listed as leaving":
        records = [make_record("a"), make_record("b", leaving=True)]
        assert context.membership.apply_list(records, context.now) == Applied()
    context.still_heard = event == "listed as leaving"


@then('the membership uses the upstreams of "b" after {delay:g} s')
def check_taken_over(context: Context, delay: float) -> None:
    check_delay(context, context.upstreams_by_owner["b"], delay)


@then("the membership uses its own upstreams after {delay:g} s")
def check_own_start(context: Context, delay: float) -> None:
    while context.now + STEP_S < delay:
        assert not context.upstreams_by_owner["a"] & set(list_used(context))
        context.now += STEP_S
        hear_state(context, "b", "ready")
    check_delay(context, context.upstreams_by_owner["a"], delay - context.now)


def check_delay(context: Context, upstreams: set[str], delay: float) -> None:
    if delay:
        context.now += delay - 0.01
        if context.still_heard:
            hear_state(context, "b", "ready")
        context.membership.tick(context.now)
        assert not upstreams & set(list_used(context)), list_used(context)
        context.now += 0.01
    context.membership.tick(context.now)
    assert upstreams <= set(list_used(context)), list_used(context)


@then("the membership owners of random views are unique and move only when their member goes")
def check_owner_properties(context: Context) -> None:
    candidates = st.lists(
        st.builds(
            Candidate,
            st.sampled_from([f"d{number}" for number in range(12)]),
            st.sampled_from("xyz"),
            st.booleans(),
        ),
        min_size=1,
        unique_by=lambda candidate: candidate.name,
    )

    @seed(4711)
    @settings(derandomize=True, database=None, deadline=None)
    @given_values(candidates, st.randoms(use_true_random=False))
    def check(members: list[Candidate], random: Random) -> None:
        shuffled = random.sample(members, len(members))
        gone = random.choice(members)
        rest = [member for member in members if member != gone]
        for upstream in make_upstreams(10):
            owner = find_owner(upstream, members)
            assert owner in {member.name for member in members}
            assert owner == find_owner(upstream, shuffled)
            assert owner == gone.name or owner == find_owner(upstream, rest)

    check()
