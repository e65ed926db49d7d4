"""Rates of admitted work, by how soon it is due."""

import math

MEMORY_S = 5.0  # arrivals older than this count little; demand swings within seconds
SHORTEST_DELAY_S = 0.1
BUCKETS_PER_DOUBLING = 2


class ArrivalRates:
    """Learn how much work that is due sooner will pass a job that waits."""

    def __init__(self) -> None:
        self._rates: dict[int, float] = {}
        self._updated = 0.0

    def add(self, now: float, delay_s: float, work_s: float) -> None:
        """Note admitted work in slot seconds and the time in seconds until it is due."""
        delay_s = max(delay_s, SHORTEST_DELAY_S)
        fade = math.exp((self._updated - now) / MEMORY_S)
        self._updated = now
        self._rates = {index: rate * fade for index, rate in self._rates.items() if rate > 1e-3}
        index = math.floor(BUCKETS_PER_DOUBLING * math.log2(delay_s))
        self._rates[index] = self._rates.get(index, 0.0) + work_s / MEMORY_S

    def sum_passing(self, now: float, delay_s: float) -> float:
        """Return the slot seconds that will arrive and be due before a job that is due in ``delay_s``.

        Work due ``d`` after its arrival passes the job if it arrives within ``delay_s - d``.
        """
        fade = math.exp((self._updated - now) / MEMORY_S)
        delays = (
            (math.pow(2.0, (index + 1) / BUCKETS_PER_DOUBLING), rate)
            for index, rate in self._rates.items()
        )
        return fade * sum(rate * max(0.0, delay_s - delay) for delay, rate in delays)
