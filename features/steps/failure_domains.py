"""Steps that cut off a failure domain together with its upstreams.

Each worker has a single link that all daemons use. So while the domain is cut off, only one side is
loaded at a time, and the links to the workers of the other side refuse connections.
"""

from itertools import product

from behave import then, when
from behave.runner import Context
from support.checks import expect, make_request, make_unkeyed
from support.deployment import Deployment
from support.processes import wait_until

ROUNDS = 4
JOB_SIZE = 12
SLEEP_MS = 100


def list_workers(deployment: Deployment, domains: set[str]) -> set[str]:
    """Return the workers of some failure domains."""
    hosts = deployment.describe_workers()
    return {host["name"] for host in hosts if host["failure_domain"] in domains}


def list_owned_upstreams(deployment: Deployment, name: str) -> set[str]:
    return {
        upstream for pool in deployment.read_status(name)["pools"] for upstream in pool["owned"]
    }


def list_cut_links(deployment: Deployment, domain: str) -> list[str]:
    """Return the links from a domain's daemons to other daemons, back, and to the platform."""
    inside = {name for name in deployment.daemons if deployment.find_daemon_domain(name) == domain}
    pairs = product(inside, deployment.daemons.keys() - inside)
    links = [f"{a}-{b}" for one, other in pairs for a, b in ((one, other), (other, one))]
    return links + [f"{name}-platform" for name in inside]


@when("the failure domain {domain} is cut off from the others and from the platform")
def cut_domain(context: Context, domain: str) -> None:
    deployment: Deployment = context.deployment
    context.prefixes = {name: deployment.make_prefix(name) for name in deployment.daemons}
    links = list_cut_links(deployment, domain)
    deployment.proxy.set_faults(*links, faults=[{"kind": "drop"}])


@then("jobs complete at {names} while it reaches only the upstreams of {domains}")
@then("jobs complete at {names} while they reach only the upstreams of {domains}")
def check_upstreams_used(context: Context, names: str, domains: str) -> None:
    deployment: Deployment = context.deployment
    reached = list_workers(deployment, set(domains.split(" and ")))
    others = sorted(f"worker-{name}" for name in deployment.worker_addresses.keys() - reached)
    deployment.proxy.set_faults(*others, faults=[{"kind": "refuse"}])
    for link in others:
        deployment.proxy.reset(link)
    # Each side takes over the upstreams of the daemons that it counts as lost.
    wait_until(
        lambda: set().union(
            *(list_owned_upstreams(deployment, name) for name in names.split(" and "))
        )
        == set(deployment.worker_addresses),
        detail=f"{names} together own every upstream",
    )
    keys = complete_jobs(context, names)
    used = {s["worker"] for s in deployment.read_starts() if s["key"].rpartition(":")[0] in keys}
    assert used == reached, f"the jobs of {names} were started at {sorted(used)}"
    deployment.proxy.clear_faults(*others)


def complete_jobs(context: Context, names: str) -> set[str]:
    """Complete jobs and single requests at the named daemons and return the jobs' keys."""
    calls = [
        context.client.send(name, request)
        for name in names.split(" and ")
        for _ in range(ROUNDS)
        for request in (
            make_request(JOB_SIZE, SLEEP_MS, prefix=context.prefixes[name], route="payment"),
            make_unkeyed(SLEEP_MS),
        )
    ]
    return {expect(call.result(), state="complete").request.key for call in calls} - {""}


@when("the failure domain {domain} is connected again")
def rejoin_domain(context: Context, domain: str) -> None:
    context.deployment.proxy.clear_faults(*list_cut_links(context.deployment, domain))


@then("every daemon has its upstreams back and completes jobs")
def check_rejoined(context: Context) -> None:
    context.deployment.wait_serving()
    complete_jobs(context, " and ".join(context.deployment.daemons))
