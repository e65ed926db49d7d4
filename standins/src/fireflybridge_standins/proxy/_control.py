"""Control requests of the proxy.

``GET /links`` returns the state and the counters of every link.
``POST /links`` adds a link: ``{"name", "listen", "target"}``.
``PUT /faults`` replaces the faults of links: ``{"links": [name], "faults": [{"kind", ...}]}``.
``PUT /links/{name}/target`` changes the target of new connections: ``{"target"}``.
``POST /links/{name}/reset`` resets the open connections.
"""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from fireflybridge_standins.proxy._faults import FaultBody, make_faults
from fireflybridge_standins.proxy._link import Link
from fireflybridge_standins.proxy._server import ControlResponse


@dataclass(frozen=True, slots=True)
class LinkBody:
    """Link to add; addresses are ``ip:port``, and the listener's port 0 picks a free one."""

    name: str
    listen: str
    target: str


@dataclass(frozen=True, slots=True)
class FaultsBody:
    """Faults that replace those of the named links."""

    links: tuple[str, ...]
    faults: tuple[FaultBody, ...]


@dataclass(frozen=True, slots=True)
class TargetBody:
    """New target of a link, ``ip:port``."""

    target: str


class Links:
    """All links of the proxy, changed by control requests."""

    def __init__(self, start: Callable[[Link], None]) -> None:
        self._links: dict[str, Link] = {}
        self._start = start

    def add(self, body: LinkBody) -> Link:
        """Open a link and start serving it."""
        if body.name in self._links:
            raise ValueError(f"link {body.name} exists")
        link = Link(body.name, body.listen, body.target)
        self._links[body.name] = link
        self._start(link)
        return link

    def get_addresses(self) -> dict[str, str]:
        """Return the address that each link listens on."""
        return {name: link.address for name, link in self._links.items()}

    def handle(self, method: str, path: str, body: bytes) -> ControlResponse:
        """Serve one control request; the response to an invalid one is 400."""
        try:
            return ControlResponse(200, self._dispatch(method, path.strip("/").split("/"), body))
        except (KeyError, OSError, ValueError, msgspec.MsgspecError) as error:
            return ControlResponse(400, {"error": repr(error)})

    def _dispatch(self, method: str, path: list[str], body: bytes) -> object:
        match method, path:
            case "GET", ["links"]:
                return {name: link.describe() for name, link in self._links.items()}
            case "POST", ["links"]:
                return {"address": self.add(msgspec.json.decode(body, type=LinkBody)).address}
            case "PUT", ["faults"]:
                self._set_faults(msgspec.json.decode(body, type=FaultsBody))
                return {}
            case "PUT", ["links", name, "target"]:
                target = msgspec.json.decode(body, type=TargetBody).target
                self._links[name].target = target
                return {}
            case "POST", ["links", name, "reset"]:
                return {"reset": self._links[name].reset_connections()}
        raise ValueError("no such control endpoint")

    def _set_faults(self, body: FaultsBody) -> None:
        links = [self._links[name] for name in body.links]
        faults = tuple(fault for fault_body in body.faults for fault in make_faults(fault_body))
        for link in links:
            link.set_faults(faults)
