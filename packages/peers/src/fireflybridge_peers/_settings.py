"""Settings, callbacks and reports of the links."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from fireflybridge_core import StepError, parse_address
from fireflybridge_peers._messages import Heartbeat, Message

MIN_KEY_BYTES = 16


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Settings of the links of one daemon.

    ``listen`` is ``ip:port``; port 0 selects a free one. ``key`` is shared by all daemons and has
    at least 16 bytes; ``None`` disables authentication, which is allowed on loopback only. The outbox
    of a peer holds at most ``max_queued_messages`` and ``max_queued_bytes``. A queued message waits
    up to ``coalesce_s`` seconds for others when the link is idle.

    Heartbeats are exchanged every ``heartbeat_s`` seconds within the failure domain and every
    ``remote_heartbeat_s`` seconds with others. The longer interval keeps the cost of 40 peers
    within a daemon's control budget and still leaves time for one repetition within the 3 s after
    which a peer counts as lost.
    """

    name: str
    incarnation: str
    listen: str
    key: bytes | None
    heartbeat_s: float = 1.0
    remote_heartbeat_s: float = 1.4
    coalesce_s: float = 0.001
    max_queued_messages: int = 10_000
    max_queued_bytes: int = 16 * 1024 * 1024

    def __post_init__(self) -> None:
        if self.key is None and not parse_address(self.listen).is_loopback:
            raise ValueError(f"links without a key may listen on loopback only, not {self.listen}")
        if self.key is not None and len(self.key) < MIN_KEY_BYTES:
            raise ValueError(f"the shared key has fewer than {MIN_KEY_BYTES} bytes")


@dataclass(frozen=True, slots=True)
class Lost:
    """Messages that an incarnation of a peer will no longer acknowledge.

    ``unacknowledged`` messages may have been handled. ``unsent`` ones were not and never will be.
    ``incarnation`` is empty when the peer never answered.
    """

    peer: str
    incarnation: str
    unacknowledged: tuple[Message, ...]
    unsent: tuple[Message, ...]


@dataclass(frozen=True, slots=True)
class Stalled:
    """Messages that were removed from the queue, because the peer acknowledges nothing.

    ``unsent`` messages were not handled and never will be. Sent ones may still be acknowledged.
    """

    peer: str
    incarnation: str
    unsent: tuple[Message, ...]


@dataclass(frozen=True, slots=True)
class LinkCallbacks:
    """Functions of the daemon that the links call.

    ``handle`` gets the peer's name, its incarnation and one message, in order for each peer. It
    must not wait for anything slow, since it serves all peers. ``build_heartbeat`` returns the
    heartbeat to the named peer. ``report`` gets errors of links, such as a wrong key.
    """

    handle: Callable[[str, str, Message], Awaitable[None]]
    build_heartbeat: Callable[[str], Heartbeat]
    lost: Callable[[Lost], None]
    stalled: Callable[[Stalled], None]
    report: Callable[[StepError], None]


@dataclass(frozen=True, slots=True)
class LinkStats:
    """Counters of one link since it was connected.

    ``round_trip_s`` is the duration of the last acknowledged exchange in seconds. Bytes are those
    of frames, without the overhead of the transport.
    """

    peer: str
    incarnation: str
    queued: int
    exchanges: int
    sent_messages: int
    sent_bytes: int
    received_bytes: int
    round_trip_s: float
