"""Hosts of a scenario that reach each other through links of the proxy."""

from behave.runner import Context

from support.peer_links import name_link
from support.processes import wait_until
from support.site import SiteDeployment

FIRST_HOST = "h1"
HELD_COUNTER = "hold"


def start_linked_hosts(context: Context, work_ms: int = 50) -> None:
    """Start two hosts in each failure domain, and wait until the first one leads all."""
    deployment = SiteDeployment(context.processes, hosts_per_zone=2, work_ms=work_ms, proxied=True)
    context.deployment = deployment
    context.add_cleanup(deployment.close)
    deployment.start()
    wait_until(lambda: _leads_all(deployment, FIRST_HOST), detail="the first host leads all")


def hold_requests(deployment: SiteDeployment, sender: str, leader: str) -> None:
    """Hold back a host's requests to its leader, and return once its next heartbeat is held.

    What is sent now arrives after that heartbeat: the leader takes no job of a silent host.
    """
    assert deployment.peer_links is not None
    deployment.peer_links.hold(sender, leader)
    link = name_link(sender, leader)
    proxy = deployment.peer_links.proxy
    held = proxy.get_count(link, HELD_COUNTER)
    wait_until(lambda: proxy.get_count(link, HELD_COUNTER) > held, detail="a heartbeat is held")


def _leads_all(deployment: SiteDeployment, host: str) -> bool:
    leaders = deployment.control("state")["leaders"]
    return len(leaders) == deployment.zones and set(leaders.values()) == {host}
