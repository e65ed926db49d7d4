"""Hosts of a scenario that reach each other through links of the proxy."""

from behave.runner import Context

from support.processes import wait_until
from support.site import SiteDeployment

FIRST_HOST = "h1"


def start_linked_hosts(context: Context, work_ms: int = 50) -> None:
    """Start two hosts in each failure domain, and wait until the first one leads all."""
    deployment = SiteDeployment(context.processes, hosts_per_zone=2, work_ms=work_ms, proxied=True)
    context.deployment = deployment
    context.add_cleanup(deployment.close)
    deployment.start()
    wait_until(lambda: _leads_all(deployment, FIRST_HOST), detail="the first host leads all")


def _leads_all(deployment: SiteDeployment, host: str) -> bool:
    leaders = deployment.control("state")["leaders"]
    return len(leaders) == deployment.zones and set(leaders.values()) == {host}
