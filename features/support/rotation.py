"""Which entry hosts the platform sends callers to, by their failure domain and readiness."""

import random
import threading
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException

POLL_INTERVAL_S = 1.0
READY_TIMEOUT_S = 1.0
MAX_MISSES = 2
READY_PORT = 8167
READY_PATH = "/fireflybridge/ready"


@dataclass(slots=True)
class Rotation:
    """Poll every entry host in a thread of its own and choose hosts for callers.

    A host leaves the rotation when it has missed two polls in a row; one success brings it back.
    ``addresses`` are the hosts' IP addresses, ``domains`` their failure domains.
    """

    addresses: Mapping[str, str]
    domains: Mapping[str, str]
    _misses: dict[str, int] = field(default_factory=dict)
    _ended: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)

    def start(self) -> None:
        """Start to poll; until its first two misses a host counts as ready."""
        for host in self.addresses:
            thread = threading.Thread(target=self._poll, args=(host,), daemon=True)
            thread.start()
            self._threads.append(thread)

    def close(self) -> None:
        """Stop the threads."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def choose_host(self, rng: random.Random, domain: str) -> str:
        """Return the host that a caller from a failure domain is sent to."""
        ready = [host for host in self.addresses if self._misses.get(host, 0) < MAX_MISSES]
        return rng.choice(list_candidates(self.domains, ready, domain))

    def _poll(self, host: str) -> None:
        while not self._ended.wait(POLL_INTERVAL_S):
            misses = 0 if is_ready(self.addresses[host]) else self._misses.get(host, 0) + 1
            self._misses[host] = misses


def list_candidates(
    domains: Mapping[str, str], ready: Sequence[str], domain: str
) -> tuple[str, ...]:
    """Return the hosts among which a caller's host is drawn.

    They are those in rotation of its own failure domain, all of the domain's if these are fewer than
    half, and those of the nearest domain that has any in rotation if none of its own is.
    """
    names = sorted(set(domains.values()))
    begin = names.index(domain)
    for name in names[begin:] + names[:begin]:
        members = tuple(host for host in domains if domains[host] == name)
        found = tuple(host for host in members if host in ready)
        if found:
            return found if 2 * len(found) >= len(members) else members
    return tuple(host for host in domains if domains[host] == domain)


def is_ready(ip: str) -> bool:
    """Return whether a host answers in time that it is ready."""
    connection = HTTPConnection(ip, READY_PORT, timeout=READY_TIMEOUT_S)
    try:
        connection.request("GET", READY_PATH)
        return connection.getresponse().status == 200
    except (OSError, HTTPException):
        return False
    finally:
        connection.close()
