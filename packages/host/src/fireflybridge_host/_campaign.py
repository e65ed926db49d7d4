"""A host's part in leadership: follow the leader, claim when it is lost, hand over."""

import random
import time

import anyio
from anyio.abc import TaskGroup

from fireflybridge_entry import (
    JobSubmitter,
    LeaderLink,
    LocalLeader,
    Peer,
    PeerService,
    RemoteLeader,
)
from fireflybridge_execution import Scheduler, UpstreamDirectory
from fireflybridge_host._journal import Journal
from fireflybridge_host._settings import HostSettings
from fireflybridge_leadership import (
    ClaimResult,
    Holder,
    Leadership,
    Term,
    begin_provisional_term,
    group_orphans,
)

FIRST_CLAIM_SPREAD_S = 0.6  # lets the strongest host of a fresh start claim first
CLAIM_SPREAD_S = 0.03  # parts the claims of hosts that lose their leader together
FULL_STRENGTH = 3.0  # cores from which a stronger host waits no less
RECHECK_S = 1.0
JOIN_AFTER_S = 1.5  # a host that flaps would move the upstreams to and fro
HAND_OVER_S = 0.5
STRONGER_FACTOR = 2.0  # a smaller difference is not worth a hand-over
DISTRUST_S = 10.0  # a host that was lost as leader may be slow for seconds


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
        directory: UpstreamDirectory,
        peers: PeerService,
        journal: Journal,
    ) -> None:
        self._domain = settings.failure_domain
        self._domains = settings.failure_domains
        self._strength = settings.strength
        self._joined_upstreams = settings.joined_upstreams
        self._holder = holder
        self._leadership = leadership
        self._link = link
        self._submitter = submitter
        self._scheduler = scheduler
        self._directory = directory
        self._peers = peers
        self._journal = journal
        self._draining = False
        self._lost_s: dict[str, float] = {}

    @property
    def leads(self) -> bool:
        """Return whether this host leads any failure domain."""
        return bool(self._leadership.find_led_by(self._holder))

    async def run(self, group: TaskGroup) -> None:
        """Follow or lead until cancelled."""
        group.start_soon(self._apply_terms)
        await self._leadership.changed.wait()
        while True:
            term = self._leadership.terms.get(self._domain)
            if term is None:
                await self._claim_first()
            elif term.holder == self._holder:
                await self._lead(term)
            else:
                await self._follow(term)

    async def hand_over(self) -> None:
        """Give what this host leads to the strongest host that it hears, and claim no more."""
        self._draining = True
        self._link.start_draining()
        successor = self._peers.find_strongest(self._common_domains)
        if successor is None:
            return
        with anyio.move_on_after(HAND_OVER_S):
            while self.leads and not await self._give(self._led_domains, successor.holder):
                await self._leadership.changed.wait(CLAIM_SPREAD_S)

    @property
    def _led_domains(self) -> tuple[str, ...]:
        return tuple(term.domain for term in self._leadership.find_led_by(self._holder))

    @property
    def _leads_jointly(self) -> bool:
        """Return whether one leader is to see the room of all failure domains.

        An empty directory tells nothing: a host that started while the store is away has none.
        """
        return 0 < self._scheduler.upstream_count <= self._joined_upstreams

    @property
    def _common_domains(self) -> tuple[str, ...]:
        """Return the failure domains that are to have one leader with this host's."""
        return self._domains if self._leads_jointly else (self._domain,)

    async def _give(self, domains: tuple[str, ...], successor: Holder) -> bool:
        result = await self._leadership.claim(domains, successor)
        done = result is ClaimResult.WON
        self._journal.record_hand_over(domains, successor.host, done=done)
        return done

    async def _claim_first(self) -> None:
        share = 1 - min(self._strength / FULL_STRENGTH, 1)
        await anyio.sleep(FIRST_CLAIM_SPREAD_S * share + random.uniform(0, CLAIM_SPREAD_S))
        domains = group_orphans(self._domains, self._leadership.terms, None)
        if self._draining or not domains or await self._claim(domains) is not ClaimResult.WON:
            await self._leadership.changed.wait(RECHECK_S)

    async def _claim(self, domains: tuple[str, ...]) -> ClaimResult:
        result = await self._leadership.claim(domains, self._holder)
        self._journal.record_claim(domains, result)
        return result

    async def _lead(self, term: Term) -> None:
        """Record a provisional term in the log; otherwise see to it that the right host leads."""
        primary = self._find_primary()
        if self._draining:
            await self._leadership.changed.wait(RECHECK_S)
        elif term.provisional:
            if await self._claim((self._domain,)) is not ClaimResult.WON:
                await self._leadership.changed.wait(RECHECK_S / 4)
        elif not self._scheduler.upstream_count:
            await self._leadership.changed.wait(RECHECK_S)
        elif not self._leads_jointly:
            await self._give_others_away()
            await self._yield_to_stronger()
        elif primary is None or primary.holder == self._holder:
            await self._yield_to_stronger()
        else:
            await self._join(primary)

    async def _give_others_away(self) -> None:
        """Give the failure domains of other hosts to these.

        One leader can't place the work of many upstreams and answer heartbeats in time.
        """
        for domain in self._led_domains:
            successor = self._peers.find_strongest((domain,))
            if domain != self._domain and successor is not None:
                await self._give((domain,), successor.holder)

    async def _yield_to_stronger(self) -> None:
        """Go on for a while, then hand over to a host that has been much stronger all the time.

        The first to miss a lost leader replaces it, which may be the weakest host.
        """
        stronger = self._find_stronger()
        if stronger is None:
            await self._leadership.changed.wait(RECHECK_S)
            return
        await anyio.sleep(JOIN_AFTER_S)
        if self._find_stronger() == stronger and not self._draining:
            await self._give(self._led_domains, stronger.holder)

    def _find_stronger(self) -> Peer | None:
        strongest = self._peers.find_strongest(self._common_domains)
        if strongest is None or strongest.strength < STRONGER_FACTOR * self._strength:
            return None
        lost_s = self._lost_s.get(strongest.holder.host, -DISTRUST_S)
        return strongest if time.monotonic() > lost_s + DISTRUST_S else None

    def _find_primary(self) -> Term | None:
        """Return the term whose holder leads every failure domain that it can reach."""
        return next(
            (
                self._leadership.terms[domain]
                for domain in self._domains
                if domain in self._leadership.terms
            ),
            None,
        )

    async def _join(self, primary: Term) -> None:
        """Hand over to the primary once it has answered for a while.

        One leader sees all the room there is, so wide jobs wait less than under several.
        """
        loss = await self._link.watch(primary, JOIN_AFTER_S)
        if loss is not None:
            await self._leadership.changed.wait(RECHECK_S)
        elif self._leadership.terms.get(primary.domain) == primary and not self._draining:
            await self._give(self._led_domains, primary.holder)

    async def _follow(self, term: Term) -> None:
        holder = term.holder
        if holder.host == self._holder.host:
            # The term is of an earlier life of this host.
            await self._replace(term)
            return
        self._submitter.set_leader(self._describe_leader(holder))
        self._journal.record_term(term, own=False)
        loss = await self._link.watch(term)
        if loss is None:
            return
        self._journal.record_lost_leader(term, loss.reason)
        self._lost_s[holder.host] = time.monotonic()
        self._submitter.set_leader(None)
        await anyio.sleep(random.uniform(0, CLAIM_SPREAD_S))
        await self._replace(term)

    def _describe_leader(self, holder: Holder) -> RemoteLeader:
        led = (term.domain for term in self._leadership.find_led_by(holder))
        domains = self._domains if self._leads_jointly else led
        return RemoteLeader(holder.address, holder.incarnation, frozenset(domains))

    async def _replace(self, lost: Term) -> None:
        """Claim the failure domain until it has another leader or the lost one answers."""
        while self._leadership.terms.get(self._domain) == lost:
            if not self._draining:
                result = await self._claim((self._domain,))
                if result is ClaimResult.CONFLICT:
                    # Mostly the claim of another failure domain, and this host has read it.
                    continue
                if result is ClaimResult.UNREACHABLE:
                    await self._stand_in(lost)
            if self._leadership.terms.get(self._domain) != lost:
                return
            if lost.holder.host != self._holder.host and await self._link.answers(lost.holder):
                return
            await self._leadership.changed.wait(CLAIM_SPREAD_S)

    async def _stand_in(self, lost: Term) -> None:
        """Lead without the log unless a stronger host of the failure domain answers.

        A failure domain that is cut off from the platform goes on serving with its own upstreams.
        """
        others = [peer for peer in self._link.peers if peer.holder.host != self._holder.host]
        ahead = sorted(
            (peer for peer in others if self._goes_ahead(peer)),
            key=lambda peer: (-peer.strength, peer.holder.host),
        )
        for peer in ahead:
            if await self._link.answers(peer.holder):
                # Its reply carries its term once it leads.
                return
        term = begin_provisional_term(lost, self._holder, len(ahead))
        self._journal.record_provisional(term, len(others) + 1)
        self._leadership.learn((term,))

    def _goes_ahead(self, peer: Peer) -> bool:
        return (-peer.strength, peer.holder.host) < (-self._strength, self._holder.host)

    async def _apply_terms(self) -> None:
        """Let the scheduler lead exactly the failure domains that the terms give to this host."""
        while True:
            led = self._leadership.find_led_by(self._holder)
            self._directory.set_leading(bool(led))
            own = self._leadership.terms.get(self._domain)
            if own is not None and own.holder == self._holder:
                self._submitter.set_leader(LocalLeader())
            self._scheduler.lead({term.domain: term.fence for term in led})
            await self._leadership.changed.wait()
