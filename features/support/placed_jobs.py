"""Check over the hosts' logs that no two leaders have placed tasks of one job at one time."""

import math
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from datetime import datetime
from enum import IntEnum
from itertools import chain, combinations, groupby
from operator import attrgetter
from typing import Any

Event = Mapping[str, Any]
Events = Sequence[Event]
"""The log lines of one process in order."""


class EventId(IntEnum):
    """Ids of the log lines on a job at its leader."""

    RECEIVED = 7101
    PLACED = 7102
    ENDED = 7104


@dataclass(frozen=True, slots=True)
class HeldJob:
    """Hold from when to when a leader had a job; times are those of the log lines, in seconds.

    ``marked`` tells whether the submission named earlier runs. A job that a process hasn't ended is
    taken to end with the last line of the process.
    """

    job: str
    host: str
    marked: bool
    received_s: float
    placed_s: float = math.inf
    """When the leader first placed tasks of the job; infinite if it placed none."""
    ended_s: float = math.inf
    reason: str = ""


HeldPair = tuple[HeldJob, HeldJob]


def find_double_placements(logs: Iterable[Events]) -> list[HeldPair]:
    """Return the pairs of leaders each of which had placed tasks of a job before the other's end."""
    return [pair for pair in find_shared_jobs(logs) if _overlap(pair, "placed_s")]


def find_shared_jobs(logs: Iterable[Events]) -> list[HeldPair]:
    """Return the pairs of leaders that had one job at the same time, by the time of its receipt."""
    held = sorted(
        chain.from_iterable(map(_read_jobs, logs)), key=attrgetter("job", "received_s", "host")
    )
    return [
        pair
        for _, jobs in groupby(held, key=attrgetter("job"))
        for pair in combinations(jobs, 2)
        if pair[0].host != pair[1].host and _overlap(pair, "received_s")
    ]


def count_shared_jobs(pairs: Iterable[HeldPair]) -> dict[str, int]:
    """Return how many pairs there are by whether the later submission was marked."""
    return dict(Counter("marked" if later.marked else "unmarked" for _, later in pairs))


def _overlap(pair: HeldPair, begin: str) -> bool:
    return max(map(attrgetter(begin), pair)) < min(map(attrgetter("ended_s"), pair))


def _read_jobs(events: Events) -> Iterator[HeldJob]:
    """Yield the jobs that one process had as leader."""
    current: dict[str, HeldJob] = {}
    for event in events:
        match event:
            case {"event_id": EventId.RECEIVED, "job": job}:
                received = HeldJob(job, event["host"], event["resubmitted"], _read_time(event))
                current.setdefault(job, received)
            case {"event_id": EventId.PLACED, "job": job} if job in current:
                held = current[job]
                current[job] = replace(held, placed_s=min(held.placed_s, _read_time(event)))
            case {"event_id": EventId.ENDED, "job": job, "reason": reason} if job in current:
                yield replace(current.pop(job), ended_s=_read_time(event), reason=reason)
    for held in current.values():
        yield replace(held, ended_s=_read_time(events[-1]), reason="the process has ended")


def _read_time(event: Event) -> float:
    return datetime.fromisoformat(event["timestamp"]).timestamp()
