"""Lifecycle of the sessions with the upstreams that this host leads."""

import time
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from itertools import chain

import anyio
from anyio.abc import TaskGroup

from fireflybridge_execution._commands import CommandConnector
from fireflybridge_execution._directory import DirectoryView
from fireflybridge_execution._events import CrashSign
from fireflybridge_execution._live_runs import LiveRuns
from fireflybridge_execution._run_listener import RunListener
from fireflybridge_execution._run_registry import Run
from fireflybridge_execution._session import UpstreamSession
from fireflybridge_execution._start_gate import StartGate
from fireflybridge_execution._unknown_runs import UNKNOWN_RUN_LIFETIME_S
from fireflybridge_jobs import EarlierRuns, UpstreamInfo
from fireflybridge_leadership import Notifier

# A leader that is cut off from the store keeps using upstreams whose entries have expired.
REMOVED_UPSTREAM_WAIT_S = 15.0
# A new leader goes on answering heartbeats while it opens its sessions.
OPENED_AT_ONCE = 8
OPENING_INTERVAL_S = 0.005
RESTART_DELAY_S = 0.1  # a new leader waits for the list of every upstream


class SessionManager:
    """Keep one open session with each upstream of the led failure domains."""

    def __init__(
        self,
        connector: CommandConnector,
        listener: RunListener,
        on_lost: Callable[[str, Run], None],
        gate: StartGate,
    ) -> None:
        """Set the callbacks; ``on_lost`` receives the runs of a closed session when its lease ends."""
        self.live_runs = LiveRuns()
        self._connector = connector
        self._listener = listener
        self._on_lost = on_lost
        self._gate = gate
        self._fences: Mapping[str, int] = {}
        self._sessions: dict[str, UpstreamSession] = {}
        self._created_s = time.monotonic()
        self._led_since_s: dict[str, float] = {}
        self._last_removal_s: dict[str, float] = {}
        self._refusing: dict[str, str] = {}
        """Upstreams that have refused a token of this host's tenure, with their failure domains."""
        self._superseded_domains: set[str] = set()
        self._retired: set[UpstreamSession] = set()
        self._group: TaskGroup | None = None
        self._opened: deque[UpstreamSession] = deque()
        """Sessions that are not served yet."""
        self._session_opened = Notifier()

    def __iter__(self) -> Iterator[UpstreamSession]:
        """Iterate over the open sessions."""
        return iter(self._sessions.values())

    def find(self, upstream: str) -> UpstreamSession | None:
        """Return the session with an upstream, if one is open."""
        return self._sessions.get(upstream)

    @property
    def has_synced_upstream(self) -> bool:
        """Return whether any upstream has listed its runs."""
        return any(session.synced for session in self)

    def is_superseded(self, domain: str) -> bool:
        """Return whether an upstream of a led failure domain has refused this host's token."""
        return any(s.superseded and s.info.failure_domain == domain for s in self)

    def supersede(self, upstream: str) -> None:
        """Stop using the failure domain of an upstream that has refused this host's token there.

        The host that leads it now may not reach the other upstreams, and waits until nothing can run
        there for this one any more. An upstream that refuses a renewed token as well concerns only
        itself.
        """
        session = self.find(upstream)
        if session is None or upstream in self._refusing:
            return
        domain = session.info.failure_domain
        self._refusing[upstream] = domain
        for other in self:
            if other.info.failure_domain == domain:
                other.abandon()
        self._superseded_domains.add(domain)
        self._gate.unknown_runs.retain_domains(self._fences.keys() - self._superseded_domains)

    @property
    def upstream_count(self) -> int:
        """Return how many upstreams the directory lists, whoever leads them."""
        return len(self._gate.view.upstreams)

    def compute_unknown_runs_expiry(self, submitted_s: float) -> float:
        """Return when the last unknown run of a resubmitted job must have ended or been reported.

        The job may arrive before the term that made this host its leader, so the time of its
        submission counts as well as the starts of the terms.
        """
        return max((submitted_s, *self._led_since_s.values())) + UNKNOWN_RUN_LIFETIME_S

    def knows_earlier_runs(self, earlier: EarlierRuns) -> bool:
        """Return whether every upstream that may have an earlier run has listed its runs.

        A list under a lower token than the earlier leader's may be older than the runs: this host
        hasn't heard of its own newer term yet.
        """
        named = {name: self._sessions.get(name) for name in earlier.upstreams}
        within = (session for session in self if session.info.failure_domain in earlier.domains)
        return (
            all(
                session is not None and session.synced and session.fence >= earlier.upstreams[name]
                for name, session in named.items()
            )
            and all(session.synced for session in within)
            and all(self._fences.get(name, 0) >= fence for name, fence in earlier.domains.items())
            and all(map(self._knows_all_upstreams, earlier.domains))
        )

    def list_known_domains(self) -> frozenset[str]:
        """Return the led failure domains in which every upstream that may run tasks has listed them."""
        return frozenset(
            domain
            for domain, fence in self._fences.items()
            if self.knows_earlier_runs(EarlierRuns(domains={domain: fence}))
        )

    def can_learn_earlier_runs(self, earlier: EarlierRuns) -> bool:
        """Return whether this host leads every upstream that may have an earlier run."""
        return earlier.upstreams.keys() <= self._sessions.keys() and all(
            map(self._knows_all_upstreams, earlier.domains)
        )

    def _knows_all_upstreams(self, domain: str) -> bool:
        """Return whether the view includes every upstream of a domain that may run tasks.

        An upstream whose entry has expired may still run tasks for a leader that knows it, and a
        view from before this host's term may lack upstreams that registered later.
        """
        return (
            domain in self._fences
            and self._gate.view.read_s > self._led_since_s[domain]
            and time.monotonic()
            > self._last_removal_s.get(domain, self._created_s) + REMOVED_UPSTREAM_WAIT_S
        )

    def find_running_fences(self, job: str) -> dict[str, int]:
        """Return the upstreams on which a run of a job may be alive, including those no longer led.

        The value is the highest fencing token under which this host has used the upstream.
        """
        if not self.has_run(job):
            return {}
        sessions = sorted(chain(self, self._retired), key=lambda session: session.fence)
        return {s.info.id: s.fence for s in sessions if s.runs.has_job(job)}

    def has_run(self, job: str) -> bool:
        """Return whether a run of a job may be alive on an upstream, led still or no longer."""
        return self.live_runs.has_job(job)

    @property
    def fences(self) -> Mapping[str, int]:
        """Return the led failure domains with their fencing tokens."""
        return self._fences

    def start(self, group: TaskGroup) -> None:
        """Open the sessions and run them in a task group."""
        self._group = group
        group.start_soon(self._serve_opened, group)
        self._reconcile()

    def lead(self, fences: Mapping[str, int]) -> bool:
        """Set the led failure domains with their fencing tokens; return whether they changed."""
        if dict(fences) == dict(self._fences):
            return False
        now_s = time.monotonic()
        changed_domains = [
            domain for domain in fences if fences[domain] != self._fences.get(domain)
        ]
        self._led_since_s.update(dict.fromkeys(changed_domains, now_s))
        self._superseded_domains.difference_update(changed_domains)
        if changed_domains:
            self._gate.term_began_s = now_s
        self._fences = dict(fences)
        self._gate.unknown_runs.retain_domains(fences)
        self._refusing = {
            name: domain for name, domain in self._refusing.items() if domain in fences
        }
        self._reconcile()
        return True

    def set_upstreams(self, view: DirectoryView) -> None:
        """Apply the newest view of the directory."""
        known = self._gate.view.upstreams
        self._gate.view = view
        for name in self._gate.unknown_runs.upstreams:
            if name in view.upstreams:
                self._gate.unknown_runs.note_entry(view.upstreams[name])
        if view.upstreams == known:
            return
        domains = {known[name].failure_domain for name in known.keys() - view.upstreams.keys()}
        self._last_removal_s.update(dict.fromkeys(domains, time.monotonic()))
        self._reconcile()

    def _reconcile(self) -> None:
        wanted = {
            upstream.id: upstream
            for upstream in self._gate.view.upstreams.values()
            if upstream.failure_domain in self._fences
        }
        for name, session in list(self._sessions.items()):
            info = wanted.get(name)
            if info is None or not self._is_current(session, info):
                if info is not None and info.incarnation != session.info.incarnation:
                    session.report_crash(CrashSign.RESTARTED)
                self._retire(session)
            else:
                session.update(info)
        if self._group is not None:
            for name in wanted.keys() - self._sessions.keys():
                self._open(wanted[name])

    def _is_current(self, session: UpstreamSession, info: UpstreamInfo) -> bool:
        return (
            session.fence == self._fences[info.failure_domain]
            and session.info.address == info.address
            and session.info.incarnation == info.incarnation
        )

    def _open(self, info: UpstreamInfo) -> None:
        fence = self._fences[info.failure_domain]
        session = UpstreamSession(
            info, fence, self._connector, self._listener, self.live_runs, self._gate
        )
        self._sessions[info.id] = session
        if info.failure_domain in self._superseded_domains:
            session.abandon()
        else:
            led_since_s = self._led_since_s[info.failure_domain]
            self._gate.unknown_runs.expect_list(info, led_since_s, time.monotonic())
        self._listener.availability_changed(info.id)
        self._opened.append(session)
        self._session_opened.notify()

    async def _serve_opened(self, group: TaskGroup) -> None:
        """Serve sessions as they are opened, a few at a time."""
        while True:
            while not self._opened:
                await self._session_opened.wait()
            for _ in range(min(OPENED_AT_ONCE, len(self._opened))):
                session = self._opened.popleft()
                if not session.closed:
                    group.start_soon(self._serve, session)
            await anyio.sleep(OPENING_INTERVAL_S)

    async def _serve(self, session: UpstreamSession) -> None:
        """Serve a session, and replace it after an unexpected error, which must end no other one."""
        try:
            await session.serve()
        except Exception as error:
            self._listener.session_failed(session.info.id, error)
            await anyio.sleep(RESTART_DELAY_S)
            if self.find(session.info.id) is session:
                self._retire(session)
                self._reconcile()

    def _retire(self, session: UpstreamSession) -> None:
        del self._sessions[session.info.id]
        self._listener.availability_changed(session.info.id)
        session.close()
        if self._group is not None:
            self._retired.add(session)
            self._group.start_soon(self._wait_for_lease_end, session)

    async def _wait_for_lease_end(self, session: UpstreamSession) -> None:
        await anyio.sleep(max(session.lease_end_s - time.monotonic(), 0))
        self._retired.discard(session)
        successor = self.find(session.info.id)
        for run in session.runs.clear():
            if successor is None or run.key not in successor.runs:
                self._on_lost(session.info.id, run)
