"""Handover of resources: delays that minimize the overlap of two owners."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from fireflybridge_membership._members import LOST_AFTER_S, DaemonState, KnownDaemon
from fireflybridge_membership._ownership import Candidate, Resource, View, find_owner


@dataclass(frozen=True, slots=True)
class Ownership:
    """Owner of a resource; ``starts_at`` is the monotonic time from which it may use it."""

    owner: str | None
    starts_at: float


class OwnershipTracker:
    """Track the owner of each resource, as seen by this daemon."""

    def __init__(self) -> None:
        self._ownerships: dict[Resource, Ownership] = {}

    def update(
        self,
        view: View,
        resources: Iterable[Resource],
        known: Mapping[str, KnownDaemon],
        now: float,
    ) -> None:
        """Compute the owners of ``resources`` and forget all other resources."""
        self._ownerships = {
            resource: self._compute(resource, view, known, now) for resource in resources
        }

    def find_owner(self, resource: Resource) -> str | None:
        """Return the owner of a resource, or none when the resource is not tracked."""
        ownership = self._ownerships.get(resource)
        return None if ownership is None else ownership.owner

    def list_usable(self, name: str, now: float) -> tuple[Resource, ...]:
        """Return the resources that the named daemon owns and may use."""
        return tuple(
            resource
            for resource, ownership in self._ownerships.items()
            if ownership.owner == name and ownership.starts_at <= now
        )

    def find_next_start(self, name: str, now: float) -> float | None:
        """Return when the named daemon's next resource becomes usable, if any is delayed."""
        return min(
            (
                ownership.starts_at
                for ownership in self._ownerships.values()
                if ownership.owner == name and ownership.starts_at > now
            ),
            default=None,
        )

    def clear(self) -> None:
        """Forget all owners, for example after a pause in which other daemons took over."""
        self._ownerships.clear()

    def _compute(
        self, resource: Resource, view: View, known: Mapping[str, KnownDaemon], now: float
    ) -> Ownership:
        owner = find_owner(resource, view.candidates)
        current = self._ownerships.get(resource)
        if current is None:
            return Ownership(owner, find_first_start(resource, known, now))
        if current.owner == owner:
            return current
        return Ownership(owner, find_takeover_start(current.owner, known, now))


def find_first_start(resource: Resource, known: Mapping[str, KnownDaemon], now: float) -> float:
    """Return when the owner of a newly tracked resource may start to use it.

    Without incumbents the resource had no owner before. Otherwise the incumbent that owned it
    learns of this daemon and releases the resource within ``LOST_AFTER_S``.
    """
    incumbents = {name: daemon for name, daemon in known.items() if daemon.incumbent}
    previous = find_owner(
        resource,
        tuple(
            Candidate(daemon.name, daemon.failure_domain, daemon.state is DaemonState.DRAINING)
            for daemon in incumbents.values()
        ),
    )
    if previous is None or incumbents[previous].state is DaemonState.DRAINING:
        return now
    return max(now, incumbents[previous].first_heartbeat_at + LOST_AFTER_S)


def find_takeover_start(
    previous: str | None, known: Mapping[str, KnownDaemon], now: float
) -> float:
    """Return when a new owner may start to use a resource of the previous one.

    ``known`` also holds lost daemons. A previous owner that still sends heartbeats and is not
    draining has owned the resource until now; it may take ``LOST_AFTER_S`` to notice the change.
    """
    if previous is None:
        return now
    daemon = known.get(previous)
    if daemon is None:
        return now + LOST_AFTER_S
    if daemon.state is DaemonState.DRAINING:
        return now
    if now - daemon.last_heartbeat_at >= LOST_AFTER_S:
        return now
    return now + LOST_AFTER_S
