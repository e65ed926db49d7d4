"""Links between hosts: heartbeats on a connection of their own."""

import time
from dataclasses import dataclass, replace

import anyio

from fireflybridge_entry._codec import (
    CodecError,
    HeartbeatReply,
    Peer,
    decode_heartbeat_reply,
    encode_heartbeat,
)
from fireflybridge_http import Connection, ExchangeError
from fireflybridge_leadership import Holder, Leadership, Term

HEARTBEAT_S = 0.15
HEARTBEAT_TIMEOUT_S = 0.25
SILENCE_S = 0.5  # longer than a pause of a host that has used up its processor quota
REFUSALS = 2  # a refused connection is tried once more, since the host may be starting
RETRY_S = 0.015


@dataclass(frozen=True, slots=True)
class LinkLoss:
    """Say why a host counts as lost."""

    reason: str


class LeaderLink:
    """Exchange heartbeats with a leader, and learn terms and peers from its replies."""

    def __init__(self, leadership: Leadership, host: Peer) -> None:
        self.peers: tuple[Peer, ...] = ()
        self._leadership = leadership
        self._host = host
        self._heartbeat = encode_heartbeat(host)

    def start_draining(self) -> None:
        """Tell the leader from now on that this host is about to stop."""
        self._heartbeat = encode_heartbeat(replace(self._host, draining=True))

    async def watch(self, term: Term, limit_s: float | None = None) -> LinkLoss | None:
        """Return why the leader was lost, or None after a time or once its term is over."""
        connection = Connection(term.holder.address)
        started_s = heard_s = time.monotonic()
        refusals = 0
        try:
            while self._leadership.terms.get(term.domain) == term:
                if limit_s is not None and time.monotonic() > started_s + limit_s:
                    return None
                match await self._exchange(connection, term.holder):
                    case HeartbeatReply(peers=peers):
                        self.peers = peers
                        heard_s = time.monotonic()
                        refusals = 0
                        await self._leadership.changed.wait(HEARTBEAT_S)
                    case _Failure(reason=reason, refused=refused):
                        refusals = refusals + 1 if refused else 0
                        if refusals >= REFUSALS or time.monotonic() - heard_s > SILENCE_S:
                            return LinkLoss(reason)
                        await anyio.sleep(RETRY_S)
            return None
        finally:
            await connection.close()

    async def answers(self, holder: Holder) -> bool:
        """Return whether a host answers one heartbeat in the life that is meant."""
        connection = Connection(holder.address)
        try:
            return isinstance(await self._exchange(connection, holder), HeartbeatReply)
        finally:
            await connection.close()

    async def _exchange(
        self, connection: Connection, holder: Holder
    ) -> "HeartbeatReply | _Failure":
        try:
            response = await connection.exchange(self._heartbeat, HEARTBEAT_TIMEOUT_S)
            reply = decode_heartbeat_reply(response)
        except ExchangeError as error:
            return _Failure(str(error), error.refused)
        except CodecError as error:
            return _Failure(str(error), refused=False)
        if reply.sender.holder != holder:
            return _Failure("the host has started anew", refused=True)
        self._leadership.learn(reply.terms)
        return reply


@dataclass(frozen=True, slots=True)
class _Failure:
    """Say why a heartbeat failed, and whether the host itself turned it away."""

    reason: str
    refused: bool
