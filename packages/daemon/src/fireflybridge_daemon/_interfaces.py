"""What the submissions need of other parts of the daemon."""

from dataclasses import dataclass
from typing import Protocol

from fireflybridge_claims import Claim, Decision
from fireflybridge_core import Answer, Submission
from fireflybridge_daemon._pools import PoolRunner
from fireflybridge_tables import Route


class Claimer(Protocol):
    """Decide claims of chosen keys."""

    async def claim(self, claim: Claim) -> Decision:
        """Return the decision on a claim."""


class Forwarder(Protocol):
    """Reach the daemon that alone may start a submission."""

    async def forward(self, executor: str, submission: Submission, digest: bytes) -> Answer:
        """Return the executor's answer, or a refusal when it can't be reached."""

    async def query(self, key: str, wait_s: float) -> Answer:
        """Return the answer that some other daemon holds for a key."""

    def cancel(self, key: str) -> None:
        """Cancel the tasks of a submission that other daemons have not started."""


class Catalogue(Protocol):
    """Look up the tables in force."""

    @property
    def loaded(self) -> bool:
        """Tell whether any tables are in force."""

    def find(self, route: str) -> tuple[Route, PoolRunner] | None:
        """Return a route in force with the runner of its pool."""

    def find_runner(self, pool: str) -> PoolRunner | None:
        """Return the runner of a pool, also of one that has left the tables."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Name this run of the daemon and its time limits in seconds."""

    incarnation: str
    retention_s: float
