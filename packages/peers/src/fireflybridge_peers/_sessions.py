"""Sessions of senders at the receiving side."""

import secrets
from collections import OrderedDict
from dataclasses import dataclass, replace

from fireflybridge_peers._codec import NO_SESSION, SESSION_BYTES, Hello

# Enough for 40 peers that restart 20 times each and for the links that each of them reopens.
MAX_SESSIONS = 1024


@dataclass(frozen=True, slots=True)
class Session:
    """State of the receiver for one link of one sender's incarnation."""

    id: bytes
    hello: Hello
    last_sequence: int = 0


@dataclass(frozen=True, slots=True)
class InOrder:
    """The batch follows the last accepted one."""


@dataclass(frozen=True, slots=True)
class Duplicate:
    """The batch was accepted before."""


@dataclass(frozen=True, slots=True)
class OutOfOrder:
    """A batch before this one is missing."""


SequenceOrder = InOrder | Duplicate | OutOfOrder


def check_sequence(session: Session, sequence: int) -> SequenceOrder:
    """Return how a batch's sequence number relates to the last accepted one."""
    if sequence == session.last_sequence + 1:
        return InOrder()
    if 0 < sequence <= session.last_sequence:
        return Duplicate()
    return OutOfOrder()


class Sessions:
    """The open sessions, at most ``limit`` of them.

    At the limit a session without an accepted batch is evicted, or else the least recently used
    one. Its sender gets ``UnknownSession`` and reports its unacknowledged batch as lost, so an
    eviction never makes a batch be handled twice.
    """

    def __init__(self, limit: int = MAX_SESSIONS) -> None:
        self._limit = limit
        self._by_id: OrderedDict[bytes, Session] = OrderedDict()
        self._by_hello: dict[Hello, bytes] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def open(self, hello: Hello) -> Session:
        """Return the session of a hello; a repeated hello gets the same session."""
        known = self._by_hello.get(hello)
        if known is not None:
            return self._by_id[known]
        if len(self._by_id) >= self._limit:
            self._evict_one()
        session = Session(_make_session_id(), hello)
        self._by_id[session.id] = session
        self._by_hello[hello] = session.id
        return session

    def find(self, session_id: bytes) -> Session | None:
        """Return the open session with this id, or ``None``."""
        return self._by_id.get(session_id)

    def advance(self, session: Session, sequence: int) -> None:
        """Record that the batch with this sequence number was accepted."""
        self._by_id[session.id] = replace(session, last_sequence=sequence)
        self._by_id.move_to_end(session.id)

    def _evict_one(self) -> None:
        unused = (session for session in self._by_id.values() if session.last_sequence == 0)
        oldest = next(iter(self._by_id.values()))
        session = next(unused, oldest)
        del self._by_id[session.id]
        del self._by_hello[session.hello]


def _make_session_id() -> bytes:
    session_id = secrets.token_bytes(SESSION_BYTES)
    return session_id if session_id != NO_SESSION else _make_session_id()
