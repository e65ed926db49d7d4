"""Estimate of an upstream's clock, from which leases are reckoned."""

from dataclasses import dataclass

CLOCK_DRIFT = 1.03  # an upstream's clock may run slow by 2%


@dataclass(frozen=True, slots=True)
class RemoteClock:
    """Hold one reading of a clock; later readings are never estimated too high."""

    reading_ms: float
    received_s: float

    def estimate_ms(self, now_s: float) -> int:
        """Return the clock's reading at a time of this host, at most what it really shows."""
        return int(self.reading_ms + (now_s - self.received_s) * 1000 / CLOCK_DRIFT)
