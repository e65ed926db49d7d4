"""Terms of leadership, their fencing tokens, and the choice of the newest term."""

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Fencing tokens per offset of the log; those after the first are for terms begun without the log.
# JSON numbers are exact up to 2**53, which leaves 2**23 offsets.
FENCES_PER_OFFSET = 2**30
PROVISIONAL_STEPS = 2**20  # makes it very unlikely that two holders take the same one


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


def begin_provisional_term(lost: Term, holder: Holder, skipped_rounds: int = 0) -> Term | None:
    """Return the term of a host that leads while the log can't be reached.

    ``skipped_rounds`` raises its fencing token above those that as many hosts may have begun since
    the lost term.

    Hosts of one failure domain may not know of each other, so the fencing token depends on the
    lost term and the holder, and not on others: upstreams obey at most one of two such hosts. The next term recorded in the log
    gets a higher token. Return None if the lost term leaves no token below that one.
    """
    fence = lost.fence + skipped_rounds * PROVISIONAL_STEPS + 1 + _compute_step(holder)
    if fence >= compute_fence(lost.fence // FENCES_PER_OFFSET):
        return None
    return Term(lost.domain, holder, fence)


def _compute_step(holder: Holder) -> int:
    identity = f"{holder.host} {holder.incarnation} {holder.address}"
    return zlib.crc32(identity.encode()) % PROVISIONAL_STEPS


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
