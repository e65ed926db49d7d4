"""Receiving end of all links of one daemon."""

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
    decode_batch,
    decode_hello,
    encode_reply,
    name_reply,
    name_request,
    seal_frame,
    split_frame,
    verify_frame,
)
from fireflybridge_peers._heartbeats import HeartbeatTimes
from fireflybridge_peers._messages import Message
from fireflybridge_peers._sessions import (
    Fresh,
    OutOfOrder,
    Repeated,
    Session,
    Sessions,
    check_order,
)
from fireflybridge_peers._settings import LinkCallbacks, LinkSettings

_UNKNOWN_SENDER = "unknown sender"


@dataclass(frozen=True, slots=True)
class Delivery:
    """Hold the messages of one accepted batch until they are handled."""

    peer: str
    incarnation: str
    messages: tuple[Message, ...]


class Receiver:
    """Own the sessions of senders and queue each batch for handling once."""

    def __init__(
        self,
        settings: LinkSettings,
        callbacks: LinkCallbacks,
        times: HeartbeatTimes,
        inbox: MemoryObjectSendStream[Delivery],
    ) -> None:
        self._settings = settings
        self._callbacks = callbacks
        self._times = times
        self._inbox = inbox
        self._sessions = Sessions()

    def answer(self, data: bytes, now: float) -> bytes:
        """Return the reply frame to a received frame.

        A frame that is damaged, of another version or not authentic is reported. Its reply says
        that the session is unknown, under an authentication code that only the shared key makes.
        """
        match split_frame(data, _UNKNOWN_SENDER):
            case Ok(frame):
                match self._decide(frame, now):
                    case Ok(reply):
                        return self._seal(frame, reply)
                    case Err(error):
                        self._callbacks.report(error)
                        return self._seal(frame, UnknownSession())
            case Err(error):
                self._callbacks.report(error)
                return self._seal(Frame(NO_SESSION, b"", b""), UnknownSession())

    def _seal(self, frame: Frame, reply: Reply) -> bytes:
        context = name_reply(self._settings.name, frame.code)
        return seal_frame(self._settings.key, frame.session, context, encode_reply(reply))

    def _decide(self, frame: Frame, now: float) -> Result[Reply, StepError]:
        if frame.session == NO_SESSION:
            return self._welcome(frame)
        session = self._sessions.find(frame.session)
        if session is None:
            return Ok(UnknownSession())
        return self._accept(frame, session, now)

    def _welcome(self, frame: Frame) -> Result[Reply, StepError]:
        context = name_request("", "", self._settings.name, "")
        return (
            verify_frame(self._settings.key, frame, context, _UNKNOWN_SENDER)
            .and_then(lambda _: decode_hello(frame.body, _UNKNOWN_SENDER))
            .map(lambda hello: Welcome(self._sessions.open(hello).id, self._settings.incarnation))
        )

    def _accept(self, frame: Frame, session: Session, now: float) -> Result[Reply, StepError]:
        peer, incarnation = session.hello.sender, session.hello.incarnation
        context = name_request(peer, incarnation, self._settings.name, self._settings.incarnation)
        return (
            verify_frame(self._settings.key, frame, context, peer)
            .and_then(lambda _: decode_batch(frame.body, peer, incarnation))
            .map(lambda batch: self._queue(batch, session, now))
        )

    def _queue(self, batch: Batch, session: Session, now: float) -> Reply:
        peer, incarnation = session.hello.sender, session.hello.incarnation
        match check_order(session, batch.sequence):
            case OutOfOrder():
                return UnknownSession()
            case Repeated():
                return Accepted(self._callbacks.build_heartbeat(peer))
            case Fresh():
                heartbeat = () if batch.heartbeat is None else (batch.heartbeat,)
                delivery = Delivery(peer, incarnation, heartbeat + batch.messages)
                try:
                    self._inbox.send_nowait(delivery)
                except anyio.WouldBlock:
                    return Busy()
                self._sessions.advance(session, batch.sequence)
                return self._acknowledge(peer, now)

    def _acknowledge(self, peer: str, now: float) -> Reply:
        self._times.note_exchange(peer, now)
        if not self._times.needs_heartbeat(peer, now):
            return Accepted(None)
        self._times.note_sent(peer, now)
        return Accepted(self._callbacks.build_heartbeat(peer))
