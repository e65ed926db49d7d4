"""Membership of one daemon, on the monotonic clock that its callers read."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from fireflybridge_membership._members import (
    LOST_AFTER_S,
    Applied,
    DaemonState,
    HeardDaemon,
    ListVerdict,
    MemberKind,
    MemberRecord,
    is_lost,
    judge_list,
)
from fireflybridge_membership._ownership import (
    Candidate,
    Resource,
    View,
    find_registrar,
    is_leaving,
    list_shards,
    name_shard,
)
from fireflybridge_membership._tenures import Tenures

# A lost daemon's last state decides how soon its successor starts, so it is kept for a while.
FORGOTTEN_AFTER_S = 60.0


@dataclass(frozen=True, slots=True)
class PeerReport:
    """Hold what a daemon says about itself in a heartbeat."""

    name: str
    incarnation: str
    failure_domain: str
    state: DaemonState


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Name a daemon to keep a link to, at ``ip:port``.

    ``remote`` states that it is in another failure domain.
    """

    name: str
    address: str
    remote: bool


def should_yield(own: PeerReport, other: PeerReport) -> bool:
    """Decide which of two daemons of one name gives way.

    It is the one that has only started, so that the other goes on; else that of the greater
    incarnation.
    """
    starting = own.state is DaemonState.STARTING
    if starting != (other.state is DaemonState.STARTING):
        return starting
    return own.incarnation > other.incarnation


class Membership:
    """Own what one daemon knows of the others and decide what it owns itself.

    Every time is a reading of the monotonic clock in seconds. ``tick`` is called at least once a
    second; a gap of 3 s between calls means that the process was paused while others took over,
    and the daemon then starts again as if it had just joined.
    """

    def __init__(self, name: str, failure_domain: str, now: float) -> None:
        self._name = name
        self._failure_domain = failure_domain
        self._state = DaemonState.STARTING
        self._started_at = now
        self._seen_at = now
        self._yields_until = now
        self._heard: dict[str, HeardDaemon] = {}
        self._records: tuple[MemberRecord, ...] = ()
        self._peers: dict[str, PeerAddress] = {}
        self._resources: tuple[Resource, ...] = ()
        self._upstreams = Tenures()
        self._shards = Tenures()
        self._followed: tuple[View, tuple[Resource, ...]] | None = None

    @property
    def state(self) -> DaemonState:
        """Return the state that this daemon's heartbeats announce."""
        return self._state

    def set_upstreams(self, upstreams: Iterable[Resource], now: float) -> None:
        """Replace the upstreams that the tables name."""
        self._note_time(now)
        self._resources = tuple(upstreams)
        self._follow(now)

    def apply_list(self, records: Sequence[MemberRecord], now: float) -> ListVerdict:
        """Take the platform's list over unless it contradicts what is heard."""
        self._note_time(now)
        live = [daemon.name for daemon in self.list_live(now)]
        verdict = judge_list(records, live)
        if isinstance(verdict, Applied):
            self._records = tuple(records)
            daemons = self._list_daemons()
            kept = {name: self._peers[name] for name in live if name in self._peers}
            self._peers = kept | {record.name: self._locate(record) for record in daemons}
            self._follow(now)
        return verdict

    def hear(self, report: PeerReport, now: float) -> None:
        """Record a heartbeat of another daemon."""
        self._note_time(now)
        if report.name == self._name:
            return
        known = self._heard.get(report.name)
        rejoined = known is None or known.incarnation != report.incarnation or is_lost(known, now)
        if known is not None and not rejoined:
            self._heard[report.name] = replace(known, state=report.state, heard_at=now)
        else:
            self._heard[report.name] = HeardDaemon(
                name=report.name,
                incarnation=report.incarnation,
                failure_domain=report.failure_domain,
                state=report.state,
                heard_at=now,
                first_heard_at=now,
                incumbent=report.state is not DaemonState.STARTING,
            )
        if rejoined or known is None or known.state is not report.state:
            self._follow(now)

    def hear_namesake(self, incarnation: str, other: PeerReport, now: float) -> bool:
        """Return whether this daemon, of ``incarnation``, gives way to another one of its name.

        It then owns nothing until the other was not heard for as long as a lost daemon.
        """
        self._note_time(now)
        own = PeerReport(self._name, incarnation, self._failure_domain, self._state)
        if self._state is DaemonState.DRAINING or not should_yield(own, other):
            return False
        self._yields_until = now + LOST_AFTER_S
        self._rejoin(now)
        return True

    def yields(self, now: float) -> bool:
        """Tell whether this daemon gives way to another one of its name."""
        return now < self._yields_until

    def drain(self, now: float) -> None:
        """Give up everything to the other daemons."""
        self._note_time(now)
        self._state = DaemonState.DRAINING
        self._follow(now)

    def tick(self, now: float) -> None:
        """Follow the passing of time: lost peers, the end of the start, a pause."""
        self._note_time(now)
        self._heard = {
            name: daemon
            for name, daemon in self._heard.items()
            if now - daemon.heard_at < FORGOTTEN_AFTER_S
        }
        self._follow(now)

    def view(self, now: float) -> View:
        """Return the live daemons, this one included, and the leaving upstreams."""
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
                text
                for record in self._records
                if record.kind is MemberKind.UPSTREAM and record.leaving
                for text in (record.name, record.address)
            ),
        )

    def list_peers(self, own_address: str = "") -> tuple[PeerAddress, ...]:
        """Return the daemons to keep links to.

        One that is listed under this daemon's name at another address is among them: only an
        answer tells whether it is this daemon or a second one.
        """
        peers = [peer for name, peer in self._peers.items() if name != self._name]
        namesakes = [
            self._locate(record)
            for record in self._list_daemons()
            if own_address and record.name == self._name and record.address != own_address
        ]
        return tuple(sorted([*peers, *namesakes[:1]], key=lambda peer: peer.name))

    def list_live(self, now: float) -> tuple[HeardDaemon, ...]:
        """Return the other daemons that are heard."""
        return tuple(daemon for daemon in self._heard.values() if not is_lost(daemon, now))

    def list_upstreams(self, now: float) -> tuple[Resource, ...]:
        """Return the upstreams that this daemon owns and may use."""
        return self._list_started(self._upstreams, now)

    def list_shards(self, now: float) -> tuple[Resource, ...]:
        """Return the claim shards that this daemon registers claims for."""
        return self._list_started(self._shards, now)

    def find_registrar(self, shard: int, now: float) -> str | None:
        """Return the name of the daemon that registers the claims of a shard."""
        # A claim asks for this; the owner that the last change of the view gave costs no hashing.
        known = self._shards.find_owner(name_shard(shard))
        return known or find_registrar(shard, self.view(now).candidates)

    def find_next_start(self, now: float) -> float | None:
        """Return when this daemon may start to use the next resource, if one is waiting."""
        starts = (
            self._upstreams.find_next_start(self._name, now),
            self._shards.find_next_start(self._name, now),
        )
        return min((start for start in starts if start is not None), default=None)

    def _locate(self, record: MemberRecord) -> PeerAddress:
        remote = record.failure_domain != self._failure_domain
        return PeerAddress(record.name, record.address, remote)

    def _list_daemons(self) -> tuple[MemberRecord, ...]:
        return tuple(record for record in self._records if record.kind is MemberKind.DAEMON)

    def _list_started(self, tenures: Tenures, now: float) -> tuple[Resource, ...]:
        if self._was_paused(now):
            return ()
        return tenures.list_started(self._name, now)

    def _follow(self, now: float) -> None:
        if self._state is DaemonState.STARTING and self._has_settled(now):
            self._state = DaemonState.READY
        view = self.view(now)
        if self._state is DaemonState.STARTING or self._followed == (view, self._resources):
            return
        staying = [upstream for upstream in self._resources if not is_leaving(view, upstream)]
        self._upstreams.update(view, staying, self._heard, now)
        self._shards.update(view, list_shards(), self._heard, now)
        self._followed = (view, self._resources)

    def _note_time(self, now: float) -> None:
        if self._was_paused(now):
            self._rejoin(now)
        self._seen_at = now

    def _was_paused(self, now: float) -> bool:
        return bool(self._heard) and now - self._seen_at >= LOST_AFTER_S

    def _has_settled(self, now: float) -> bool:
        """Return whether every listed daemon was heard, or had the time to be heard."""
        if self.yields(now):
            return False
        if now - self._started_at >= LOST_AFTER_S:
            return True
        listed = {record.name for record in self._list_daemons() if not record.leaving}
        return self._name in listed and listed - {self._name} <= self._heard.keys()

    def _rejoin(self, now: float) -> None:
        """Forget what this daemon owned, since the others saw it as lost."""
        if self._state is DaemonState.READY:
            self._state = DaemonState.STARTING
        self._started_at = now
        self._upstreams.clear()
        self._shards.clear()
        self._followed = None
        self._heard = {
            name: replace(daemon, first_heard_at=now, incumbent=True)
            for name, daemon in self._heard.items()
        }
