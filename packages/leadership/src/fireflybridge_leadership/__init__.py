"""Leadership of failure domains: which host may start runs on their upstreams."""

from fireflybridge_leadership._leadership import ClaimResult, Leadership
from fireflybridge_leadership._notifier import Notifier
from fireflybridge_leadership._store import (
    Appended,
    AppendResult,
    Conflict,
    ReadResult,
    StoreError,
    TermStore,
)
from fireflybridge_leadership._terms import (
    Holder,
    Term,
    begin_provisional_term,
    compute_fence,
    find_leaderless_domains,
    select_newest_terms,
)

__all__ = [
    "AppendResult",
    "Appended",
    "ClaimResult",
    "Conflict",
    "Holder",
    "Leadership",
    "Notifier",
    "ReadResult",
    "StoreError",
    "Term",
    "TermStore",
    "begin_provisional_term",
    "compute_fence",
    "find_leaderless_domains",
    "select_newest_terms",
]
