"""Receiving side of all links of one daemon."""

from dataclasses import dataclass

import anyio
from anyio.streams.memory import MemoryObjectSendStream
from result import Err, Ok, Result

from fireflybridge_core import StepError
from fireflybridge_peers._codec import (
    NO_SESSION,
    Accepted,
    Batch,
    Busy,
    Frame,
    Reply,
    UnknownSession,
    Welcome,
    build_reply_context,
    build_request_context,
    decode_batch,
    decode_hello,
    encode_reply,
    sign_frame,
    split_frame,
    verify_frame,
)
from fireflybridge_peers._heartbeats import HeartbeatSchedule
from fireflybridge_peers._messages import Message
from fireflybridge_peers._sessions import (
    Duplicate,
    InOrder,
    OutOfOrder,
    Session,
    Sessions,
    check_sequence,
)
from fireflybridge_peers._settings import LinkCallbacks, LinkSettings

_UNKNOWN_SENDER = "unknown sender"


@dataclass(frozen=True, slots=True)
class Delivery:
    """Messages of one accepted batch that wait to be handled."""

    peer: str
    incarnation: str
    messages: tuple[Message, ...]


class Receiver:
    """Checks the frames of all senders and queues each batch once."""

    def __init__(
        self,
        settings: LinkSettings,
        callbacks: LinkCallbacks,
        schedule: HeartbeatSchedule,
        inbox: MemoryObjectSendStream[Delivery],
    ) -> None:
        self._settings = settings
        self._callbacks = callbacks
        self._schedule = schedule
        self._inbox = inbox
        self._sessions = Sessions()

    def build_reply(self, data: bytes, now: float) -> bytes:
        """Return the reply frame to a received frame.

        A frame that is damaged, of another version or not authentic is reported. The reply to it is
        ``UnknownSession``, signed with the shared key like any other.
        """
        match split_frame(data, _UNKNOWN_SENDER):
            case Ok(frame):
                match self._handle_frame(frame, now):
                    case Ok(reply):
                        return self._sign_reply(frame, reply)
                    case Err(error):
                        self._callbacks.report(error)
                        return self._sign_reply(frame, UnknownSession())
            case Err(error):
                self._callbacks.report(error)
                return self._sign_reply(Frame(NO_SESSION, b"", b""), UnknownSession())

    def _sign_reply(self, frame: Frame, reply: Reply) -> bytes:
        context = build_reply_context(self._settings.name, frame.mac)
        return sign_frame(self._settings.key, frame.session, context, encode_reply(reply))

    def _handle_frame(self, frame: Frame, now: float) -> Result[Reply, StepError]:
        if frame.session == NO_SESSION:
            return self._open_session(frame)
        session = self._sessions.find(frame.session)
        if session is None:
            return Ok(UnknownSession())
        return self._accept_batch(frame, session, now)

    def _open_session(self, frame: Frame) -> Result[Reply, StepError]:
        context = build_request_context("", "", self._settings.name, "")
        return (
            verify_frame(self._settings.key, frame, context, _UNKNOWN_SENDER)
            .and_then(lambda _: decode_hello(frame.body, _UNKNOWN_SENDER))
            .map(lambda hello: Welcome(self._sessions.open(hello).id, self._settings.incarnation))
        )

    def _accept_batch(self, frame: Frame, session: Session, now: float) -> Result[Reply, StepError]:
        peer, incarnation = session.hello.sender, session.hello.incarnation
        context = build_request_context(
            peer, incarnation, self._settings.name, self._settings.incarnation
        )
        return (
            verify_frame(self._settings.key, frame, context, peer)
            .and_then(lambda _: decode_batch(frame.body, peer, incarnation))
            .map(lambda batch: self._queue_batch(batch, session, now))
        )

    def _queue_batch(self, batch: Batch, session: Session, now: float) -> Reply:
        peer, incarnation = session.hello.sender, session.hello.incarnation
        match check_sequence(session, batch.sequence):
            case OutOfOrder():
                return UnknownSession()
            case Duplicate():
                return Accepted(self._callbacks.build_heartbeat(peer))
            case InOrder():
                heartbeat = () if batch.heartbeat is None else (batch.heartbeat,)
                delivery = Delivery(peer, incarnation, heartbeat + batch.messages)
                try:
                    self._inbox.send_nowait(delivery)
                except anyio.WouldBlock:
                    return Busy()
                self._sessions.advance(session, batch.sequence)
                return self._acknowledge(peer, now)

    def _acknowledge(self, peer: str, now: float) -> Reply:
        self._schedule.record_exchange(peer, now)
        if not self._schedule.needs_heartbeat(peer, now):
            return Accepted(None)
        self._schedule.record_sent(peer, now)
        return Accepted(self._callbacks.build_heartbeat(peer))
