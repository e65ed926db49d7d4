"""Leadership of failure domains: which host may start runs on their upstreams."""

from fireflybridge_leadership._leadership import ClaimResult, Leadership
from fireflybridge_leadership._notifier import Notifier
from fireflybridge_leadership._store import (
    Appended,
    AppendResult,
    Conflict,
    StoreError,
    TermsRead,
    TermStore,
)
from fireflybridge_leadership._terms import (
    Holder,
    Term,
    begin_provisional_term,
    compute_fence,
    group_orphans,
    select_terms,
)

__all__ = [
    "AppendResult",
    "Appended",
    "ClaimResult",
    "Conflict",
    "Holder",
    "Leadership",
    "Notifier",
    "StoreError",
    "Term",
    "TermStore",
    "TermsRead",
    "begin_provisional_term",
    "compute_fence",
    "group_orphans",
    "select_terms",
]
