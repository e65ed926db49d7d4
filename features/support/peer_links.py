"""Links of the proxy between each pair of hosts, which hold back what one sends to the other."""

import itertools
import json
from collections.abc import Mapping
from dataclasses import dataclass

from fireflybridge_standins.linked_host import LINKS_VARIABLE
from support.proxy import Proxy

LATE_END = {"kind": "delay", "direction": "forward", "delay_ms": 30}
HOLD = {"kind": "hold", "direction": "forward"}


@dataclass(frozen=True, slots=True)
class PeerLinks:
    """The links of one deployment; ``addresses`` are those at which the hosts know each other."""

    proxy: Proxy
    addresses: Mapping[str, str]
    links: Mapping[tuple[str, str], str]
    """Address of the link from one host to another."""

    def make_environment(self, host: str) -> dict[str, str]:
        """Return the variables with which a host is started so that it uses its links."""
        routes = {
            self.addresses[receiver]: link
            for (sender, receiver), link in self.links.items()
            if sender == host
        }
        return {LINKS_VARIABLE: json.dumps(routes)}

    def hold(self, sender: str, receiver: str) -> None:
        """Keep what a host sends to another one, also what it sent before it gave up."""
        self.proxy.set_faults(name_link(sender, receiver), faults=[HOLD])

    def release(self, sender: str, receiver: str) -> None:
        """Deliver what was held; an end of the connection that follows it comes a little later.

        If both came at once, the receiver would often see the end before it handles the request.
        """
        self.proxy.set_faults(name_link(sender, receiver), faults=[LATE_END])

    def clear(self) -> None:
        """Deliver what was held on any link, and delay nothing any more."""
        self.proxy.clear_faults(*itertools.starmap(name_link, self.links))


def add_peer_links(proxy: Proxy, addresses: Mapping[str, str]) -> PeerLinks:
    """Add a link from each host to each other one; ``addresses`` are those of the hosts."""
    links = {
        (sender, receiver): proxy.add_link(name_link(sender, receiver), addresses[receiver])
        for sender, receiver in itertools.permutations(addresses, 2)
    }
    return PeerLinks(proxy, addresses, links)


def name_link(sender: str, receiver: str) -> str:
    """Return the name of the link from one host to another."""
    return f"peer-{sender}-{receiver}"
