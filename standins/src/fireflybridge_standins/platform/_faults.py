"""Decide which fault acts on which request."""

from dataclasses import dataclass
from enum import StrEnum

import anyio


class Operation(StrEnum):
    """Name the operations that a fault can act on."""

    APPEND = "append"
    READ = "read"
    HOSTS = "hosts"


@dataclass(frozen=True, slots=True)
class NoFault:
    """Serve normally."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer 503 without effect."""


@dataclass(frozen=True, slots=True)
class Hang:
    """Hold the request until the fault is changed, then serve it, even if its client has gone."""


@dataclass(frozen=True, slots=True)
class LoseAnswers:
    """Let the request take effect, then close the connection without an answer."""


@dataclass(frozen=True, slots=True)
class Slow:
    """Delay the request before its effect."""

    latency_s: float


Fault = NoFault | Refuse | Hang | LoseAnswers | Slow


@dataclass(frozen=True, slots=True)
class FaultRule:
    """Say on which operations a fault acts and on how many requests; ``None`` is without end."""

    fault: Fault = NoFault()
    operations: frozenset[Operation] = frozenset(Operation)
    remaining: int | None = None


class FaultSwitch:
    """Own the fault rule in force and count the requests that each fault acted on."""

    def __init__(self) -> None:
        self._rule = FaultRule()
        self._changed = anyio.Event()
        self._hits: dict[str, int] = {}

    def set_rule(self, rule: FaultRule) -> None:
        """Put ``rule`` in force and release the requests that hang."""
        self._rule = rule
        self._changed.set()
        self._changed = anyio.Event()

    def take_fault(self, operation: Operation) -> Fault:
        """Return the fault for one request and use up one of the rule's requests."""
        rule = self._rule
        if operation not in rule.operations or rule.remaining == 0 or rule.fault == NoFault():
            return NoFault()
        if rule.remaining is not None:
            self._rule = FaultRule(rule.fault, rule.operations, rule.remaining - 1)
        name = type(rule.fault).__name__
        self._hits[name] = self._hits.get(name, 0) + 1
        return rule.fault

    async def wait_change(self) -> None:
        """Wait until the next rule is set."""
        await self._changed.wait()

    def count(self) -> dict[str, int]:
        """Return how many requests each fault acted on."""
        return dict(self._hits)
