"""Health of upstreams: ejection, probing and warm-in."""

from collections.abc import Callable
from dataclasses import dataclass

from fireflybridge_core import Outcome
from fireflybridge_tables import Pool


@dataclass(frozen=True, slots=True)
class Open:
    """Allow a start."""


@dataclass(frozen=True, slots=True)
class Probe:
    """Allow a single start that decides whether the upstream returns."""


@dataclass(frozen=True, slots=True)
class Ejected:
    """Allow no start before ``until``, a reading of the queue's clock in seconds."""

    until: float


Permission = Open | Probe | Ejected


class UpstreamHealth:
    """Own the health of a pool's upstreams as this daemon sees it."""

    def __init__(self, pool: Pool, clock: Callable[[], float]) -> None:
        self._pool = pool
        self._clock = clock

    def configure(self, pool: Pool) -> None:
        """Apply the pool of the tables now in force."""
        self._pool = pool

    def record(self, upstream: str, outcome: Outcome) -> None:
        """Note the outcome of one start that was permitted."""

    def release(self, upstream: str) -> None:
        """Return a permission that was not used."""

    def may_start(self, upstream: str) -> Permission:
        """Decide whether a slot of the upstream may start one task now."""
        return Open()
