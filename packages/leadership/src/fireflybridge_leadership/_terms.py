"""Terms of leadership and the rules that select among them."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass


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
