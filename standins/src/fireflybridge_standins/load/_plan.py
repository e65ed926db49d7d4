"""Plan and report of a load run."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a load run.

    ``size`` is the number of tasks of each job; 0 sends single requests. The run ends after
    ``count`` submissions or ``seconds``, whichever is first. Each connection is persistent and
    carries one submission at a time; connections are assigned to the daemons at ``addresses`` in
    turn.
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
    """Results of a load run; times in seconds, or in milliseconds where the name says so.

    ``answers`` counts the responses by ``complete`` or their problem type. ``cpu_s`` is the CPU
    time of the generator itself, which shows whether it limited the load.
    """

    submissions: int
    answers: Mapping[str, int]
    tasks_done: int
    elapsed_s: float
    cpu_s: float
    p50_ms: float
    p99_ms: float
