"""Times at which a new owner may start, so that two owners overlap as little as possible."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from fireflybridge_membership._members import LOST_AFTER_S, DaemonState, HeardDaemon
from fireflybridge_membership._ownership import Candidate, Resource, View, find_owner


@dataclass(frozen=True, slots=True)
class Tenure:
    """Hold a resource's owner and the monotonic reading, in seconds, from which it may start."""

    owner: str | None
    starts_at: float


class Tenures:
    """Own the tenure of each resource that this daemon has seen."""

    def __init__(self) -> None:
        self._tenures: dict[Resource, Tenure] = {}

    def update(
        self,
        view: View,
        resources: Iterable[Resource],
        heard: Mapping[str, HeardDaemon],
        now: float,
    ) -> None:
        """Follow changes of owners and forget resources that are not given any more."""
        self._tenures = {
            resource: self._follow(resource, view, heard, now) for resource in resources
        }

    def find_owner(self, resource: Resource) -> str | None:
        """Return the owner of a resource, or none when it is not followed."""
        tenure = self._tenures.get(resource)
        return None if tenure is None else tenure.owner

    def list_started(self, name: str, now: float) -> tuple[Resource, ...]:
        """Return the resources that the named daemon owns and may use."""
        return tuple(
            resource
            for resource, tenure in self._tenures.items()
            if tenure.owner == name and tenure.starts_at <= now
        )

    def find_next_start(self, name: str, now: float) -> float | None:
        """Return when the next resource of the named daemon may be used, if one is waiting."""
        return min(
            (
                tenure.starts_at
                for tenure in self._tenures.values()
                if tenure.owner == name and tenure.starts_at > now
            ),
            default=None,
        )

    def clear(self) -> None:
        """Forget every tenure, as after a pause in which other daemons took over."""
        self._tenures.clear()

    def _follow(
        self, resource: Resource, view: View, heard: Mapping[str, HeardDaemon], now: float
    ) -> Tenure:
        owner = find_owner(resource, view.candidates)
        known = self._tenures.get(resource)
        if known is None:
            return Tenure(owner, find_first_start(resource, heard, now))
        if known.owner == owner:
            return known
        return Tenure(owner, find_takeover_start(known.owner, heard, now))


def find_first_start(resource: Resource, heard: Mapping[str, HeardDaemon], now: float) -> float:
    """Return when the owner of a resource that is seen for the first time may start.

    Without incumbents nobody owned it before. Otherwise the incumbent that owned it learns of this
    daemon and gives it up within the time after which it would count as lost.
    """
    incumbents = {name: daemon for name, daemon in heard.items() if daemon.incumbent}
    previous = find_owner(
        resource,
        tuple(
            Candidate(daemon.name, daemon.failure_domain, daemon.state is DaemonState.DRAINING)
            for daemon in incumbents.values()
        ),
    )
    if previous is None or incumbents[previous].state is DaemonState.DRAINING:
        return now
    return max(now, incumbents[previous].first_heard_at + LOST_AFTER_S)


def find_takeover_start(
    previous: str | None, heard: Mapping[str, HeardDaemon], now: float
) -> float:
    """Return when a new owner may start after the previous one.

    ``heard`` also holds daemons that are lost. A previous owner that is still heard, and does not
    drain, was owner until now; it needs the same time to see what changed.
    """
    if previous is None:
        return now
    daemon = heard.get(previous)
    if daemon is None:
        return now + LOST_AFTER_S
    if daemon.state is DaemonState.DRAINING:
        return now
    if now - daemon.heard_at >= LOST_AFTER_S:
        return now
    return now + LOST_AFTER_S
