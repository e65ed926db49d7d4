"""Arrival rates of admitted work, by how soon it is due."""

import math

DECAY_S = 5.0  # arrivals older than this count little, since demand changes within seconds
SHORTEST_DELAY_S = 0.1
BUCKETS_PER_DOUBLING = 2


class ArrivalRates:
    """Estimate how much work will arrive and overtake a waiting job because it is due earlier."""

    def __init__(self) -> None:
        self._rates: dict[int, float] = {}
        self._updated = 0.0

    def add(self, now: float, delay_s: float, work_s: float) -> None:
        """Record admitted work in slot seconds that is due in ``delay_s`` seconds."""
        delay_s = max(delay_s, SHORTEST_DELAY_S)
        decay = math.exp((self._updated - now) / DECAY_S)
        self._updated = now
        self._rates = {index: rate * decay for index, rate in self._rates.items() if rate > 1e-3}
        index = math.floor(BUCKETS_PER_DOUBLING * math.log2(delay_s))
        self._rates[index] = self._rates.get(index, 0.0) + work_s / DECAY_S

    def sum_overtaking(self, now: float, delay_s: float) -> float:
        """Return the slot seconds expected to arrive and be due before a job due in ``delay_s``.

        Work due ``d`` after its arrival overtakes the job if it arrives within ``delay_s - d``.
        """
        decay = math.exp((self._updated - now) / DECAY_S)
        delays = (
            (math.pow(2.0, (index + 1) / BUCKETS_PER_DOUBLING), rate)
            for index, rate in self._rates.items()
        )
        return decay * sum(rate * max(0.0, delay_s - delay) for delay, rate in delays)
