"""Estimation of an upstream's clock, in which the ends of leases are expressed."""

from dataclasses import dataclass

CLOCK_DRIFT_FACTOR = 1.03  # tolerates upstream clocks that run up to 2% slow


@dataclass(frozen=True, slots=True)
class RemoteClock:
    """One reading of a remote clock; estimates of later readings are never too high."""

    reading_ms: float
    received_s: float

    def estimate_ms(self, now_s: float) -> int:
        """Return a lower bound of the clock's reading at a local monotonic time."""
        return int(self.reading_ms + (now_s - self.received_s) * 1000 / CLOCK_DRIFT_FACTOR)
