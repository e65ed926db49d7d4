"""Sessions with the upstreams of the failure domains that this host leads."""

import time
from collections.abc import Callable, Iterator, Mapping
from itertools import chain

import anyio
from anyio.abc import TaskGroup

from fireflybridge_execution._directory import DirectoryView
from fireflybridge_execution._live_runs import LiveRuns
from fireflybridge_execution._orders import OrderConnector
from fireflybridge_execution._run_book import Run
from fireflybridge_execution._run_listener import RunListener
from fireflybridge_execution._session import UpstreamSession
from fireflybridge_jobs import EarlierRuns, Resources, UpstreamInfo

SETTLING_S = 2.0  # a lease of an earlier leader and the adoption wait of another new one
DEPARTURE_S = 15.0  # a cut-off leader keeps upstreams whose entries expired for all others


class SessionRoster:
    """Open a session for each upstream that is led, and retire it when it is led no more."""

    def __init__(
        self,
        connector: OrderConnector,
        listener: RunListener,
        on_lost: Callable[[str, Run], None],
    ) -> None:
        """Report the runs of retired sessions to ``on_lost`` once they can't be alive."""
        self.live = LiveRuns()
        self._connector = connector
        self._listener = listener
        self._on_lost = on_lost
        self._fences: Mapping[str, int] = {}
        self._upstreams: Mapping[str, UpstreamInfo] = {}
        self._sessions: dict[str, UpstreamSession] = {}
        self._begun_s = time.monotonic()
        self._gained_s: dict[str, float] = {}
        self._read_s = 0.0
        self._departed_s: dict[str, float] = {}
        self._retired: set[UpstreamSession] = set()
        self._group: TaskGroup | None = None

    def __iter__(self) -> Iterator[UpstreamSession]:
        """Return the open sessions."""
        return iter(self._sessions.values())

    def find(self, upstream: str) -> UpstreamSession | None:
        """Return the session with an upstream, if one is open."""
        return self._sessions.get(upstream)

    def list_admitting(self, now_s: float, needs: Resources) -> list[UpstreamSession]:
        """Return the sessions whose upstream may get a run of this size now."""
        return [
            session
            for session in self._sessions.values()
            if session.admits(now_s) and needs.fits_in(session.room)
        ]

    @property
    def has_synced(self) -> bool:
        """Return whether the runs of any upstream are known."""
        return any(session.synced for session in self)

    @property
    def upstream_count(self) -> int:
        """Return how many upstreams the directory lists, whoever leads them."""
        return len(self._upstreams)

    def compute_settled(self, submitted_s: float) -> float:
        """Return when no run of a job that was submitted again can be alive unknown to this host.

        The job may arrive before the term that brought it here, so its own wait counts as well.
        """
        return max((submitted_s, *self._gained_s.values())) + SETTLING_S

    def knows_runs(self, earlier: EarlierRuns) -> bool:
        """Return whether every upstream that may have such a run has listed its runs."""
        named = (self._sessions.get(name) for name in earlier.upstreams)
        within = (session for session in self if session.info.failure_domain in earlier.domains)
        return (
            all(session is not None and session.synced for session in named)
            and all(session.synced for session in within)
            and all(map(self._sees_upstreams_of, earlier.domains))
        )

    def can_learn_runs(self, earlier: EarlierRuns) -> bool:
        """Return whether the upstreams that may have such a run are all led by this host."""
        return earlier.upstreams <= self._sessions.keys() and all(
            map(self._sees_upstreams_of, earlier.domains)
        )

    def _sees_upstreams_of(self, domain: str) -> bool:
        """Return whether no upstream of a failure domain may obey an earlier leader unseen.

        An upstream whose entry has expired may be alive and obey a leader that still knows it, and
        a view from before this host's term may lack upstreams that have come since.
        """
        return (
            domain in self._fences
            and self._read_s > self._gained_s[domain]
            and time.monotonic() > self._departed_s.get(domain, self._begun_s) + DEPARTURE_S
        )

    def list_running(self, job: str) -> frozenset[str]:
        """Return the upstreams on which a run of a job may be alive, also those led no more."""
        sessions = chain(self, self._retired)
        return frozenset(session.info.id for session in sessions if session.book.has_job(job))

    def start(self, group: TaskGroup) -> None:
        """Run the sessions as tasks of a group."""
        self._group = group
        self._reconcile()

    def lead(self, fences: Mapping[str, int]) -> bool:
        """Give orders in these failure domains; return whether that is a change."""
        if dict(fences) == dict(self._fences):
            return False
        now_s = time.monotonic()
        gained = [domain for domain in fences if fences[domain] != self._fences.get(domain)]
        self._gained_s.update(dict.fromkeys(gained, now_s))
        self._fences = dict(fences)
        self._reconcile()
        return True

    def set_upstreams(self, view: DirectoryView) -> None:
        """Take the newest view of the upstreams."""
        self._read_s = view.read_s
        if view.upstreams == self._upstreams:
            return
        gone = self._upstreams.keys() - view.upstreams.keys()
        domains = {self._upstreams[name].failure_domain for name in gone}
        self._departed_s.update(dict.fromkeys(domains, time.monotonic()))
        self._upstreams = view.upstreams
        self._reconcile()

    def _reconcile(self) -> None:
        wanted = {
            upstream.id: upstream
            for upstream in self._upstreams.values()
            if upstream.failure_domain in self._fences
        }
        for name, session in list(self._sessions.items()):
            info = wanted.get(name)
            if info is None or not self._continues(session, info):
                self._retire(session)
            else:
                session.update(info)
        if self._group is not None:
            for name in wanted.keys() - self._sessions.keys():
                self._open(wanted[name], self._group)

    def _continues(self, session: UpstreamSession, info: UpstreamInfo) -> bool:
        return (
            session.fence == self._fences[info.failure_domain]
            and session.info.address == info.address
            and session.info.incarnation == info.incarnation
        )

    def _open(self, info: UpstreamInfo, group: TaskGroup) -> None:
        fence = self._fences[info.failure_domain]
        session = UpstreamSession(info, fence, self._connector, self._listener, self.live)
        self._sessions[info.id] = session
        group.start_soon(session.serve)

    def _retire(self, session: UpstreamSession) -> None:
        del self._sessions[session.info.id]
        session.close()
        if self._group is not None:
            self._retired.add(session)
            self._group.start_soon(self._outwait_lease, session)

    async def _outwait_lease(self, session: UpstreamSession) -> None:
        await anyio.sleep(max(session.lease_end_s - time.monotonic(), 0))
        self._retired.discard(session)
        for run in session.book.forget_all():
            self._on_lost(session.info.id, run)
