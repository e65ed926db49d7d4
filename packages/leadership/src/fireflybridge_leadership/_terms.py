"""Terms of leadership, their fencing tokens, and the choice of the newest term."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Fencing tokens per offset of the log; those after the first are for terms begun without the log.
FENCES_PER_OFFSET = 1000


@dataclass(frozen=True, slots=True)
class Holder:
    """Identify one incarnation of a host and the address at which it accepts jobs."""

    host: str
    incarnation: str
    address: str


@dataclass(frozen=True, slots=True)
class Term:
    """Record which host leads a failure domain; a later term has a higher ``fence``."""

    domain: str
    holder: Holder
    fence: int

    @property
    def provisional(self) -> bool:
        """Return whether the term was begun without being recorded in the log."""
        return self.fence % FENCES_PER_OFFSET != 0


def compute_fence(offset: int) -> int:
    """Return the fencing token of the term recorded at an offset of the log."""
    return (offset + 1) * FENCES_PER_OFFSET


def begin_provisional_term(lost: Term, holder: Holder, rank: int) -> Term:
    """Return the term of a host that leads while the log can't be reached.

    The host's rank in its failure domain keeps two such hosts from using the same fencing token.
    The next term recorded in the log gets a higher token.
    """
    fence = min(lost.fence + 1 + rank, compute_fence(lost.fence // FENCES_PER_OFFSET) - 1)
    return Term(lost.domain, holder, fence)


def select_newest_terms(known: Mapping[str, Term], found: Iterable[Term]) -> dict[str, Term]:
    """Return the newest term of each failure domain among known and found terms."""
    newest = dict(known)
    for term in found:
        current = newest.get(term.domain)
        if current is None or term.fence > current.fence:
            newest[term.domain] = term
    return newest


def find_leaderless_domains(
    domains: Iterable[str], terms: Mapping[str, Term], lost: Holder | None
) -> tuple[str, ...]:
    """Return the failure domains without a leader, or whose leader was the lost holder."""
    return tuple(
        domain for domain in domains if domain not in terms or terms[domain].holder == lost
    )
