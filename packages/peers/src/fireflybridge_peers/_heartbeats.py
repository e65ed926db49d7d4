"""Times at which heartbeats are due."""

from dataclasses import dataclass, replace

# The other end of a pair starts an exchange only when this share of the interval passed without
# one, so that one exchange for each pair and interval carries the heartbeats of both ends.
BACKUP_FACTOR = 1.5
_MIN_GAP_FACTOR = 0.5


@dataclass(frozen=True, slots=True)
class _Times:
    interval_s: float
    exchanged: float = float("-inf")
    sent: float = float("-inf")


class HeartbeatTimes:
    """Own, for each connected peer, when heartbeats were exchanged and sent.

    Times are readings of the monotonic clock in seconds. Of two peers the one whose name sorts
    first starts an exchange each interval, the other one only in its absence.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._times: dict[str, _Times] = {}

    def add(self, peer: str, interval_s: float) -> None:
        """Start with a heartbeat that is due at once."""
        self._times[peer] = _Times(interval_s)

    def remove(self, peer: str) -> None:
        """Forget a peer."""
        self._times.pop(peer, None)

    def note_exchange(self, peer: str, now: float) -> None:
        """Record that an exchange with the peer, started by either end, was completed."""
        if peer in self._times:
            self._times[peer] = replace(self._times[peer], exchanged=now)

    def note_sent(self, peer: str, now: float) -> None:
        """Record that a heartbeat was sent to the peer."""
        if peer in self._times:
            self._times[peer] = replace(self._times[peer], sent=now)

    def hasten(self, peer: str) -> None:
        """Make a heartbeat to the peer due at once."""
        self.note_sent(peer, float("-inf"))

    def find_due(self, peer: str) -> float:
        """Return when this daemon has to start an exchange with a peer, never if not connected."""
        times = self._times.get(peer)
        if times is None:
            return float("inf")
        if times.sent == float("-inf"):
            return times.sent
        factor = 1.0 if self._name < peer else BACKUP_FACTOR
        return times.exchanged + times.interval_s * factor

    def needs_heartbeat(self, peer: str, now: float) -> bool:
        """Return whether the next frame to the peer has to carry a heartbeat."""
        times = self._times.get(peer)
        return times is None or now - times.sent >= times.interval_s * _MIN_GAP_FACTOR
