"""Leader election: follow the leader, replace it when it is lost, and hand leadership over."""

import random
import time
from collections.abc import Iterable

import anyio

from fireflybridge_entry import (
    JobSubmitter,
    LeaderLoss,
    LeaderMonitor,
    LocalLeader,
    Peer,
    PeerService,
    RemoteLeader,
)
from fireflybridge_execution import Scheduler, UpstreamDirectory
from fireflybridge_host._event_logger import EventLogger
from fireflybridge_host._settings import HostSettings
from fireflybridge_leadership import (
    ClaimResult,
    Holder,
    Leadership,
    Term,
    begin_provisional_term,
    find_leaderless_domains,
)

FIRST_CLAIM_DELAY_S = 0.6  # lets the strongest host claim first when all hosts start together
# Spreads the claims of hosts that lose their leader at the same time; also the retry interval.
CLAIM_JITTER_S = 0.03
NO_DELAY_STRENGTH = 3.0  # in cores; hosts at least this strong make their first claim without delay
RECHECK_INTERVAL_S = 1.0
STABLE_PERIOD_S = 1.5  # a hand-over to a flapping host would move the upstreams back and forth
HAND_OVER_TIMEOUT_S = 0.5
MIN_STRENGTH_RATIO = 2.0  # a smaller difference in strength isn't worth a hand-over
PEER_SEARCH_S = 0.2  # a claim fails at once while the log can't be read
RENEWAL_INTERVAL_S = 0.5  # of a refused provisional term; doubles each time
# Of a refused term in the log; an upstream that refuses every token must not bring terms in a row.
RECORDED_RENEWAL_INTERVAL_S = 5.0
LOST_LEADER_COOLDOWN_S = 10.0  # a host that was lost as leader may stay slow for seconds


class LeaderElection:
    """Ensure that this host or another one leads the host's failure domain."""

    def __init__(
        self,
        settings: HostSettings,
        holder: Holder,
        leadership: Leadership,
        monitor: LeaderMonitor,
        submitter: JobSubmitter,
        scheduler: Scheduler,
        directory: UpstreamDirectory,
        peer_service: PeerService,
        event_logger: EventLogger,
    ) -> None:
        self._domain = settings.failure_domain
        self._domains = settings.failure_domains
        self._strength = settings.strength
        self._joined_upstreams = settings.joined_upstreams
        self._holder = holder
        self._leadership = leadership
        self._monitor = monitor
        self._submitter = submitter
        self._scheduler = scheduler
        self._directory = directory
        self._peer_service = peer_service
        self._event_logger = event_logger
        self._draining = False
        self._leader_lost_at_s: dict[str, float] = {}
        self._renewals = 0
        self._next_renewal_s = 0.0
        self._next_recorded_renewal_s = 0.0

    @property
    def leads(self) -> bool:
        """Return whether this host leads any failure domain."""
        return bool(self._leadership.find_terms_held_by(self._holder))

    async def run(self) -> None:
        """Follow or lead until cancelled."""
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
        """Hand leadership over to the strongest host that sends heartbeats; make no further claims."""
        self._draining = True
        self._monitor.start_draining()
        successor = self._peer_service.find_strongest(self._jointly_led_domains)
        if successor is None:
            return
        with anyio.move_on_after(HAND_OVER_TIMEOUT_S):
            while self.leads and not await self._transfer(self._led_domains, successor.holder):
                await self._leadership.changed.wait(CLAIM_JITTER_S)

    @property
    def _led_domains(self) -> tuple[str, ...]:
        return tuple(term.domain for term in self._leadership.find_terms_held_by(self._holder))

    @property
    def _needs_single_leader(self) -> bool:
        """Return whether one leader should serve all failure domains.

        An empty directory doesn't count: it is also empty if the host started while the store
        couldn't be reached.
        """
        return 0 < self._scheduler.upstream_count <= self._joined_upstreams

    @property
    def _jointly_led_domains(self) -> tuple[str, ...]:
        """Return the failure domains that should have the same leader as this host's own."""
        return self._domains if self._needs_single_leader else (self._domain,)

    async def _transfer(self, domains: tuple[str, ...], successor: Holder) -> bool:
        result = await self._leadership.claim(domains, successor)
        done = result is ClaimResult.WON
        self._event_logger.record_hand_over(domains, successor.host, done=done)
        return done

    async def _claim_first(self) -> None:
        delay_factor = 1 - min(self._strength / NO_DELAY_STRENGTH, 1)
        await anyio.sleep(FIRST_CLAIM_DELAY_S * delay_factor + random.uniform(0, CLAIM_JITTER_S))
        domains = find_leaderless_domains(self._domains, self._leadership.terms, None)
        if self._draining or not domains or await self._claim(domains) is not ClaimResult.WON:
            await self._leadership.changed.wait(RECHECK_INTERVAL_S)

    async def _claim(self, domains: tuple[str, ...]) -> ClaimResult:
        result = await self._leadership.claim(domains, self._holder)
        self._event_logger.record_claim(domains, result)
        match result:
            case ClaimResult.WON:
                self._renewals = 0
            case ClaimResult.UNREACHABLE:
                self._directory.note_silence()
            case ClaimResult.CONFLICT:
                pass
        return result

    async def _lead(self, term: Term) -> None:
        """Record a provisional term in the log, or else hand over to a host that should lead."""
        primary = self._find_primary()
        if self._draining:
            await self._leadership.changed.wait(RECHECK_INTERVAL_S)
        elif term.provisional:
            if await self._claim_own_domain() is not ClaimResult.WON:
                await self._renew_provisional_term(term)
                await self._leadership.changed.wait(RECHECK_INTERVAL_S / 4)
        elif self._find_refused_domains():
            await self._renew_recorded_terms()
        elif not self._scheduler.upstream_count:
            await self._leadership.changed.wait(RECHECK_INTERVAL_S)
        elif not self._needs_single_leader:
            await self._transfer_other_domains()
            await self._yield_to_stronger()
        elif primary is None or primary.holder == self._holder:
            await self._yield_to_stronger()
        else:
            await self._hand_over_to_primary(primary)

    async def _renew_provisional_term(self, term: Term) -> None:
        """Take a higher token if upstreams have seen one of which nobody who replies knows.

        It may be that of a host which has ended. If its holder still leads but can't be found, both
        take turns, at growing intervals.
        """
        # Another host may lead provisionally as well; a reply from it carries its term.
        await self._select_replying(self._monitor.peers)
        superseded = self._scheduler.is_superseded(self._domain)
        if not superseded or time.monotonic() < self._next_renewal_s:
            return
        if self._leadership.terms.get(self._domain) != term:
            return
        rounds = 2**self._renewals
        renewed = begin_provisional_term(term, self._holder, rounds)
        if renewed is not None:
            self._renewals += 1
            self._next_renewal_s = time.monotonic() + rounds * RENEWAL_INTERVAL_S
            self._event_logger.record_provisional(renewed, len(self._monitor.peers) + 1)
            self._leadership.add_terms((renewed,))

    def _find_refused_domains(self) -> tuple[str, ...]:
        """Return the led failure domains to claim again, as upstreams there refuse the token."""
        if time.monotonic() < self._next_recorded_renewal_s:
            return ()
        return tuple(filter(self._scheduler.is_superseded, self._led_domains))

    async def _renew_recorded_terms(self) -> None:
        """Claim failure domains again whose upstreams have seen a token that isn't in the log.

        It is that of a provisional leader, which gets time to record its term if it is still alive.
        """
        await self._sleep_while_leading(STABLE_PERIOD_S)
        domains = self._find_refused_domains()
        if (
            self._leads_own_domain
            and domains
            and not self._draining
            and await self._claim(domains) is ClaimResult.WON
        ):
            self._next_recorded_renewal_s = time.monotonic() + RECORDED_RENEWAL_INTERVAL_S

    async def _transfer_other_domains(self) -> None:
        """Hand over the other failure domains to their own hosts.

        One leader can't place work on many upstreams and still answer heartbeats in time.
        """
        for domain in self._led_domains:
            successor = self._peer_service.find_strongest((domain,))
            if domain != self._domain and successor is not None:
                await self._transfer((domain,), successor.holder)

    async def _yield_to_stronger(self) -> None:
        """Hand over to a much stronger host once it has been the strongest for a while.

        The first host to detect a lost leader replaces it, and that may be the weakest host.
        """
        stronger = self._find_stronger()
        if stronger is None:
            await self._leadership.changed.wait(RECHECK_INTERVAL_S)
            return
        await self._sleep_while_leading(STABLE_PERIOD_S)
        if not self._leads_own_domain or self._draining:
            return
        if self._find_stronger() == stronger:
            await self._transfer(self._led_domains, stronger.holder)

    def _find_stronger(self) -> Peer | None:
        strongest = self._peer_service.find_strongest(self._jointly_led_domains)
        if strongest is None or strongest.strength < MIN_STRENGTH_RATIO * self._strength:
            return None
        lost_at_s = self._leader_lost_at_s.get(strongest.holder.host, -LOST_LEADER_COOLDOWN_S)
        return strongest if time.monotonic() > lost_at_s + LOST_LEADER_COOLDOWN_S else None

    def _find_primary(self) -> Term | None:
        """Return the term whose holder should lead all failure domains that it can reach."""
        return next(
            (
                self._leadership.terms[domain]
                for domain in self._domains
                if domain in self._leadership.terms
            ),
            None,
        )

    async def _hand_over_to_primary(self, primary: Term) -> None:
        """Hand over to the primary once it has replied to heartbeats for a while.

        A single leader sees all free capacity, so jobs with many parallel tasks wait less than
        under several leaders.
        """
        loss: LeaderLoss | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(self._cancel_once_replaced, group.cancel_scope)
            loss = await self._monitor.watch(primary, STABLE_PERIOD_S)
            group.cancel_scope.cancel()
        if not self._leads_own_domain:
            return
        if loss is not None:
            await self._leadership.changed.wait(RECHECK_INTERVAL_S)
        elif self._leadership.terms.get(primary.domain) == primary and not self._draining:
            await self._transfer(self._led_domains, primary.holder)

    @property
    def _leads_own_domain(self) -> bool:
        term = self._leadership.terms.get(self._domain)
        return term is not None and term.holder == self._holder

    async def _sleep_while_leading(self, duration_s: float) -> None:
        """Sleep, but not beyond the loss of this host's failure domain.

        Jobs are only submitted to the next leader once it replies to heartbeats.
        """
        with anyio.move_on_after(duration_s):
            while self._leads_own_domain:
                await self._leadership.changed.wait()

    async def _cancel_once_replaced(self, scope: anyio.CancelScope) -> None:
        while self._leads_own_domain:
            await self._leadership.changed.wait()
        scope.cancel()

    async def _follow(self, term: Term) -> None:
        holder = term.holder
        if holder.host == self._holder.host:
            # The term belongs to an earlier incarnation of this host.
            await self._replace_leader(term)
            return
        self._submitter.set_leader(self._make_remote_leader(holder))
        self._event_logger.record_term(term, own=False)
        loss = await self._monitor.watch(term)
        if loss is None:
            return
        self._event_logger.record_lost_leader(term, loss.reason)
        self._leader_lost_at_s[holder.host] = time.monotonic()
        self._submitter.set_leader(None)
        await anyio.sleep(random.uniform(0, CLAIM_JITTER_S))
        await self._replace_leader(term)

    def _make_remote_leader(self, holder: Holder) -> RemoteLeader:
        led = {term.domain: term.fence for term in self._leadership.find_terms_held_by(holder)}
        # A single leader may hold a newer term than this host has heard of, and as long as the
        # directory is unread there may be a single one.
        single = self._scheduler.upstream_count <= self._joined_upstreams
        others = dict.fromkeys(self._domains, 0) if single else {}
        return RemoteLeader(holder.address, holder.incarnation, {**others, **led})

    async def _replace_leader(self, lost: Term) -> None:
        """Claim the failure domain until it has another leader or the lost one replies again."""
        self._directory.refresh_soon()
        while self._leadership.terms.get(self._domain) == lost:
            if not self._draining:
                result = await self._claim_own_domain()
                if result is ClaimResult.CONFLICT:
                    # Usually due to a claim of another failure domain, which this host has read now.
                    continue
                if result is ClaimResult.UNREACHABLE:
                    await self._lead_provisionally(lost)
            if self._leadership.terms.get(self._domain) != lost:
                return
            if lost.holder.host != self._holder.host and await self._monitor.probe(lost.holder):
                return
            await self._leadership.changed.wait(CLAIM_JITTER_S)

    async def _claim_own_domain(self) -> ClaimResult:
        """Claim this host's failure domain, and ask the known leaders for its hosts meanwhile."""
        addresses = {term.holder.address for term in self._leadership.terms.values()}
        async with anyio.create_task_group() as group:
            for address in addresses:
                group.start_soon(self._monitor.find_peers, address)
            earliest_end_s = anyio.current_time() + PEER_SEARCH_S
            result = await self._claim((self._domain,))
            if result is ClaimResult.UNREACHABLE:
                await anyio.sleep_until(earliest_end_s)
            group.cancel_scope.cancel()
        return result

    async def _lead_provisionally(self, lost: Term) -> None:
        """Lead without a record in the log unless another host does, or a stronger one replies.

        A failure domain that is cut off from the platform keeps serving with its own upstreams.
        """
        others = [peer for peer in self._monitor.peers if peer.holder != lost.holder]
        replying = await self._select_replying(others)
        if any(self._takes_precedence(peer) for peer in replying):
            # Its reply carries its term once it leads.
            return
        term = begin_provisional_term(lost, self._holder)
        # The replies may have carried the term of a weaker host that has begun to lead.
        if term is not None and self._leadership.terms.get(self._domain) == lost:
            self._event_logger.record_provisional(term, len(others) + 1)
            self._leadership.add_terms((term,))

    async def _select_replying(self, peers: Iterable[Peer]) -> list[Peer]:
        replying: list[Peer] = []

        async def probe(peer: Peer) -> None:
            if await self._monitor.probe(peer.holder):
                replying.append(peer)

        async with anyio.create_task_group() as group:
            for peer in peers:
                group.start_soon(probe, peer)
        return replying

    def _takes_precedence(self, peer: Peer) -> bool:
        return (-peer.strength, peer.holder.host) < (-self._strength, self._holder.host)

    async def apply_terms(self) -> None:
        """Make the scheduler lead exactly the failure domains whose terms this host holds."""
        known: tuple[Term, ...] = ()
        while True:
            led = self._leadership.find_terms_held_by(self._holder)
            self._directory.set_leading(bool(led))
            if led != known:
                # Nothing starts before a read since the newest term has begun.
                self._directory.refresh_soon()
            known = led
            own_term = self._leadership.terms.get(self._domain)
            if own_term is not None and own_term.holder == self._holder:
                self._submitter.set_leader(LocalLeader())
            elif own_term is not None:
                self._submitter.renew_leader(self._make_remote_leader(own_term.holder))
            self._scheduler.lead({term.domain: term.fence for term in led})
            await self._leadership.changed.wait()
