"""Steps for what the soak test relies on."""

import re
import time
import uuid
from collections.abc import Iterable
from datetime import UTC, datetime
from itertools import chain
from typing import Any

from behave import given, then, when
from behave.runner import Context
from support.linked_hosts import start_linked_hosts
from support.placed_jobs import EventId, find_double_placements
from support.processes import wait_until
from support.rotation import list_candidates

HELD_S = 1.0  # the leader would have received the job long before
ZONES = 3


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
    deployment, context.job = context.deployment, uuid.uuid4().hex[:16]
    deployment.peer_links.hold("h5", "h1")
    deployment.submit_later("h5", 1, context.job)
    wait_until(lambda: deployment.proxy.get_count("peer-h5-h1", "hold") > 1, detail="held")
    time.sleep(HELD_S / 4)
    deployment.hosts["h5"].kill()
    time.sleep(HELD_S)
    context.received_early = has_received(context)
    deployment.peer_links.release("h5", "h1")


@then("the leader reads the submission only after the requests are released")
def check_received(context: Context) -> None:
    assert not context.received_early
    wait_until(lambda: has_received(context), detail="the leader reads the submission")


def has_received(context: Context) -> bool:
    """Return whether the leader has read the submission, whether it has taken it or not."""
    read: Iterable[dict[str, Any]] = chain(
        context.deployment.read_events("h1", EventId.RECEIVED),
        context.deployment.read_events("h1", EventId.NOT_TAKEN),
    )
    return any(event["job"] == context.job for event in read)
