"""What a load run sends, and what it saw."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Plan:
    """Describe a load run.

    ``size`` is the number of tasks of each job; 0 sends single requests. The run ends after
    ``count`` submissions or ``seconds``, whichever is first. Each connection is kept and carries
    one submission at a time; connections are spread over the daemons at ``addresses`` in turn.
    """

    addresses: tuple[str, ...]
    route: str
    size: int
    count: int
    connections: int
    seconds: float
    body: str
    teams: int = 1


@dataclass(frozen=True, slots=True)
class Report:
    """Hold what a load run saw; times in seconds, or in milliseconds where the name says so.

    ``answers`` counts submissions by ``complete`` or the problem of their refusal. ``cpu_s`` is the
    generator's own CPU time, so that a reader can tell whether it was the limit.
    """

    submissions: int
    answers: Mapping[str, int]
    tasks_done: int
    elapsed_s: float
    cpu_s: float
    p50_ms: float
    p99_ms: float
