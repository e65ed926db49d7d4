"""The listener of one daemon and its links to all peers."""

import time

import anyio
import pynng
from anyio.abc import TaskGroup, TaskStatus
from anyio.streams.memory import MemoryObjectReceiveStream
from result import Err, Result

from fireflybridge_core import StepError
from fireflybridge_peers._heartbeats import HeartbeatSchedule
from fireflybridge_peers._link import PeerLink
from fireflybridge_peers._messages import Message
from fireflybridge_peers._outbox import SendFailure, UnknownPeer
from fireflybridge_peers._receiver import Delivery, Receiver
from fireflybridge_peers._settings import LinkCallbacks, LinkSettings, LinkStats
from fireflybridge_peers._sockets import listen_to_peers, receive_frame

# With batches of at most 1 MiB, the messages that wait to be handled take at most 16 MiB.
MAX_INBOX_BATCHES = 16


class PeerLinks:
    """Listener of a daemon and one link task for each connected peer.

    While both processes live, each message that ``send`` accepted is handled once at the peer, even
    when acknowledgements are lost or connections break.
    """

    def __init__(self, settings: LinkSettings, callbacks: LinkCallbacks) -> None:
        self._settings = settings
        self._callbacks = callbacks
        self._schedule = HeartbeatSchedule(settings.name)
        self._links: dict[str, PeerLink] = {}
        self._tasks: TaskGroup | None = None

    async def run(self, *, task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve the listener and the links until cancelled; report the listener's ``ip:port``.

        Raise ``OSError`` when the address cannot be listened on.
        """
        sender, inbox = anyio.create_memory_object_stream[Delivery](MAX_INBOX_BATCHES)
        receiver = Receiver(self._settings, self._callbacks, self._schedule, sender)
        with listen_to_peers(self._settings.listen) as socket, sender, inbox:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self._deliver, inbox)
                for link in self._links.values():
                    tasks.start_soon(link.run)
                task_status.started(str(socket.listeners[0].local_address))
                await self._serve(socket, receiver)

    def connect(self, name: str, address: str, *, remote: bool = False) -> None:
        """Start the link to a peer at ``ip:port``; a link to another address is closed first.

        ``remote`` states that the peer is in another failure domain.
        """
        known = self._links.get(name)
        if known is not None and known.address == address:
            return
        self.disconnect(name)
        interval_s = self._settings.remote_heartbeat_s if remote else self._settings.heartbeat_s
        self._schedule.add(name, interval_s)
        link = PeerLink(name, address, self._settings, self._callbacks, self._schedule)
        self._links[name] = link
        if self._tasks is not None:
            self._tasks.start_soon(link.run)

    def disconnect(self, name: str) -> None:
        """Close the link to a peer and report the messages that it has not acknowledged."""
        link = self._links.pop(name, None)
        if link is not None:
            self._schedule.remove(name)
            link.close()

    def send(self, peer: str, message: Message) -> Result[None, SendFailure]:
        """Queue a message to a connected peer."""
        link = self._links.get(peer)
        return Err(UnknownPeer(peer)) if link is None else link.send(message)

    def announce(self) -> None:
        """Send a heartbeat to every peer now, after a change that they act on."""
        for link in self._links.values():
            link.announce()

    def get_link_stats(self) -> tuple[LinkStats, ...]:
        """Return the counters of every link."""
        return tuple(link.get_stats() for link in self._links.values())

    async def _serve(self, socket: pynng.Rep0, receiver: Receiver) -> None:
        while True:
            try:
                request = await receive_frame(socket)
                # The peer repeats a request without a reply, as after its connection broke.
                socket.send(receiver.build_reply(request, time.monotonic()), block=False)
            except pynng.NNGException as error:
                self._callbacks.report(StepError("peers.serve", "all peers", str(error)))

    async def _deliver(self, inbox: MemoryObjectReceiveStream[Delivery]) -> None:
        async for delivery in inbox:
            for message in delivery.messages:
                await self._callbacks.handle(delivery.peer, delivery.incarnation, message)
