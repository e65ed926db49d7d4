"""Records of the tables stream."""

from dataclasses import dataclass

from fireflybridge_tables._changes import Change
from fireflybridge_tables._tables import Tables

TABLES_STREAM = "tables"


@dataclass(frozen=True, slots=True)
class RevisionHead:
    """Id and origin of a revision.

    ``parent`` is the id of the revision it was made from, empty for the first. ``published_at`` is
    information for operators, such as ``2026-12-04T08:00:00Z``; no decision depends on it.
    """

    id: str
    parent: str
    author: str
    published_at: str


@dataclass(frozen=True, slots=True)
class Revision:
    """Record with the changes of a new revision against its parent."""

    head: RevisionHead
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Keep:
    """Record with a copy of the revision in force, so that log retention does not remove it.

    It is valid only at the offset ``as_of``, up to which its writer has read. There, it agrees with
    every reader that knows the whole history, and a reader without the history can start from it.
    """

    head: RevisionHead
    tables: Tables
    as_of: int


@dataclass(frozen=True, slots=True)
class Restart:
    """Record with whole tables, published when no reader can know the revision in force.

    It is valid only at the offset ``as_of``, so it is void if a record that its author has not read
    precedes it.
    """

    head: RevisionHead
    tables: Tables
    as_of: int


@dataclass(frozen=True, slots=True)
class UnreadablePayload:
    """A payload that this version can't decode."""

    detail: str


TablesRecord = Revision | Keep | Restart | UnreadablePayload
