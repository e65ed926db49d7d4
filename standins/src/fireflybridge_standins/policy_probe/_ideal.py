"""Theoretical bounds that no real policy can exceed."""

from bisect import insort
from collections.abc import Iterable, Sequence

from fireflybridge_standins.policy_probe._workload import Arrival, compute_capacity, list_speeds


def compute_ideal_response(arrival: Arrival) -> float:
    """Return a lower bound of the response time on an idle pool, in seconds.

    It is the run time of the longest task on the fastest upstream, or that of the whole job spread
    over all slots if that is longer.
    """
    return max(
        max(arrival.run_times_s) / max(list_speeds().values()), arrival.work_s / compute_capacity()
    )


def admit_clairvoyantly(arrivals: Sequence[Arrival]) -> list[Arrival]:
    """Return the jobs that a clairvoyant admission control answers within their windows.

    It knows every run time exactly. It runs the admitted jobs earliest deadline first on a single
    server that has the capacity of the whole pool and can split any task. In order of arrival, it
    admits each job with which all admitted jobs still meet their deadlines.
    """
    capacity = compute_capacity()
    queue: list[tuple[float, int, float]] = []
    admitted: list[Arrival] = []
    now_s = 0.0
    for serial, arrival in enumerate(arrivals):
        queue = process_work(queue, capacity * (arrival.at_s - now_s))
        now_s = arrival.at_s
        if compute_ideal_response(arrival) > arrival.kind.window_s:
            continue
        entry = (now_s + arrival.kind.window_s, serial, arrival.work_s)
        insort(queue, entry)
        if meets_deadlines(queue, now_s, capacity):
            admitted.append(arrival)
        else:
            queue.remove(entry)
    return admitted


def process_work(
    queue: list[tuple[float, int, float]], work_s: float
) -> list[tuple[float, int, float]]:
    """Return the queue that remains after an amount of work, in seconds at speed 1."""
    for index, (deadline, serial, remaining_s) in enumerate(queue):
        if remaining_s > work_s:
            return [(deadline, serial, remaining_s - work_s), *queue[index + 1 :]]
        work_s -= remaining_s
    return []


def meets_deadlines(
    queue: Iterable[tuple[float, int, float]], now_s: float, capacity: float
) -> bool:
    """Return whether all entries, run in the given order, end before their deadlines."""
    end_s = now_s
    for deadline, _, remaining_s in queue:
        end_s += remaining_s / capacity
        if end_s > deadline:
            return False
    return True
