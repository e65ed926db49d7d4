"""Which host gives orders to the upstreams of a failure domain."""

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
