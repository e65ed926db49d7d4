"""Faults of the stand-in and the rule that selects the affected requests."""

from dataclasses import dataclass
from enum import StrEnum

import anyio


class Operation(StrEnum):
    """Operations that a fault can affect."""

    APPEND = "append"
    READ = "read"
    HOSTS = "hosts"


@dataclass(frozen=True, slots=True)
class NoFault:
    """Serve the request normally."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Respond with 503 and change nothing."""


@dataclass(frozen=True, slots=True)
class Hang:
    """Delay the request until another rule is set, then serve it, even if the client has left."""


@dataclass(frozen=True, slots=True)
class LoseAnswers:
    """Let the request take effect, then close the connection without a response."""


@dataclass(frozen=True, slots=True)
class Slow:
    """Delay the request before it takes effect."""

    latency_s: float


Fault = NoFault | Refuse | Hang | LoseAnswers | Slow


@dataclass(frozen=True, slots=True)
class FaultRule:
    """Fault with the operations it affects and the number of requests, unlimited if ``None``."""

    fault: Fault = NoFault()
    operations: frozenset[Operation] = frozenset(Operation)
    remaining: int | None = None


class FaultInjector:
    """Current fault rule, with a count of the requests that each fault affected."""

    def __init__(self) -> None:
        self._rule = FaultRule()
        self._changed = anyio.Event()
        self._hits: dict[str, int] = {}

    def set_rule(self, rule: FaultRule) -> None:
        """Replace the rule and release the requests that a ``Hang`` fault delays."""
        self._rule = rule
        self._changed.set()
        self._changed = anyio.Event()

    def take_fault(self, operation: Operation) -> Fault:
        """Return the fault for one request and decrement the rule's remaining requests."""
        rule = self._rule
        if operation not in rule.operations or rule.remaining == 0 or rule.fault == NoFault():
            return NoFault()
        if rule.remaining is not None:
            self._rule = FaultRule(rule.fault, rule.operations, rule.remaining - 1)
        name = type(rule.fault).__name__
        self._hits[name] = self._hits.get(name, 0) + 1
        return rule.fault

    async def wait_for_change(self) -> None:
        """Wait until the next rule is set."""
        await self._changed.wait()

    def get_counts(self) -> dict[str, int]:
        """Return how many requests each fault affected."""
        return dict(self._hits)
