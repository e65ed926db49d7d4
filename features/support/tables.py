"""Sample tables, and properties that run alike every time."""

from random import Random

import hypothesis.strategies as st
from hypothesis import HealthCheck, seed, settings

from fireflybridge_tables import Pool, Quota, Route, Tables, Upstream

ROUTES = """
[[routes]]
name = "check"
pool = "fast"
idempotent = true
window_ms = 2000
timeout_ms = 1500
expected_ms = 120
path = "/check"

[[routes]]
name = "receipt"
pool = "fast"
idempotent = false
window_ms = 30000
timeout_ms = 10000
expected_ms = 400
"""
POOLS = """[[pools]]
name = "fast"
guards = true
[[pools.upstreams]]
name = "a"
address = "10.0.0.1:8080"
slots = 8
connections = 64
failure_domain = "east"
[[pools.upstreams]]
name = "b"
address = "10.0.0.2:8080"
slots = 9
connections = 64
failure_domain = "west"
[[pools.quotas]]
team = "desk"
weight = 2.0
max_share = 0.5
[[pools.quotas]]
team = "accounts"
# more pools
"""


def run_property(examples: int):
    """Return a decorator that makes a hypothesis test the same on every run."""

    def decorate(test):
        fixed = settings(
            max_examples=examples,
            derandomize=True,
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        )
        return seed(20261204)(fixed(test))

    return decorate


def make_tables(random: Random) -> Tables:
    """Return sound tables over few names, so that two of them share some and differ in others."""
    pools = [make_pool(random, name) for name in random.sample("pqs", random.randint(1, 3))]
    routes = [
        Route(name, random.choice(pools).name, random.random() < 0.5, random.randint(1, 3), 9, 5)
        for name in random.sample("rstu", random.randint(0, 4))
    ]
    return Tables({route.name: route for route in routes}, {pool.name: pool for pool in pools})


def make_pool(random: Random, name: str) -> Pool:
    names = sorted(random.sample("abcd", random.randint(1, 4)))
    teams = sorted(random.sample("xyz", random.randint(0, 3)))
    upstreams = (Upstream(n, f"10.0.0.{ord(n)}:1", random.randint(1, 3), 9, "east") for n in names)
    quotas = (Quota(team, 1.0, random.choice([0.5, 1.0])) for team in teams)
    return Pool(name, tuple(upstreams), random.random() < 0.5, tuple(quotas))


# Drawing each field of the tables by hypothesis takes 12 ms per example.
TABLES = tuple(make_tables(Random(number)) for number in range(100))


def draw_tables() -> st.SearchStrategy[Tables]:
    return st.sampled_from(TABLES)
