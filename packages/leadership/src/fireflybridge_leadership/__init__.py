"""Which host gives orders to the upstreams of a failure domain."""

from fireflybridge_leadership._leadership import Leadership
from fireflybridge_leadership._notifier import Notifier
from fireflybridge_leadership._store import (
    Appended,
    AppendResult,
    Conflict,
    StoreError,
    TermsRead,
    TermStore,
)
from fireflybridge_leadership._terms import Holder, Term, group_orphans, select_terms

__all__ = [
    "AppendResult",
    "Appended",
    "Conflict",
    "Holder",
    "Leadership",
    "Notifier",
    "StoreError",
    "Term",
    "TermStore",
    "TermsRead",
    "group_orphans",
    "select_terms",
]
