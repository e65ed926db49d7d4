"""Schedule of the heartbeats to each peer."""

from dataclasses import dataclass, replace

# The other daemon of a pair starts an exchange only after this many intervals without one, so that
# one exchange for each pair and interval carries the heartbeats of both.
BACKUP_FACTOR = 1.5
_MIN_GAP_FACTOR = 0.5


@dataclass(frozen=True, slots=True)
class _PeerTimes:
    interval_s: float
    exchanged: float = float("-inf")
    sent: float = float("-inf")


class HeartbeatSchedule:
    """Times of the last exchange and the last heartbeat for each connected peer.

    Times are readings of the monotonic clock in seconds. Of two peers the one whose name sorts
    first starts an exchange every interval, the other one only if that does not happen.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._times: dict[str, _PeerTimes] = {}

    def add(self, peer: str, interval_s: float) -> None:
        """Add a peer, with a heartbeat due immediately."""
        self._times[peer] = _PeerTimes(interval_s)

    def remove(self, peer: str) -> None:
        """Remove a peer, if it is known."""
        self._times.pop(peer, None)

    def record_exchange(self, peer: str, now: float) -> None:
        """Record that an exchange with the peer, started by either side, was completed."""
        if peer in self._times:
            self._times[peer] = replace(self._times[peer], exchanged=now)

    def record_sent(self, peer: str, now: float) -> None:
        """Record that a heartbeat was sent to the peer."""
        if peer in self._times:
            self._times[peer] = replace(self._times[peer], sent=now)

    def make_due(self, peer: str) -> None:
        """Make a heartbeat to the peer due immediately."""
        self.record_sent(peer, float("-inf"))

    def find_due(self, peer: str) -> float:
        """Return when this daemon has to start an exchange; infinity for an unknown peer."""
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
