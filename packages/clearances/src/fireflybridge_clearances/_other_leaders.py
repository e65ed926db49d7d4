"""The other leaders that this one has to ask, and which of them are out of reach."""

import time
from collections.abc import Callable, Iterable, Iterator
from math import inf

from fireflybridge_clearances._other_leader import UNREACHABLE_S, OtherLeader
from fireflybridge_leadership import Holder, Term

# A new leader gets some time to reply, though its failure domain has been silent for long.
FIRST_REPLY_S = 0.3
# A failure domain whose leaders come and go without a full report is as good as cut off.
DOMAIN_UNREACHABLE_S = 1.4


class OtherLeaders:
    """Follow the terms of the other leaders, and when each failure domain has last reported.

    A leader that hasn't replied for ``UNREACHABLE_S`` is passed over, so that a failure domain that
    is cut off goes on serving.
    """

    def __init__(self, holder: Holder, find_terms: Callable[[], Iterable[Term]]) -> None:
        """Set this host's identity, and how to find the newest known terms of all leaders."""
        self._holder = holder
        self._find_terms = find_terms
        self._known_terms: tuple[Term, ...] = ()
        self._own_terms: frozenset[Term] = frozenset()
        self._terms: tuple[Term, ...] = ()
        self._new_terms: frozenset[Term] = frozenset()
        self._leaders: dict[Holder, OtherLeader] = {}
        self._told_until_s: dict[str, float] = {}
        """For each failure domain the time until which its leaders have told all jobs they took."""
        self._unheard_since_s: dict[str, float] = {}
        """When the first question was sent to a failure domain that no full report has followed."""

    def __iter__(self) -> Iterator[OtherLeader]:
        """Iterate over the other leaders."""
        return iter(self._leaders.values())

    @property
    def holders(self) -> frozenset[Holder]:
        """Return the identities of the other leaders."""
        self.update()
        return frozenset(self._leaders)

    @property
    def terms(self) -> tuple[Term, ...]:
        """Return the terms of the other leaders, as of the last update."""
        return self._terms

    def find(self, holder: Holder) -> OtherLeader | None:
        """Return another leader, or None if the host leads nothing."""
        self.update()
        return self._leaders.get(holder)

    def find_domains(self, holder: Holder) -> frozenset[str]:
        """Return the failure domains of another leader."""
        found = self.find(holder)
        return frozenset() if found is None else frozenset(found.fences)

    def take_new_terms(self) -> frozenset[Term]:
        """Return the terms of other leaders that have come since the last call."""
        self.update()
        new_terms, self._new_terms = self._new_terms, frozenset()
        return new_terms.intersection(self._terms)

    def update(self) -> None:
        """Learn of new terms."""
        known = tuple(self._find_terms())
        if known == self._known_terms:
            return
        self._known_terms = known
        own = frozenset(term for term in known if term.holder == self._holder)
        if not own <= self._own_terms:
            # The other leaders have to hear of the new term before anything starts under it.
            self._told_until_s.clear()
        self._own_terms = own
        terms = tuple(term for term in known if term.holder != self._holder)
        self._new_terms |= frozenset(terms).difference(self._terms)
        self._terms = terms
        self._update_leaders()
        domains = {term.domain for term in terms}
        self._unheard_since_s = {
            domain: since_s
            for domain, since_s in self._unheard_since_s.items()
            if domain in domains
        }

    def _update_leaders(self) -> None:
        fences: dict[Holder, dict[str, int]] = {}
        for term in self._terms:
            fences.setdefault(term.holder, {})[term.domain] = term.fence
        self._leaders = {holder: self._leaders.get(holder) or OtherLeader() for holder in fences}
        for holder, leader in self._leaders.items():
            leader.fences = fences[holder]

    # Replies and silence

    def note_question(self, holder: Holder, asked_s: float) -> None:
        """Note that a question is sent to another leader at a monotonic time."""
        found = self.find(holder)
        if found is None:
            return
        for domain in found.fences:
            self._unheard_since_s.setdefault(domain, asked_s)
        if found.waiting_since_s is None:
            found.waiting_since_s = asked_s

    def note_silence(self, holder: Holder, since_s: float) -> None:
        """Note that another leader hasn't replied to a question since a monotonic time."""
        found = self.find(holder)
        if found is None or found.silent_since_s is not None:
            return
        for domain in found.fences:
            if self._unheard_since_s.get(domain) == found.waiting_since_s:
                self._unheard_since_s[domain] = since_s
        found.silent_since_s = found.waiting_since_s = since_s

    def note_contact(self, holder: Holder) -> None:
        """Note that another leader can be reached."""
        found = self._leaders.get(holder)
        if found is not None:
            found.note_contact()

    def note_report(self, holder: Holder, terms: Iterable[Term], asked_s: float) -> None:
        """Note that a leader has told, under terms, all jobs that it had taken until then."""
        for term in terms:
            if term.holder == holder:
                self._unheard_since_s.pop(term.domain, None)
                told_until_s = self._told_until_s.get(term.domain, -inf)
                self._told_until_s[term.domain] = max(told_until_s, asked_s)

    def stop_asking(self) -> None:
        """Note that this host asks no other leader any more, so that silence means nothing."""
        self._unheard_since_s.clear()
        for leader in self:
            leader.note_contact()

    def is_silent(self, holder: Holder) -> bool:
        """Return whether another leader has not replied to the last question."""
        found = self._leaders.get(holder)
        return found is not None and found.silent_since_s is not None

    def has_told(self, domain: str, until_s: float) -> bool:
        """Return whether the leaders of a failure domain have told the jobs they took until then."""
        return self._told_until_s.get(domain, -inf) >= until_s

    def can_ask(self, domain: str) -> bool:
        """Return whether a failure domain has another leader, which has not been silent for long."""
        self.update()
        return any(
            term.domain == domain and not self._leaders[term.holder].is_unreachable
            for term in self._terms
        )

    def list_unreachable(self) -> tuple[str, ...]:
        """Return the hosts of the leaders that are passed over, since they don't reply."""
        self.update()
        hosts = (term.holder.host for term in self._terms if self.is_out_of_reach(term))
        return tuple(dict.fromkeys(hosts))

    def is_out_of_reach(self, term: Term) -> bool:
        """Return whether the leaders of a failure domain, the present one too, have been silent."""
        unheard_since_s = self._unheard_since_s.get(term.domain, inf)
        waiting_since_s = self._leaders[term.holder].waiting_since_s
        waiting_since_s = inf if waiting_since_s is None else waiting_since_s
        limit_s = min(waiting_since_s + FIRST_REPLY_S, unheard_since_s + DOMAIN_UNREACHABLE_S)
        return time.monotonic() >= max(limit_s, unheard_since_s + UNREACHABLE_S)
