"""Records of the tables stream."""

from dataclasses import dataclass

from fireflybridge_tables._changes import Change
from fireflybridge_tables._tables import Tables

TABLES_STREAM = "tables"


@dataclass(frozen=True, slots=True)
class RevisionHead:
    """Identify a revision.

    ``parent`` is the id of the revision it was made from, empty for the first. ``published_at`` is
    text for operators, such as ``2026-12-04T08:00:00Z``; no decision depends on it.
    """

    id: str
    parent: str
    author: str
    published_at: str


@dataclass(frozen=True, slots=True)
class Revision:
    """Publish changes against the parent revision."""

    head: RevisionHead
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Keep:
    """Record the revision in force again, so that log retention does not remove it.

    It counts only at the offset ``as_of`` up to which its writer has read: there, every reader
    that knows the whole history agrees with it, and a reader without the history can start.
    """

    head: RevisionHead
    tables: Tables
    as_of: int


@dataclass(frozen=True, slots=True)
class Restart:
    """Publish whole tables when no reader can know the revision in force.

    It counts only at the offset ``as_of``, so a record that its author has not read voids it.
    """

    head: RevisionHead
    tables: Tables
    as_of: int


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Stand for a payload that this version can't read."""

    detail: str


TablesRecord = Revision | Keep | Restart | Unreadable
