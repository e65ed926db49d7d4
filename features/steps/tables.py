"""Steps for parsing and checking the tables."""

from pathlib import Path
from random import Random
from string import ascii_letters

import hypothesis.strategies as st
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as property_of
from support.tables import POOLS, ROUTES, run_property

from fireflybridge_tables import check_tables, locate_fault, parse_tables, suggest_fix

ROOT = Path(__file__).parents[2]


@given("valid tables texts")
def set_valid_texts(context: Context) -> None:
    context.texts = {"routes.toml": ROUTES, "pools.toml": POOLS}
    assert parse_tables(context.texts).is_ok()


@when('the tables text "{valid}" is replaced by "{faulty}"')
@when('the tables text "{valid}" is replaced by ""')
def replace_text(context: Context, valid: str, faulty: str = "") -> None:
    assert any(valid in text for text in context.texts.values()), valid
    replacement = faulty.replace("\\n", "\n") if "\\r" not in faulty else faulty
    context.texts = {
        name: text.replace(valid, replacement, 1) for name, text in context.texts.items()
    }


@then('the only tables fault is {kind} at "{place}"')
def check_only_fault(context: Context, kind: str, place: str) -> None:
    (fault,) = parse_tables(context.texts).unwrap_err()
    assert (type(fault).__name__, locate_fault(fault)) == (kind, place), fault
    assert suggest_fix(fault)


@then("the tables faults are {kinds}")
def check_faults(context: Context, kinds: str) -> None:
    faults = parse_tables(context.texts).unwrap_err()
    assert sorted(type(fault).__name__ for fault in faults) == kinds.split(", "), faults


@given(
    "tables texts with {routes:d} routes, {upstreams:d} upstreams and {quotas:d} quotas in a pool"
)
def set_large_texts(context: Context, routes: int, upstreams: int, quotas: int) -> None:
    route = '[[routes]]\nname = "r{0}"\npool = "p"\nidempotent = true\n'
    route += "window_ms = 1000\ntimeout_ms = 500\nexpected_ms = 50\n"
    upstream = '[[pools.upstreams]]\nname = "worker-{0}"\naddress = "10.0.{1}.{2}:8080"\n'
    upstream += 'slots = 8\nconnections = 64\nfailure_domain = "east-a"\n'
    quota = '[[pools.quotas]]\nteam = "team-{0}"\nweight = 1\n'
    pools = ['[[pools]]\nname = "p"\n']
    pools += [upstream.format(i, i // 250, i % 250) for i in range(upstreams)]
    pools += [quota.format(i) for i in range(quotas)]
    texts = {"routes.toml": "".join(route.format(i) for i in range(routes))}
    context.texts = {**texts, "pools.toml": "".join(pools)}


@given("tables texts with {pools:d} pools of {quotas:d} quotas each")
def set_texts_with_quotas(context: Context, pools: int, quotas: int) -> None:
    random = Random(pools)
    parts = []
    for number in range(pools):
        parts.append(f'[[pools]]\nname = "p{number}"\n[[pools.upstreams]]\nname = "a"\n')
        parts.append(f'address = "10.0.0.{number}:80"\nslots = 1\nconnections = 1\n')
        parts.append('failure_domain = "east"\n')
        # Random names of maximum length, which compress badly.
        teams = ("".join(random.choices(ascii_letters, k=64)) for _ in range(quotas))
        parts.extend(f'[[pools.quotas]]\nteam = "{team}"\n' for team in teams)
    context.texts = {"pools.toml": "".join(parts)}


@given("a tables text of 4 MB and one byte")
def set_oversized_text(context: Context) -> None:
    context.texts = {"routes.toml": "#" * (4 * 1024 * 1024 + 1)}


@given('a tables text "{text}"')
def set_text(context: Context, text: str) -> None:
    context.texts = {"routes.toml": text}


@then("the tables texts are valid")
def check_valid(context: Context) -> None:
    tables = parse_tables(context.texts).unwrap()
    assert check_tables(tables, "again") == ()


@then("the tables texts are refused by {kind}")
def check_refused(context: Context, kind: str) -> None:
    (fault,) = parse_tables(context.texts).unwrap_err()
    assert type(fault).__name__ == kind, fault


@then("tables parsing raises nothing for deep nesting, huge numbers and {count:d} random texts")
def check_malformed_texts(context: Context, count: int) -> None:
    for text in ("a = " + "[" * 100_000, "a = " + "9" * 10_000, "[[routes]]\nname = '\ud800'"):
        assert parse_tables({"routes.toml": text}).is_err()
    tokens = [
        "[[routes]]",
        "[[pools]]",
        "[[pools.upstreams]]",
        "name",
        "=",
        '"',
        "\n",
        "1",
        "pools",
    ]
    fragments = st.lists(st.one_of(st.sampled_from(tokens), st.text(max_size=5)), max_size=30)

    @run_property(count)
    @property_of(fragments)
    def parse_never_raises(parts: list[str]) -> None:
        parse_tables({"routes.toml": "".join(parts)})

    parse_never_raises()


@then("the tables of {partner} have {count:d} upstreams in {domains:d} failure domains")
def check_examples(context: Context, partner: str, count: int, domains: int) -> None:
    files = sorted((ROOT / "tables" / partner).iterdir())
    tables = parse_tables({file.name: file.read_text() for file in files}).unwrap()
    upstreams = [upstream for pool in tables.pools.values() for upstream in pool.upstreams]
    assert len(upstreams) == count
    assert len({upstream.failure_domain for upstream in upstreams}) == domains
