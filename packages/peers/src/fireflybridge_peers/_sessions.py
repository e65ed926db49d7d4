"""Sessions of senders at the receiving end."""

import secrets
from collections import OrderedDict
from dataclasses import dataclass, replace

from fireflybridge_peers._codec import NO_SESSION, SESSION_BYTES, Hello

# 40 peers restarted 20 times each, and the links that each of them reopened, fit with room to spare.
MAX_SESSIONS = 1024


@dataclass(frozen=True, slots=True)
class Session:
    """Hold what the receiver knows of one link of one sender's incarnation."""

    id: bytes
    hello: Hello
    last_sequence: int = 0


@dataclass(frozen=True, slots=True)
class Fresh:
    """State that the batch follows the last accepted one."""


@dataclass(frozen=True, slots=True)
class Repeated:
    """State that the batch was accepted before."""


@dataclass(frozen=True, slots=True)
class OutOfOrder:
    """State that a batch is missing before this one."""


Order = Fresh | Repeated | OutOfOrder


def check_order(session: Session, sequence: int) -> Order:
    """Return how a batch's sequence number relates to the last accepted one."""
    if sequence == session.last_sequence + 1:
        return Fresh()
    if 0 < sequence <= session.last_sequence:
        return Repeated()
    return OutOfOrder()


class Sessions:
    """Own the open sessions, at most ``limit`` of them.

    Beyond the limit the session that was opened without a batch, or else was used least recently,
    is forgotten. Its sender learns that from ``UnknownSession`` and reports its unacknowledged
    batch as lost, so forgetting never causes a second handling.
    """

    def __init__(self, limit: int = MAX_SESSIONS) -> None:
        self._limit = limit
        self._by_id: OrderedDict[bytes, Session] = OrderedDict()
        self._by_hello: dict[Hello, bytes] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def open(self, hello: Hello) -> Session:
        """Return the session of a hello, the same one when the hello is repeated."""
        known = self._by_hello.get(hello)
        if known is not None:
            return self._by_id[known]
        if len(self._by_id) >= self._limit:
            self._forget_one()
        session = Session(_make_session_id(), hello)
        self._by_id[session.id] = session
        self._by_hello[hello] = session.id
        return session

    def find(self, session_id: bytes) -> Session | None:
        """Return an open session, if there is one."""
        return self._by_id.get(session_id)

    def advance(self, session: Session, sequence: int) -> None:
        """Record that the batch with this sequence number was accepted."""
        self._by_id[session.id] = replace(session, last_sequence=sequence)
        self._by_id.move_to_end(session.id)

    def _forget_one(self) -> None:
        unused = (session for session in self._by_id.values() if session.last_sequence == 0)
        oldest = next(iter(self._by_id.values()))
        session = next(unused, oldest)
        del self._by_id[session.id]
        del self._by_hello[session.hello]


def _make_session_id() -> bytes:
    session_id = secrets.token_bytes(SESSION_BYTES)
    return session_id if session_id != NO_SESSION else _make_session_id()
