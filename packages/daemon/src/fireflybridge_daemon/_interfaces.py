"""Interfaces to the other parts of the daemon that submissions depend on, and their settings."""

from dataclasses import dataclass
from typing import Protocol

from fireflybridge_claims import Claim, Decision
from fireflybridge_core import Answer, Submission
from fireflybridge_daemon._pools import PoolRunner
from fireflybridge_tables import Route


class Claimer(Protocol):
    """Decides claims of chosen keys."""

    async def claim(self, claim: Claim) -> Decision:
        """Return the decision on a claim."""


class Forwarder(Protocol):
    """Sends requests to the only daemon that may start a submission."""

    async def forward(self, executor: str, submission: Submission, digest: bytes) -> Answer:
        """Return the executor's answer, or a refusal when it cannot be reached."""

    async def query(self, key: str, wait_s: float) -> Answer:
        """Return the answer that any other daemon has for a key."""

    def cancel(self, key: str) -> None:
        """Cancel those tasks of a submission that are at other daemons and have not started."""


class TablesLookup(Protocol):
    """Looks up routes and pools in the tables in force."""

    @property
    def loaded(self) -> bool:
        """Return whether any tables are in force."""

    def find_route(self, route: str) -> tuple[Route, PoolRunner] | None:
        """Return a route in force with the runner of its pool."""

    def find_runner(self, pool: str) -> PoolRunner | None:
        """Return the runner of a pool, even after the pool was removed from the tables."""


@dataclass(frozen=True, slots=True)
class SubmissionSettings:
    """Incarnation of this daemon and how many seconds answers are kept."""

    incarnation: str
    retention_s: float
