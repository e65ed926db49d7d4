"""Steps for what the soak test relies on."""

import re
import time
import uuid
from datetime import UTC, datetime
from typing import Any

from behave import given, then, when
from behave.runner import Context
from support.linked_hosts import hold_requests, start_linked_hosts
from support.peer_links import name_link
from support.placed_jobs import EventId, find_double_placements
from support.processes import wait_until
from support.rotation import list_candidates

SENT_S = 0.1  # the entry host has sent the job, and doesn't take its leader for lost yet
HELD_S = 1.0  # the leader would have received the job long before
ZONES = 3
LEADER = "h1"
ENTRY = "h5"


@when("the log lines of two leaders on one job are checked that hold {first} and {second}")
def check_lines(context: Context, first: str, second: str) -> None:
    context.pairs = find_double_placements([make_lines("h1", first), make_lines("h2", second)])


def make_lines(host: str, text: str) -> list[dict[str, Any]]:
    """Return the log lines that a text such as "received 0, placed 1" describes."""
    return [
        {
            "event_id": EventId[name.upper()],
            "host": host,
            "job": "a",
            "resubmitted": False,
            "reason": "",
            "timestamp": datetime.fromtimestamp(int(second), UTC).isoformat(),
        }
        for name, second in re.findall(r"(\w+) (\d+)", text)
    ]


@then("the check finds {found:d} pairs of placements")
def check_pairs(context: Context, found: int) -> None:
    assert len(context.pairs) == found, context.pairs


@when(
    "a caller of failure domain {domain} is sent to one of {count:d} hosts of which {ready} are ready"
)
def choose_candidates(context: Context, domain: str, count: int, ready: str) -> None:
    domains = {f"h{number + 1}": f"z{number % ZONES + 1}" for number in range(count)}
    context.candidates = list_candidates(domains, ready.split(), domain)


@then("its host is one of {candidates}")
def check_candidates(context: Context, candidates: str) -> None:
    assert context.candidates == tuple(candidates.split()), context.candidates


@given("hosts on a site that reach each other through links")
def start_hosts(context: Context) -> None:
    start_linked_hosts(context)


@when("a job is sent to a host that is killed while its requests to the leader are held back")
def hold_submission(context: Context) -> None:
    deployment = context.deployment
    hold_requests(deployment, ENTRY, LEADER)
    before = count_delivered(context)
    connection = deployment.connect(ENTRY)
    deployment.send(connection, 1, uuid.uuid4().hex[:16])
    time.sleep(SENT_S)
    deployment.hosts[ENTRY].kill()
    time.sleep(HELD_S)
    context.delivered = [before, count_delivered(context)]
    deployment.peer_links.release(ENTRY, LEADER)


@then("the leader receives what was sent only after the requests are released")
def check_delivered(context: Context) -> None:
    before, held = context.delivered
    assert held == before, context.delivered
    # The sender has ended, so only what it sent before can arrive.
    wait_until(lambda: count_delivered(context) > held, detail="the requests arrive")


def count_delivered(context: Context) -> int:
    """Return how many bytes the sender's link has delivered to the leader."""
    return int(context.deployment.proxy.get_count(name_link(ENTRY, LEADER), "forward_bytes"))
