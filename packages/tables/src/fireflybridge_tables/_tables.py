"""Routes, pools and upstreams as data."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Route:
    """Name where a kind of request goes.

    ``window_ms`` is the promised response time, ``timeout_ms`` the time an upstream may run one
    task, ``expected_ms`` the declared run time. ``path`` is the URL path at the upstream.
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
    """Describe one upstream of a pool: ``address`` is ``ip:port``."""

    name: str
    address: str
    slots: int
    connections: int
    failure_domain: str


@dataclass(frozen=True, slots=True)
class Quota:
    """Give a team its weight, and its upper share of the pool's slots (1.0 is all of them)."""

    team: str
    weight: float = 1.0
    max_share: float = 1.0


@dataclass(frozen=True, slots=True)
class Pool:
    """Name the upstreams that serve a kind of request.

    ``guards`` states that a 429, or a 503 with ``Retry-After``, from these upstreams was sent
    before anything started.
    """

    name: str
    upstreams: tuple[Upstream, ...]
    guards: bool = False
    quotas: tuple[Quota, ...] = ()


@dataclass(frozen=True, slots=True)
class Tables:
    """Hold the route and pool tables, keyed by name."""

    routes: Mapping[str, Route] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)
