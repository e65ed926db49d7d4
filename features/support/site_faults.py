"""Random faults of a deployment on the users' platform, for the soak test."""

import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from support.callers import RETRY_DELAY_S
from support.invariants import Outage
from support.peer_links import PeerLinks
from support.processes import wait_until
from support.schedule import TimedAction
from support.site import SiteDeployment

PAUSE_DURATIONS_S = (0.3, 1.0, 3.0)
FAULT_DURATIONS_S = (0.5, 2.0, 4.0)
LINK_FAULTS: tuple[dict[str, Any], ...] = (
    {"kind": "delay", "direction": "backward", "delay_ms": 150},
    {"kind": "drop", "direction": "forward"},
    {"kind": "drop", "direction": "backward"},
    {"kind": "hold", "direction": "forward"},
    {"kind": "hold", "direction": "backward"},
    {"kind": "refuse"},
    {"kind": "truncate", "direction": "backward", "after_bytes": 40},
    {"kind": "lose_answer", "count": 3},
)
FAULT_KINDS = ("kill", "stop", "pause", "hup", "store", "link", "upstream", "log", "hold", "hold")
UPSTREAM_FAULTS = ("fails", "hangs", "unhealthy", "mute")
HOLD_DURATIONS_S = (0.1, 3.0)
HELD_KILL_DELAYS_S = (0.1, 1.5)
RETRIED_JOB_S = 0.2  # a retried job runs about so long: the held submission arrives meanwhile


@dataclass(slots=True)
class SiteFaults:
    """Draw faults, inject and end them, and record the outages of hosts."""

    deployment: SiteDeployment
    rng: random.Random
    injected: Counter[str] = field(default_factory=Counter)
    outages: list[Outage] = field(default_factory=list)
    down: dict[str, float] = field(default_factory=dict)
    paused: dict[str, float] = field(default_factory=dict)
    holds: list["HeldRequests"] = field(default_factory=list)

    def choose(self, at: float) -> list[TimedAction]:
        """Draw a fault that begins at a time of the schedule, and return its steps."""
        host = self.rng.choice(sorted(self.deployment.hosts))
        upstream = self.rng.choice(sorted(self.deployment.control("state")["fences"]))
        match self.rng.choice(FAULT_KINDS):
            case "kill" | "stop" | "pause" as kind:
                return self._make_outage(kind, at, lambda: host, host)
            case "hup":
                return [self._make_counted_step("hup", at, lambda: self._reload_host(host), host)]
            case "store":
                names = self.rng.choice(([host], sorted(self.deployment.hosts)))
                return self._make_link_fault("store", at, [f"store-{name}" for name in names])
            case "link":
                return self._make_link_fault("link", at, [upstream])
            case "upstream":
                return self._make_upstream_fault(at, upstream)
            case "hold":
                return self._make_held_requests(at)
            case _:
                return [self._make_counted_step("log", at, self._disturb_log, "")]

    def list_holds(self) -> list[str]:
        """Return whose requests were held, as text."""
        return [f"hold {number}: {held.describe()}" for number, held in enumerate(self.holds, 1)]

    def _make_outage(
        self, kind: str, at: float, find_host: Callable[[], str], detail: str
    ) -> list[TimedAction]:
        """Kill, stop or pause a host, and start or resume it later."""
        until = at + self.rng.choice(PAUSE_DURATIONS_S)
        if kind == "pause":
            begin, end = self._pause_host, self._resume_host
        else:
            begin, end = partial(self._stop_host, kind), self._restart_host
        return self._make_fault_pair(
            kind, at, until, lambda: begin(find_host()), lambda: end(find_host()), detail
        )

    def _make_held_requests(self, at: float) -> list[TimedAction]:
        """Hold back what one host, or all of its failure domain, send to their leader."""
        hosts = sorted(self.deployment.hosts)
        self.rng.shuffle(hosts)
        held = HeldRequests(self.deployment, tuple(hosts), self.rng.choice((True, False)))
        self.holds.append(held)
        until = at + self.rng.uniform(*HOLD_DURATIONS_S)
        number = len(self.holds)
        sender = f"the sender of hold {number}"
        outage: list[TimedAction] = []
        match self.rng.choice(("none", "kill", "stop", "pause", "killed before the retry")):
            case "kill" | "stop" | "pause" as kind:
                begin = self.rng.uniform(at, until)
                outage = self._make_outage(kind, begin, held.get_sender, sender)
            case "killed before the retry":
                begin = at + self.rng.uniform(*HELD_KILL_DELAYS_S)
                until = begin + RETRY_DELAY_S + self.rng.uniform(0.0, RETRIED_JOB_S)
                outage = self._make_outage("kill", begin, held.get_sender, sender)
        return outage + self._make_fault_pair("hold", at, until, held.begin, held.end, str(number))

    def _make_link_fault(self, kind: str, at: float, links: list[str]) -> list[TimedAction]:
        proxy = self.deployment.proxy
        assert proxy is not None
        fault = self.rng.choice(LINK_FAULTS)
        until = at + self.rng.choice(FAULT_DURATIONS_S)
        return self._make_fault_pair(
            kind,
            at,
            until,
            lambda: proxy.set_faults(*links, faults=[fault]),
            lambda: proxy.clear_faults(*links),
            f"{fault['kind']} {links[0]}",
        )

    def _make_upstream_fault(self, at: float, upstream: str) -> list[TimedAction]:
        fault = self.rng.choice(UPSTREAM_FAULTS)
        until = at + self.rng.choice(FAULT_DURATIONS_S)
        path = f"upstreams/{upstream}"
        return self._make_fault_pair(
            "upstream",
            at,
            until,
            lambda: self._control(path, {fault: True}),
            lambda: self._control(path, {fault: False}),
            f"{fault} {upstream}",
        )

    def _make_fault_pair(
        self,
        kind: str,
        at: float,
        until: float,
        begin: Callable[[], None],
        end: Callable[[], None],
        detail: str,
    ) -> list[TimedAction]:
        return [
            self._make_counted_step(kind, at, begin, detail),
            TimedAction(until, f"end {kind} {detail}", end),
        ]

    def _make_counted_step(
        self, kind: str, at: float, act: Callable[[], None], detail: str
    ) -> TimedAction:
        def count_and_act() -> None:
            self.injected[kind] += 1
            act()

        return TimedAction(at, f"{kind} {detail}", count_and_act)

    def _control(self, path: str, body: dict[str, Any]) -> None:
        self.deployment.control(path, body)

    def _disturb_log(self) -> None:
        """Lose the response to the next append, and delete the history of the terms."""
        self._control("store", {"lost_appends": 1})
        self._control("forget/keyed.leaders", {})

    def _pause_host(self, host: str) -> None:
        if host not in self.down and host not in self.paused:
            self.paused[host] = time.monotonic()
            self.deployment.hosts[host].pause()

    def _resume_host(self, host: str) -> None:
        began_s = self.paused.pop(host, None)
        if began_s is not None:
            self.deployment.hosts[host].resume()
            self.outages.append(Outage(host, began_s, time.monotonic()))

    def _reload_host(self, host: str) -> None:
        """Send SIGHUP once the program handles it; before, it would terminate the interpreter."""
        program = self.deployment.hosts[host]
        if host not in self.down:
            wait_until(program.handles_reload, detail=f"{host} handles SIGHUP")
            program.reload()

    def _stop_host(self, kind: str, host: str) -> None:
        """Kill a host, or send it SIGTERM."""
        if host in self.down:
            return
        self._resume_host(host)
        self.down[host] = time.monotonic()
        program = self.deployment.hosts[host]
        if kind == "kill":
            program.kill()
            self.outages.append(Outage(host, self.down[host], time.monotonic()))
        else:
            program.terminate()

    def _restart_host(self, host: str) -> None:
        if self.down.pop(host, None) is not None:
            self.deployment.hosts[host].wait_exit()
            self.deployment.start_host(host)

    def clear(self) -> None:
        """Clear every fault and start the hosts that were stopped."""
        deployment = self.deployment
        for host in list(self.paused):
            self._resume_host(host)
        for host in list(self.down):
            self._restart_host(host)
        state = deployment.control("state")
        assert deployment.proxy is not None
        assert deployment.peer_links is not None
        links = [*state["fences"], *(f"store-{host}" for host in deployment.hosts)]
        deployment.proxy.clear_faults(*links)
        deployment.peer_links.clear()
        for upstream in state["fences"]:
            self._control(f"upstreams/{upstream}", dict.fromkeys(UPSTREAM_FAULTS, False))
        self._control("store", {"lost_appends": 0})


@dataclass(slots=True)
class HeldRequests:
    """Hold back what hosts send to the leader that they have when the fault begins.

    The first sender is the first of ``hosts`` that another host leads; the others are those of its
    failure domain if ``whole_domain`` is set. What was sent is delivered at the end, although its
    sender may have given up waiting or have ended.
    """

    deployment: SiteDeployment
    hosts: tuple[str, ...]
    whole_domain: bool
    senders: tuple[str, ...] = ()
    leader: str = ""

    def begin(self) -> None:
        """Choose the senders and hold their requests."""
        leaders = self.deployment.control("state")["leaders"]
        domains = {host: self.deployment.find_zone(host) for host in self.hosts}
        led = [host for host in self.hosts if leaders.get(domains[host], host) != host]
        if led:
            domain = domains[led[0]]
            self.leader = leaders[domain]
            members = tuple(host for host in led if domains[host] == domain)
            self.senders = members if self.whole_domain else members[:1]
        for sender in self.senders:
            self._links.hold(sender, self.leader)

    def end(self) -> None:
        """Deliver what was held."""
        for sender in self.senders:
            self._links.release(sender, self.leader)

    def describe(self) -> str:
        """Return the senders and the leader as text."""
        return f"{', '.join(self.senders) or 'nobody'} to {self.leader}"

    def get_sender(self) -> str:
        """Return the first sender, or any host if each leads its own failure domain."""
        return (*self.senders, *self.hosts)[0]

    @property
    def _links(self) -> PeerLinks:
        assert self.deployment.peer_links is not None
        return self.deployment.peer_links
