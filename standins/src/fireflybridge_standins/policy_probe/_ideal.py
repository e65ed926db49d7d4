"""Ideal figures that no real policy can exceed."""

from bisect import insort
from collections.abc import Iterable, Sequence

from fireflybridge_standins.policy_probe._workload import Arrival, list_speeds, sum_capacity


def find_ideal_response(arrival: Arrival) -> float:
    """Return a lower bound of the response time, in seconds, on an empty pool.

    It is the longest task on the fastest upstream, or the whole work on all slots if longer.
    """
    return max(max(arrival.sizes_s) / max(list_speeds().values()), arrival.work_s / sum_capacity())


def admit_clairvoyantly(arrivals: Sequence[Arrival]) -> list[Arrival]:
    """Return the jobs that a clairvoyant admission answers within their windows.

    It knows every run time exactly, serves the admitted jobs in order of deadline on one server
    with the capacity of the whole pool, which can split any task, and admits in order of arrival
    whatever leaves every admitted job in time.
    """
    capacity = sum_capacity()
    queue: list[tuple[float, int, float]] = []
    admitted: list[Arrival] = []
    now_s = 0.0
    for serial, arrival in enumerate(arrivals):
        queue = serve(queue, capacity * (arrival.at_s - now_s))
        now_s = arrival.at_s
        if find_ideal_response(arrival) > arrival.kind.window_s:
            continue
        entry = (now_s + arrival.kind.window_s, serial, arrival.work_s)
        insort(queue, entry)
        if meets_deadlines(queue, now_s, capacity):
            admitted.append(arrival)
        else:
            queue.remove(entry)
    return admitted


def serve(queue: list[tuple[float, int, float]], work_s: float) -> list[tuple[float, int, float]]:
    """Return what is left of a queue after an amount of work."""
    for index, (deadline, serial, rest_s) in enumerate(queue):
        if rest_s > work_s:
            return [(deadline, serial, rest_s - work_s), *queue[index + 1 :]]
        work_s -= rest_s
    return []


def meets_deadlines(
    queue: Iterable[tuple[float, int, float]], now_s: float, capacity: float
) -> bool:
    """Say whether the capacity serves every entry in time in the given order."""
    end_s = now_s
    for deadline, _, rest_s in queue:
        end_s += rest_s / capacity
        if end_s > deadline:
            return False
    return True
