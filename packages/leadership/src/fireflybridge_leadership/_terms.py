"""Terms of leadership and the rules that select among them."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

PROVISIONAL_FENCES = 1000  # tokens after each recorded term, for leaders chosen without the log


@dataclass(frozen=True, slots=True)
class Holder:
    """Identify one life of a host, with the address at which it takes jobs."""

    host: str
    incarnation: str
    address: str


@dataclass(frozen=True, slots=True)
class Term:
    """Say who leads a failure domain; a later term has a higher fencing token."""

    domain: str
    holder: Holder
    fence: int

    @property
    def provisional(self) -> bool:
        """Return whether the term was begun without the log."""
        return self.fence % PROVISIONAL_FENCES != 0


def compute_fence(offset: int) -> int:
    """Return the fencing token of the term that stands at an offset of the log."""
    return (offset + 1) * PROVISIONAL_FENCES


def begin_provisional_term(lost: Term, holder: Holder, rank: int) -> Term:
    """Return the term of a host that leads while the log can't be reached.

    The rank among the hosts of the failure domain keeps two such hosts from the same token; the
    next term in the log has a higher one.
    """
    fence = min(lost.fence + 1 + rank, compute_fence(lost.fence // PROVISIONAL_FENCES) - 1)
    return Term(lost.domain, holder, fence)


def select_terms(known: Mapping[str, Term], found: Iterable[Term]) -> dict[str, Term]:
    """Return the newest term of each failure domain."""
    newest = dict(known)
    for term in found:
        current = newest.get(term.domain)
        if current is None or term.fence > current.fence:
            newest[term.domain] = term
    return newest


def group_orphans(
    domains: Iterable[str], terms: Mapping[str, Term], lost: Holder | None
) -> tuple[str, ...]:
    """Return the failure domains that nobody leads, or that a lost holder led."""
    return tuple(
        domain for domain in domains if domain not in terms or terms[domain].holder == lost
    )
