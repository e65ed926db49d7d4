"""Client of the fault-injecting proxy, which sets the faults of its links."""

from dataclasses import dataclass
from typing import Any

from support.control import send_control
from support.processes import Processes, Program


@dataclass(frozen=True, slots=True)
class Proxy:
    """Running proxy and its control requests."""

    program: Program

    def get_address(self, link: str) -> str:
        """Return the ``ip:port`` that a link listens on."""
        return str(self.describe(link)["listen"])

    def add_link(self, link: str, target: str) -> str:
        """Add a link and return the ``ip:port`` that it listens on."""
        body = {"name": link, "listen": "127.0.0.1:0", "target": target}
        return str(send_control(self.program.address, "POST", "/links", body)["address"])

    def set_faults(self, *links: str, faults: list[dict[str, Any]]) -> None:
        """Replace the faults of links, such as ``{"kind": "drop", "direction": "forward"}``.

        The other fields of a fault are ``delay_ms``, ``after_bytes`` and ``count``.
        """
        body = {"links": links, "faults": faults}
        send_control(self.program.address, "PUT", "/faults", body)

    def clear_faults(self, *links: str) -> None:
        """Remove the faults of links."""
        self.set_faults(*links, faults=[])

    def retarget(self, link: str, target: str) -> None:
        """Change the target of new connections of a link."""
        body = {"target": target}
        send_control(self.program.address, "PUT", f"/links/{link}/target", body)

    def reset(self, link: str) -> int:
        """Reset the open connections of a link and return their number."""
        path = f"/links/{link}/reset"
        return int(send_control(self.program.address, "POST", path)["reset"])

    def describe(self, link: str) -> dict[str, Any]:
        """Return a link's addresses, number of open connections, faults and counters."""
        links: dict[str, dict[str, Any]] = send_control(self.program.address, "GET", "/links")
        return links[link]

    def get_count(self, link: str, counter: str) -> int:
        """Return one counter of a link, such as ``accepted`` or the kind of a fault."""
        return int(self.describe(link)["counters"].get(counter, 0))


def start_proxy(processes: Processes, **targets: str) -> Proxy:
    """Start a proxy with one link for each name; the targets are ``ip:port``."""
    links = [f"--link={name}=127.0.0.1:0={target}" for name, target in targets.items()]
    return Proxy(processes.start("fireflybridge_standins.proxy", *links))
