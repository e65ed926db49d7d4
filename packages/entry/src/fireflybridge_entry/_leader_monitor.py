"""Failure detection between hosts: heartbeats to a leader over a dedicated connection."""

import contextlib
import time
from collections.abc import Iterable
from dataclasses import dataclass, replace

import anyio

from fireflybridge_entry._codec import (
    CodecError,
    HeartbeatReply,
    Peer,
    decode_heartbeat_reply,
    encode_heartbeat,
    encode_terms,
)
from fireflybridge_entry._leader_contacts import LeaderContacts
from fireflybridge_http import Connection, ExchangeError, Request
from fireflybridge_leadership import Holder, Leadership, Term
from fireflybridge_pauses import WaitingClock
from fireflybridge_placement import CrashHistory

HEARTBEAT_INTERVAL_S = 0.15
HEARTBEAT_TIMEOUT_S = 0.25
PEER_TIMEOUT_S = 0.5  # longer than a host is throttled after it has used up its CPU quota
MAX_REFUSALS = 2  # a refused connection is retried once, since the host may be starting
RETRY_DELAY_S = 0.015


@dataclass(frozen=True, slots=True)
class LeaderLoss:
    """Hold the reason why a leader is considered lost."""

    reason: str


class LeaderMonitor:
    """Exchange heartbeats with a leader, and keep the terms, peers and crashes from its replies."""

    def __init__(
        self,
        leadership: Leadership,
        host: Peer,
        crashes: CrashHistory | None = None,
        contacts: LeaderContacts | None = None,
    ) -> None:
        self.peers: tuple[Peer, ...] = ()
        """The other known hosts of this host's failure domain."""
        self._leadership = leadership
        self._host = host
        self._crashes = CrashHistory() if crashes is None else crashes
        self._contacts = LeaderContacts() if contacts is None else contacts

    def start_draining(self) -> None:
        """Report in all further heartbeats that this host is about to stop."""
        self._host = replace(self._host, draining=True)

    async def watch(self, term: Term, duration_s: float | None = None) -> LeaderLoss | None:
        """Return why the leader was lost, or None after ``duration_s`` or once its term has ended."""
        connection = Connection(term.holder.address)
        started_s = time.monotonic()
        clock = WaitingClock()
        last_reply_s = clock.now_s
        refusals = 0
        try:
            while self._leadership.terms.get(term.domain) == term:
                if duration_s is not None and time.monotonic() > started_s + duration_s:
                    return None
                with clock.count(HEARTBEAT_TIMEOUT_S):
                    result = await self._exchange(connection, term.holder)
                match result:
                    case HeartbeatReply():
                        last_reply_s = clock.now_s
                        refusals = 0
                        with clock.count(HEARTBEAT_INTERVAL_S):
                            await self._leadership.changed.wait(HEARTBEAT_INTERVAL_S)
                    case _FailedHeartbeat(reason=reason, refused=refused):
                        refusals = refusals + 1 if refused else 0
                        silent_s = clock.now_s - last_reply_s
                        if refusals >= MAX_REFUSALS or silent_s > PEER_TIMEOUT_S:
                            return LeaderLoss(reason)
                        with clock.count(RETRY_DELAY_S):
                            await anyio.sleep(RETRY_DELAY_S)
            return None
        finally:
            await connection.close()

    async def find_peers(self, address: str) -> None:
        """Keep asking the host at an address, in any incarnation, for more peers until cancelled.

        Hosts that have all started anew find each other at the host of an earlier leader.
        """
        connection = Connection(address)
        try:
            while True:
                with contextlib.suppress(ExchangeError, CodecError):
                    reply = await self._request(connection, encode_heartbeat(self._host))
                    self._learn(reply, keep_peers=True)
                await anyio.sleep(HEARTBEAT_INTERVAL_S)
        finally:
            await connection.close()

    async def probe(self, holder: Holder) -> bool:
        """Return whether the given incarnation of a host replies to one heartbeat."""
        connection = Connection(holder.address)
        try:
            result = await self._exchange(connection, holder, keep_peers=True)
            return isinstance(result, HeartbeatReply)
        finally:
            await connection.close()

    async def announce(self, terms: Iterable[Term], address: str) -> bool:
        """Report terms to the host at an address, and return whether it has acknowledged them."""
        connection = Connection(address)
        try:
            response = await connection.exchange(encode_terms(terms), HEARTBEAT_TIMEOUT_S)
            return response.succeeded
        except ExchangeError:
            return False
        finally:
            await connection.close()

    async def _exchange(
        self, connection: Connection, holder: Holder, *, keep_peers: bool = False
    ) -> "HeartbeatReply | _FailedHeartbeat":
        leader = holder.incarnation
        withdrawn = self._contacts.list_withdrawn(leader)
        stamp = self._contacts.find_stamp(leader)
        try:
            reply = await self._request(connection, encode_heartbeat(self._host, stamp, withdrawn))
        except ExchangeError as error:
            return _FailedHeartbeat(str(error), error.refused)
        except CodecError as error:
            return _FailedHeartbeat(str(error), refused=False)
        self._learn(reply, keep_peers=keep_peers)
        if reply.sender.holder != holder:
            return _FailedHeartbeat("the host has restarted", refused=True)
        self._contacts.record_reply(leader, reply.stamp, withdrawn)
        return reply

    async def _request(self, connection: Connection, heartbeat: Request) -> HeartbeatReply:
        response = await connection.exchange(heartbeat, HEARTBEAT_TIMEOUT_S)
        return decode_heartbeat_reply(response)

    def _learn(self, reply: HeartbeatReply, *, keep_peers: bool) -> None:
        """Note the terms, crashes and peers of a reply; its sender may be a peer itself.

        A leader that this host follows knows all peers; another host may know a part of them.
        """
        self._leadership.add_terms(reply.terms)
        for crash in reply.crashes:
            self._crashes.record(crash)
        known = self.peers if keep_peers else ()
        found = {peer.holder.host: peer for peer in (*known, *reply.peers, reply.sender)}
        self.peers = tuple(
            peer
            for host, peer in found.items()
            if peer.failure_domain == self._host.failure_domain and host != self._host.holder.host
        )


@dataclass(frozen=True, slots=True)
class _FailedHeartbeat:
    """Hold why a heartbeat failed, and whether the host itself refused it."""

    reason: str
    refused: bool
