"""Data classes of the route and pool tables."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Route:
    """A kind of request and the pool that serves it.

    ``window_ms`` is the promised response time, ``timeout_ms`` the time that an upstream may take
    for one task, ``expected_ms`` the declared run time. ``path`` is the URL path at the upstream.
    """

    name: str
    pool: str
    idempotent: bool
    window_ms: int
    timeout_ms: int
    expected_ms: int
    path: str = "/"


@dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream of a pool; ``address`` is ``ip:port``."""

    name: str
    address: str
    slots: int
    connections: int
    failure_domain: str


@dataclass(frozen=True, slots=True)
class Quota:
    """A team's weight, and its maximum share of the pool's slots (1.0 is all of them)."""

    team: str
    weight: float = 1.0
    max_share: float = 1.0


@dataclass(frozen=True, slots=True)
class Pool:
    """A group of upstreams and the quotas of teams for it.

    ``guards`` states that these upstreams send a 429, or a 503 with ``Retry-After``, only before
    they have started anything.
    """

    name: str
    upstreams: tuple[Upstream, ...]
    guards: bool = False
    quotas: tuple[Quota, ...] = ()


@dataclass(frozen=True, slots=True)
class Tables:
    """The route and pool tables, keyed by name."""

    routes: Mapping[str, Route] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)
