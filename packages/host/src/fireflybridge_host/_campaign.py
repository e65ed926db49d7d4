"""A host's part in leadership: follow the leader, claim when it is lost, hand over."""

import random

import anyio
from anyio.abc import TaskGroup

from fireflybridge_entry import JobSubmitter, LeaderLink, LocalLeader, PeerService, RemoteLeader
from fireflybridge_execution import Directory, Scheduler
from fireflybridge_host._journal import Journal
from fireflybridge_host._settings import HostSettings
from fireflybridge_leadership import Holder, Leadership, Term, group_orphans

FIRST_CLAIM_SPREAD_S = 0.6  # lets the strongest host of a fresh start claim first
CLAIM_SPREAD_S = 0.03  # parts the claims of hosts that lose their leader together
FULL_STRENGTH = 3.0  # cores from which a stronger host waits no less
RECHECK_S = 1.0
HAND_OVER_S = 0.5


class Campaign:
    """Keep the host under a leader, itself or another."""

    def __init__(
        self,
        settings: HostSettings,
        holder: Holder,
        leadership: Leadership,
        link: LeaderLink,
        submitter: JobSubmitter,
        scheduler: Scheduler,
        directory: Directory,
        peers: PeerService,
        journal: Journal,
    ) -> None:
        self._domain = settings.failure_domain
        self._domains = settings.failure_domains
        self._strength = settings.strength
        self._holder = holder
        self._leadership = leadership
        self._link = link
        self._submitter = submitter
        self._scheduler = scheduler
        self._directory = directory
        self._peers = peers
        self._journal = journal
        self._draining = False
        self._directory_scope: anyio.CancelScope | None = None

    @property
    def leads(self) -> bool:
        """Return whether this host leads any failure domain."""
        return bool(self._leadership.find_led_by(self._holder))

    async def run(self, group: TaskGroup) -> None:
        """Follow or lead until cancelled."""
        group.start_soon(self._apply_terms, group)
        await self._leadership.changed.wait()
        while True:
            term = self._leadership.terms.get(self._domain)
            if term is None:
                await self._claim_first()
            elif term.holder == self._holder:
                await self._leadership.changed.wait(RECHECK_S)
            else:
                await self._follow(term)

    async def hand_over(self) -> None:
        """Give what this host leads to the strongest host that it hears, and claim no more."""
        self._draining = True
        domains = tuple(term.domain for term in self._leadership.find_led_by(self._holder))
        successor = self._peers.find_strongest()
        if not domains or successor is None:
            return
        with anyio.move_on_after(HAND_OVER_S):
            done = False
            while not done and self.leads:
                done = await self._leadership.claim(domains, successor)
                self._journal.record_hand_over(domains, successor.host, done=done)
                if not done:
                    await self._leadership.changed.wait(0.05)

    async def _claim_first(self) -> None:
        share = 1 - min(self._strength / FULL_STRENGTH, 1)
        await anyio.sleep(FIRST_CLAIM_SPREAD_S * share + random.uniform(0, CLAIM_SPREAD_S))
        await self._claim(group_orphans(self._domains, self._leadership.terms, None))

    async def _claim(self, domains: tuple[str, ...]) -> None:
        if self._draining or not domains:
            await self._leadership.changed.wait(RECHECK_S)
            return
        won = await self._leadership.claim(domains, self._holder)
        self._journal.record_claim(domains, won=won)
        if not won:
            await self._leadership.changed.wait(CLAIM_SPREAD_S)

    async def _follow(self, term: Term) -> None:
        holder = term.holder
        if holder.host == self._holder.host:
            # The term is of an earlier life of this host.
            await self._claim((self._domain,))
            return
        self._submitter.set_leader(RemoteLeader(holder.address, holder.incarnation))
        self._journal.record_term(term, own=False)
        loss = await self._link.watch(term)
        if loss is None:
            return
        self._journal.record_lost_leader(term, loss.reason)
        self._submitter.set_leader(None)
        await anyio.sleep(random.uniform(0, CLAIM_SPREAD_S))
        if self._leadership.terms.get(self._domain) == term:
            await self._claim((self._domain,))

    async def _apply_terms(self, group: TaskGroup) -> None:
        """Let the scheduler lead exactly the failure domains that the terms give to this host."""
        while True:
            led = self._leadership.find_led_by(self._holder)
            if led and self._directory_scope is None:
                self._directory_scope = anyio.CancelScope()
                group.start_soon(self._follow_directory, self._directory_scope)
            if not led and self._directory_scope is not None:
                self._directory_scope.cancel()
                self._directory_scope = None
            own = self._leadership.terms.get(self._domain)
            if own is not None and own.holder == self._holder:
                self._submitter.set_leader(LocalLeader())
            self._scheduler.lead({term.domain: term.fence for term in led})
            await self._leadership.changed.wait()

    async def _follow_directory(self, scope: anyio.CancelScope) -> None:
        with scope:
            await self._directory.follow()
