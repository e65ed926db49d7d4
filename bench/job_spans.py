"""Measure from the hosts' logs of a play how long jobs and new leaders wait for a first placement.

Each LOG is the output of `fleetbench run SITE DAY --log all`, standard error included. Prints a
JSON object with the figures of each LOG. All times run between two log lines of the hosts.
"""

import argparse
import json
import math
import re
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*)")
P99 = 0.99
MS_PER_S = 1000.0


@dataclass(frozen=True)
class JobReceived:
    """A leader has taken a job (7101)."""

    at_s: float
    host: str
    job: str


@dataclass(frozen=True)
class TasksPlaced:
    """A leader has placed tasks of a job (7102)."""

    at_s: float
    host: str
    job: str


@dataclass(frozen=True)
class JobEnded:
    """A job has ended at a leader (7104)."""

    at_s: float
    host: str
    job: str


@dataclass(frozen=True)
class TermBegun:
    """A host has begun to lead by a claim (7403), a hand-over (7404) or without the log (7405)."""

    at_s: float
    host: str
    failure_domains: tuple[str, ...]


Event = JobReceived | TasksPlaced | JobEnded | TermBegun


@dataclass(frozen=True)
class Reception:
    """The stay of a job at one leader."""

    job: str
    host: str
    received_s: float
    placed_s: float | None = None


@dataclass(frozen=True)
class Term:
    """A leader's term up to its first placement, of a job that it received at `received_s`."""

    host: str
    begun_s: float
    placed_s: float | None = None
    received_s: float | None = None


@dataclass(frozen=True)
class Summary:
    """The number of measured times, and their order statistics in milliseconds."""

    count: int
    median_ms: float
    p99_ms: float
    max_ms: float


@dataclass(frozen=True)
class Figures:
    """What is measured in one log.

    `reception_to_placement` has one time for each leader that received a job and placed tasks of it;
    `job_to_placement` runs from a job's first reception to its first placement, at any leaders.
    `term_to_placement` includes the wait for a job, `term_or_job_to_placement` begins when the
    leader has both.
    """

    receptions: int
    receptions_without_placement: int
    terms: int
    terms_without_placement: int
    reception_to_placement: Summary | None
    job_to_placement: Summary | None
    term_to_placement: Summary | None
    term_or_job_to_placement: Summary | None


def parse_event(at_s: float, host: str, fields: dict[str, Any]) -> Event | None:
    """Return the event that a log line describes, if it is one of those measured."""
    match fields:
        case {"event_id": 7101, "job": job}:
            return JobReceived(at_s, host, job)
        case {"event_id": 7102, "job": job, "placements": [_, *_]}:
            return TasksPlaced(at_s, host, job)
        case {"event_id": 7104, "job": job}:
            return JobEnded(at_s, host, job)
        case {"event_id": 7403, "result": "WON", "failure_domains": domains}:
            return TermBegun(at_s, host, tuple(domains))
        case {"event_id": 7404, "done": True, "successor": successor, "failure_domains": domains}:
            return TermBegun(at_s, successor, tuple(domains))
        case {"event_id": 7405, "failure_domain": domain}:
            return TermBegun(at_s, host, (domain,))
        case _:
            return None


def read_events(path: Path) -> list[Event]:
    """Return the measured events of a log in the order of their times."""
    with path.open(errors="replace") as lines:
        found = [match for match in map(LINE.match, lines) if match]
    return sorted(_parse_lines(found), key=lambda event: event.at_s)


def _parse_lines(matches: Iterable[re.Match[str]]) -> Iterator[Event]:
    for match in matches:
        try:
            fields = json.loads(match[3])
        except ValueError:
            continue  # a line that was cut at the end of its process
        event = parse_event(float(match[1]), match[2], fields)
        if event is not None:
            yield event


def collect_receptions(events: Iterable[Event]) -> list[Reception]:
    """Return the stays of all jobs at all leaders, also those that have not ended."""
    current: dict[tuple[str, str], Reception] = {}
    closed: list[Reception] = []
    for event in events:
        match event:
            case JobReceived(at_s, host, job):
                if (job, host) in current:
                    closed.append(current[job, host])
                current[job, host] = Reception(job, host, at_s)
            case TasksPlaced(at_s, host, job):
                reception = current.get((job, host))
                if reception is not None and reception.placed_s is None:
                    current[job, host] = replace(reception, placed_s=at_s)
            case JobEnded(_, host, job):
                if (job, host) in current:
                    closed.append(current.pop((job, host)))
            case TermBegun():
                pass
    return closed + list(current.values())


def collect_terms(events: Iterable[Event]) -> list[Term]:
    """Return the terms of all leaders, each with the first placement before the host's next term."""
    received: dict[tuple[str, str], float] = {}
    current: dict[str, Term] = {}
    closed: list[Term] = []
    for event in events:
        match event:
            case JobReceived(at_s, host, job):
                received[job, host] = at_s
            case TermBegun(at_s, host, _):
                if host in current:
                    closed.append(current[host])
                current[host] = Term(host, at_s)
            case TasksPlaced(at_s, host, job):
                term = current.get(host)
                if term is not None and term.placed_s is None:
                    since = received.get((job, host))
                    current[host] = replace(term, placed_s=at_s, received_s=since)
            case JobEnded():
                pass
    return closed + list(current.values())


def measure_jobs(receptions: Iterable[Reception]) -> list[float]:
    """Return for each placed job the time from its first reception to its first placement."""
    first_received: dict[str, float] = {}
    first_placed: dict[str, float] = {}
    for reception in receptions:
        job, placed_s = reception.job, reception.placed_s
        first_received[job] = min(first_received.get(job, math.inf), reception.received_s)
        if placed_s is not None:
            first_placed[job] = min(first_placed.get(job, math.inf), placed_s)
    return [placed_s - first_received[job] for job, placed_s in first_placed.items()]


def summarize(times_s: Iterable[float]) -> Summary | None:
    """Return the order statistics of the times, the p99 by nearest rank, or None without times."""
    ordered = [round(time_s * MS_PER_S, 3) for time_s in sorted(times_s)]
    if not ordered:
        return None
    median_ms, p99_ms = (ordered[math.ceil(rank * len(ordered)) - 1] for rank in (0.5, P99))
    return Summary(len(ordered), median_ms, p99_ms, ordered[-1])


def measure(events: list[Event]) -> Figures:
    """Return the figures of one play."""
    receptions = collect_receptions(events)
    terms = collect_terms(events)
    placed = [item for item in receptions if item.placed_s is not None]
    led = [item for item in terms if item.placed_s is not None]
    return Figures(
        receptions=len(receptions),
        receptions_without_placement=len(receptions) - len(placed),
        terms=len(terms),
        terms_without_placement=len(terms) - len(led),
        reception_to_placement=summarize(item.placed_s - item.received_s for item in placed),
        job_to_placement=summarize(measure_jobs(receptions)),
        term_to_placement=summarize(item.placed_s - item.begun_s for item in led),
        term_or_job_to_placement=summarize(
            item.placed_s - max(item.begun_s, item.received_s)
            for item in led
            if item.received_s is not None
        ),
    )


def main() -> None:
    """Print the figures of the logs named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", nargs="+", type=Path, metavar="LOG")
    options = parser.parse_args()
    figures = {str(path): asdict(measure(read_events(path))) for path in options.logs}
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
