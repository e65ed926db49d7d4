"""A relay between an entry host and a leader that holds back what a test says."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import Enum, auto

import anyio
from anyio.abc import SocketAttribute, SocketStream

CLOSED = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)
HEARTBEAT = b"POST /peer/heartbeat "


class Traffic(Enum):
    """What passes between the hosts."""

    HEARTBEATS = auto()
    HEARTBEAT_REPLIES = auto()
    SUBMISSIONS = auto()
    ANSWERS = auto()
    ENDS = auto()
    """The ends of the entry host's connections."""


class Relay:
    """Pass connections on to the leader; bytes that are held back arrive once they are let go."""

    def __init__(self) -> None:
        self.address = ""
        self.held: set[Traffic] = set()
        self.passed: Counter[Traffic] = Counter()
        """How often something of each kind was passed on."""
        self._target = ""
        self._let_go = anyio.Event()

    @asynccontextmanager
    async def run(self) -> AsyncIterator["Relay"]:
        """Accept connections until the context ends."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        self.address = "{}:{}".format(*listener.extra(SocketAttribute.local_address))
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, self._serve, group)
            yield self
            group.cancel_scope.cancel()

    @property
    def has_answered_heartbeats(self) -> bool:
        """Return whether the entry host has had a reply and sent the next heartbeat."""
        return self.passed[Traffic.HEARTBEATS] >= 2 <= self.passed[Traffic.HEARTBEAT_REPLIES]

    def lead_to(self, address: str) -> None:
        """Pass further connections on to an address."""
        self._target = address

    def let_go(self, *traffic: Traffic) -> None:
        """Pass on what was held back of these kinds, and hold it back no more."""
        self.held.difference_update(traffic)
        event, self._let_go = self._let_go, anyio.Event()
        event.set()

    async def _serve(self, client: SocketStream) -> None:
        host, _, port = self._target.rpartition(":")
        async with client, await anyio.connect_tcp(host, int(port)) as leader:
            first = await _receive(client)
            beats = first.startswith(HEARTBEAT)
            requests = Traffic.HEARTBEATS if beats else Traffic.SUBMISSIONS
            replies = Traffic.HEARTBEAT_REPLIES if beats else Traffic.ANSWERS
            async with anyio.create_task_group() as group:
                group.start_soon(self._pass_replies, leader, client, replies)
                await self._pass_requests(first, client, leader, requests)
                group.cancel_scope.cancel()

    async def _pass_requests(
        self, data: bytes, client: SocketStream, leader: SocketStream, requests: Traffic
    ) -> None:
        while data:
            await self._pass(requests)
            await leader.send(data)
            data = await _receive(client)
        await self._pass(Traffic.ENDS)

    async def _pass_replies(
        self, leader: SocketStream, client: SocketStream, replies: Traffic
    ) -> None:
        while data := await _receive(leader):
            await self._pass(replies)
            try:
                await client.send(data)
            except CLOSED:
                return

    async def _pass(self, traffic: Traffic) -> None:
        while traffic in self.held:
            await self._let_go.wait()
        self.passed[traffic] += 1


async def _receive(stream: SocketStream) -> bytes:
    """Return some bytes, or none at the end of the connection."""
    try:
        return await stream.receive()
    except (anyio.EndOfStream, *CLOSED):
        return b""
