"""Sending side of the link to one peer."""

import itertools
import secrets
import time
from collections.abc import Callable

import anyio
import pynng
from result import Err, Ok, Result

from fireflybridge_core import StepError
from fireflybridge_peers._codec import (
    NO_SESSION,
    Accepted,
    Busy,
    Hello,
    Reply,
    Welcome,
    build_reply_context,
    build_request_context,
    decode_reply,
    encode_batch,
    encode_hello,
    encode_message,
    extract_mac,
    sign_frame,
    split_frame,
    verify_frame,
)
from fireflybridge_peers._heartbeats import HeartbeatSchedule
from fireflybridge_peers._messages import Message
from fireflybridge_peers._outbox import (
    Outbox,
    PeerStalled,
    QueuedMessage,
    SendFailure,
)
from fireflybridge_peers._settings import LinkCallbacks, LinkSettings, LinkStats, Lost, Stalled
from fireflybridge_peers._sockets import dial_peer, exchange_frames

# A request that is not acknowledged within the timeout is sent again on a new connection, in case
# the peer's host disappeared without closing the old one. The first timeout leaves time to repeat a
# request whose acknowledgement was lost well before the peer counts as lost. Timeouts double, since
# an acknowledgement that takes longer than the timeout is not recognized. A new connection also
# restarts the kernel's connection retries at the shortest interval, so the upper limit keeps a link
# from staying idle long after a partition has ended.
FIRST_TIMEOUT_S = 1.0
MAX_TIMEOUT_S = 4.0
# After this time, when a silent peer also counts as lost, queued messages are reported as unsent:
# their tasks can still run elsewhere.
STALLED_AFTER_S = 3.0
BUSY_RETRY_S = 0.02
FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 1.0
_LINK_BITS = 63


class PeerLink:
    """Link to one peer: its outbox, its session and its task."""

    def __init__(
        self,
        peer: str,
        address: str,
        settings: LinkSettings,
        callbacks: LinkCallbacks,
        schedule: HeartbeatSchedule,
    ) -> None:
        self.peer = peer
        self.address = address
        self._settings = settings
        self._callbacks = callbacks
        self._schedule = schedule
        self._outbox = Outbox(peer, settings.max_queued_messages, settings.max_queued_bytes)
        self._queued = anyio.Event()
        self._scope = anyio.CancelScope()
        self._hello = self._make_hello()
        self._socket: pynng.Req0
        self._incarnation = ""
        self._in_flight: tuple[QueuedMessage, ...] = ()
        self._stalled = False
        self._exchanges = 0
        self._sent_messages = 0
        self._sent_bytes = 0
        self._received_bytes = 0
        self._round_trip_s = 0.0

    def send(self, message: Message) -> Result[None, SendFailure]:
        """Queue a message unless the peer has stopped acknowledging messages."""
        if self._stalled:
            return Err(PeerStalled(self.peer))
        result = self._outbox.put(encode_message(message), time.monotonic())
        self._queued.set()
        return result

    def announce(self) -> None:
        """Send a heartbeat now, before it is due."""
        self._schedule.make_due(self.peer)
        self._queued.set()

    def get_stats(self) -> LinkStats:
        """Return the counters of the link."""
        return LinkStats(
            peer=self.peer,
            incarnation=self._incarnation,
            queued=len(self._outbox),
            exchanges=self._exchanges,
            sent_messages=self._sent_messages,
            sent_bytes=self._sent_bytes,
            received_bytes=self._received_bytes,
            round_trip_s=self._round_trip_s,
        )

    def close(self) -> None:
        """Cancel the task and report the messages that the peer has not acknowledged."""
        self._scope.cancel()
        self._report_lost()

    async def run(self) -> None:
        """Open a session, exchange batches until the peer no longer knows it, and repeat."""
        with self._scope:
            self._socket = dial_peer(self.address)
            try:
                while True:
                    self._hello = self._make_hello()
                    welcome = await self._open_session()
                    self._incarnation = welcome.incarnation
                    await self._exchange_batches(welcome.session)
                    self._report_lost()
            finally:
                self._socket.close()

    async def _open_session(self) -> Welcome:
        context = build_request_context("", "", self.peer, "")
        body = encode_hello(self._hello)
        while True:
            reply = await self._exchange(
                lambda: sign_frame(self._settings.key, NO_SESSION, context, body)
            )
            if isinstance(reply, Welcome):
                return reply
            await anyio.sleep(MAX_PAUSE_S)

    async def _exchange_batches(self, session: bytes) -> None:
        for sequence in itertools.count(1):
            await self._wait_until_due()
            self._in_flight = self._outbox.take_batch()
            accepted = await self._exchange_batch(session, sequence)
            if accepted is None:
                return
            self._schedule.record_exchange(self.peer, time.monotonic())
            self._exchanges += 1
            self._sent_messages += len(self._in_flight)
            self._in_flight = ()
            if accepted.heartbeat is not None:
                await self._callbacks.handle(self.peer, self._incarnation, accepted.heartbeat)

    async def _wait_until_due(self) -> None:
        if self._outbox:
            # These messages were coalesced during the previous exchange.
            return
        while not self._outbox:
            self._queued = anyio.Event()
            with anyio.move_on_after(self._schedule.find_due(self.peer) - time.monotonic()) as wait:
                await self._queued.wait()
            if wait.cancelled_caught and self._schedule.find_due(self.peer) <= time.monotonic():
                return
        await anyio.sleep(self._settings.coalesce_s)

    async def _exchange_batch(self, session: bytes, sequence: int) -> Accepted | None:
        while True:
            reply = await self._exchange(lambda: self._build_batch_frame(session, sequence))
            match reply:
                case Accepted():
                    return reply
                case Busy():
                    await anyio.sleep(BUSY_RETRY_S)
                case _:
                    return None

    def _build_batch_frame(self, session: bytes, sequence: int) -> bytes:
        now = time.monotonic()
        heartbeat = None
        if not self._in_flight or self._schedule.needs_heartbeat(self.peer, now):
            heartbeat = self._callbacks.build_heartbeat(self.peer)
            self._schedule.record_sent(self.peer, now)
        aged = tuple((now - queued.queued_at, queued.encoded) for queued in self._in_flight)
        context = build_request_context(
            self._settings.name, self._settings.incarnation, self.peer, self._incarnation
        )
        body = encode_batch(sequence, heartbeat, aged)
        return sign_frame(self._settings.key, session, context, body)

    async def _exchange(self, build_frame: Callable[[], bytes]) -> Reply:
        started, timeout_s, pause_s = time.monotonic(), FIRST_TIMEOUT_S, FIRST_PAUSE_S
        while True:
            with anyio.move_on_after(timeout_s):
                match await self._request(build_frame()):
                    case Ok(reply):
                        self._stalled = False
                        return reply
                    case Err(error):
                        self._callbacks.report(error)
                        await anyio.sleep(pause_s)
            self._socket.close()
            self._socket = dial_peer(self.address)
            if time.monotonic() - started >= STALLED_AFTER_S:
                self._report_unsent()
            timeout_s, pause_s = min(timeout_s * 2, MAX_TIMEOUT_S), min(pause_s * 2, MAX_PAUSE_S)

    async def _request(self, frame: bytes) -> Result[Reply, StepError]:
        started = time.monotonic()
        self._sent_bytes += len(frame)
        try:
            data = await exchange_frames(self._socket, frame)
        except pynng.NNGException as error:
            return Err(StepError("peers.exchange", self.peer, str(error)))
        self._received_bytes += len(data)
        self._round_trip_s = time.monotonic() - started
        return self._decode_reply_frame(data, extract_mac(frame))

    def _decode_reply_frame(self, data: bytes, request_mac: bytes) -> Result[Reply, StepError]:
        match split_frame(data, self.peer):
            case Ok(frame):
                context = build_reply_context(self.peer, request_mac)
                return verify_frame(self._settings.key, frame, context, self.peer).and_then(
                    lambda _: decode_reply(frame.body, self.peer, self._incarnation)
                )
            case Err(error):
                return Err(error)

    def _make_hello(self) -> Hello:
        # A session numbers its batches from 1, so each handshake asks for a new session.
        link = secrets.randbits(_LINK_BITS)
        return Hello(self._settings.name, self._settings.incarnation, link)

    def _report_unsent(self) -> None:
        self._stalled = True
        unsent = self._outbox.take_all()
        if unsent:
            self._callbacks.stalled(Stalled(self.peer, self._incarnation, unsent))

    def _report_lost(self) -> None:
        unacknowledged = tuple(queued.encoded.message for queued in self._in_flight)
        lost = Lost(self.peer, self._incarnation, unacknowledged, self._outbox.take_all())
        self._in_flight = ()
        self._incarnation = ""
        if lost.incarnation or lost.unsent:
            self._callbacks.lost(lost)
