"""Live daemons and owned resources as one daemon sees them; callers pass the monotonic time."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from fireflybridge_membership._handover import OwnershipTracker
from fireflybridge_membership._members import (
    LOST_AFTER_S,
    Applied,
    DaemonState,
    KnownDaemon,
    ListVerdict,
    MemberKind,
    MemberRecord,
    check_host_list,
    is_lost,
)
from fireflybridge_membership._ownership import (
    Candidate,
    Resource,
    View,
    find_registrar,
    is_leaving,
    list_shards,
    make_shard_resource,
)

# The last state of a lost daemon decides how soon the next owner starts, so it is kept this long.
FORGET_AFTER_S = 60.0


@dataclass(frozen=True, slots=True)
class DaemonReport:
    """Part of a daemon's heartbeat that membership depends on."""

    name: str
    incarnation: str
    failure_domain: str
    state: DaemonState


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Name and address (``ip:port``) of a daemon to keep a link to.

    ``remote`` is true if it is in another failure domain.
    """

    name: str
    address: str
    remote: bool


def should_yield(own: DaemonReport, other: DaemonReport) -> bool:
    """Return whether this daemon yields to another one with the same name.

    A starting daemon yields to one that is already serving; otherwise the daemon with the greater
    incarnation yields.
    """
    starting = own.state is DaemonState.STARTING
    if starting != (other.state is DaemonState.STARTING):
        return starting
    return own.incarnation > other.incarnation


class Membership:
    """Track the other daemons and decide which resources this daemon owns.

    All times are readings of the monotonic clock in seconds. ``tick`` must be called at least once
    a second. A gap of 3 s between calls means that the process was paused and others have taken
    over its resources; the daemon then behaves as if it had just joined.
    """

    def __init__(self, name: str, failure_domain: str, now: float) -> None:
        self._name = name
        self._failure_domain = failure_domain
        self._state = DaemonState.STARTING
        self._started_at = now
        self._last_call_at = now
        self._yielding_until = now
        self._known: dict[str, KnownDaemon] = {}
        self._records: tuple[MemberRecord, ...] = ()
        self._peers: dict[str, PeerAddress] = {}
        self._upstreams: tuple[Resource, ...] = ()
        self._upstream_owners = OwnershipTracker()
        self._shard_owners = OwnershipTracker()
        self._last_update: tuple[View, tuple[Resource, ...]] | None = None

    @property
    def state(self) -> DaemonState:
        """Return the state to announce in this daemon's heartbeats."""
        return self._state

    def set_upstreams(self, upstreams: Iterable[Resource], now: float) -> None:
        """Replace the upstreams of the tables in force."""
        self._detect_pause(now)
        self._upstreams = tuple(upstreams)
        self._update_owners(now)

    def apply_list(self, records: Sequence[MemberRecord], now: float) -> ListVerdict:
        """Apply the platform's host list unless it contradicts the received heartbeats."""
        self._detect_pause(now)
        live = [daemon.name for daemon in self.list_live(now)]
        verdict = check_host_list(records, live)
        if isinstance(verdict, Applied):
            self._records = tuple(records)
            daemons = self._list_daemons()
            kept = {name: self._peers[name] for name in live if name in self._peers}
            self._peers = kept | {
                record.name: self._make_peer_address(record) for record in daemons
            }
            self._update_owners(now)
        return verdict

    def record_heartbeat(self, report: DaemonReport, now: float) -> None:
        """Record a heartbeat of another daemon; one with this daemon's name is ignored."""
        self._detect_pause(now)
        if report.name == self._name:
            return
        known = self._known.get(report.name)
        is_new = known is None or known.incarnation != report.incarnation or is_lost(known, now)
        if known is not None and not is_new:
            self._known[report.name] = replace(known, state=report.state, last_heartbeat_at=now)
        else:
            self._known[report.name] = KnownDaemon(
                name=report.name,
                incarnation=report.incarnation,
                failure_domain=report.failure_domain,
                state=report.state,
                last_heartbeat_at=now,
                first_heartbeat_at=now,
                incumbent=report.state is not DaemonState.STARTING,
            )
        if is_new or known is None or known.state is not report.state:
            self._update_owners(now)

    def resolve_name_conflict(self, incarnation: str, other: DaemonReport, now: float) -> bool:
        """Handle a heartbeat of another daemon with this name; return whether this daemon yields.

        ``incarnation`` is this daemon's. A daemon that yields owns nothing until the other one has
        sent no heartbeat for ``LOST_AFTER_S``.
        """
        self._detect_pause(now)
        own = DaemonReport(self._name, incarnation, self._failure_domain, self._state)
        if self._state is DaemonState.DRAINING or not should_yield(own, other):
            return False
        self._yielding_until = now + LOST_AFTER_S
        self._rejoin(now)
        return True

    def is_yielding(self, now: float) -> bool:
        """Return whether this daemon yields to another one with the same name."""
        return now < self._yielding_until

    def drain(self, now: float) -> None:
        """Release all resources to the other daemons."""
        self._detect_pause(now)
        self._state = DaemonState.DRAINING
        self._update_owners(now)

    def tick(self, now: float) -> None:
        """Update ownership after lost peers, the end of the starting state, or a pause."""
        self._detect_pause(now)
        self._known = {
            name: daemon
            for name, daemon in self._known.items()
            if now - daemon.last_heartbeat_at < FORGET_AFTER_S
        }
        self._update_owners(now)

    def view(self, now: float) -> View:
        """Return the live daemons, including this one, and the leaving upstreams."""
        leaving = {record.name for record in self._list_daemons() if record.leaving}
        candidates = [
            Candidate(
                daemon.name,
                daemon.failure_domain,
                daemon.state is DaemonState.DRAINING or daemon.name in leaving,
            )
            for daemon in self.list_live(now)
        ]
        draining = self._state is DaemonState.DRAINING or self._name in leaving
        candidates.append(Candidate(self._name, self._failure_domain, draining))
        return View(
            self._name,
            tuple(sorted(candidates, key=lambda candidate: candidate.name)),
            frozenset(
                identifier
                for record in self._records
                if record.kind is MemberKind.UPSTREAM and record.leaving
                for identifier in (record.name, record.address)
            ),
        )

    def list_peers(self, own_address: str = "") -> tuple[PeerAddress, ...]:
        """Return the daemons to keep links to.

        This includes a daemon listed under this daemon's name at another address: only its reply
        shows whether it is this daemon or a second one.
        """
        peers = [peer for name, peer in self._peers.items() if name != self._name]
        duplicates = [
            self._make_peer_address(record)
            for record in self._list_daemons()
            if own_address and record.name == self._name and record.address != own_address
        ]
        return tuple(sorted([*peers, *duplicates[:1]], key=lambda peer: peer.name))

    def list_live(self, now: float) -> tuple[KnownDaemon, ...]:
        """Return the other daemons that are not lost."""
        return tuple(daemon for daemon in self._known.values() if not is_lost(daemon, now))

    def list_upstreams(self, now: float) -> tuple[Resource, ...]:
        """Return the upstreams that this daemon owns and may use."""
        return self._list_usable(self._upstream_owners, now)

    def list_shards(self, now: float) -> tuple[Resource, ...]:
        """Return the claim shards that this daemon registers claims for."""
        return self._list_usable(self._shard_owners, now)

    def find_registrar(self, shard: int, now: float) -> str | None:
        """Return the name of the daemon that registers the claims of a shard."""
        # Called for each claim; the owner computed at the last change of the view needs no hashing.
        owner = self._shard_owners.find_owner(make_shard_resource(shard))
        return owner or find_registrar(shard, self.view(now).candidates)

    def find_next_start(self, now: float) -> float | None:
        """Return when this daemon's next resource becomes usable, if any is delayed."""
        starts = (
            self._upstream_owners.find_next_start(self._name, now),
            self._shard_owners.find_next_start(self._name, now),
        )
        return min((start for start in starts if start is not None), default=None)

    def _make_peer_address(self, record: MemberRecord) -> PeerAddress:
        remote = record.failure_domain != self._failure_domain
        return PeerAddress(record.name, record.address, remote)

    def _list_daemons(self) -> tuple[MemberRecord, ...]:
        return tuple(record for record in self._records if record.kind is MemberKind.DAEMON)

    def _list_usable(self, tracker: OwnershipTracker, now: float) -> tuple[Resource, ...]:
        if self._was_paused(now):
            return ()
        return tracker.list_usable(self._name, now)

    def _update_owners(self, now: float) -> None:
        if self._state is DaemonState.STARTING and self._has_started(now):
            self._state = DaemonState.READY
        view = self.view(now)
        if self._state is DaemonState.STARTING or self._last_update == (view, self._upstreams):
            return
        remaining = [upstream for upstream in self._upstreams if not is_leaving(view, upstream)]
        self._upstream_owners.update(view, remaining, self._known, now)
        self._shard_owners.update(view, list_shards(), self._known, now)
        self._last_update = (view, self._upstreams)

    def _detect_pause(self, now: float) -> None:
        if self._was_paused(now):
            self._rejoin(now)
        self._last_call_at = now

    def _was_paused(self, now: float) -> bool:
        return bool(self._known) and now - self._last_call_at >= LOST_AFTER_S

    def _has_started(self, now: float) -> bool:
        """Return whether every listed daemon has sent a heartbeat, or has had enough time to."""
        if self.is_yielding(now):
            return False
        if now - self._started_at >= LOST_AFTER_S:
            return True
        listed = {record.name for record in self._list_daemons() if not record.leaving}
        return self._name in listed and listed - {self._name} <= self._known.keys()

    def _rejoin(self, now: float) -> None:
        """Forget what this daemon owned, since the others considered it lost."""
        if self._state is DaemonState.READY:
            self._state = DaemonState.STARTING
        self._started_at = now
        self._upstream_owners.clear()
        self._shard_owners.clear()
        self._last_update = None
        self._known = {
            name: replace(daemon, first_heartbeat_at=now, incumbent=True)
            for name, daemon in self._known.items()
        }
