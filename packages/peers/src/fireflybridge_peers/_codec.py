"""Encoding and authentication of frames.

A frame is one version byte, an 8-byte session, a 16-byte message authentication code (MAC) and a
MessagePack body. The MAC is HMAC-SHA256, truncated to 128 bits, over version, session, context and
body. The context is not transmitted: it names the sender and the receiver of a request, and holds
the MAC of the request for a reply, so that a frame is valid only for one direction, one pair of
incarnations and one request.
"""

import hashlib
import hmac
from dataclasses import dataclass

import msgspec
from msgspec import Raw, Struct
from result import Err, Ok, Result

from fireflybridge_core import StepError
from fireflybridge_peers._conversion import (
    pack_heartbeat,
    pack_message,
    unpack_heartbeat,
    unpack_message,
)
from fireflybridge_peers._messages import Heartbeat, Message, age_message
from fireflybridge_peers._wire import WireHeartbeat, WireMessage

PROTOCOL_VERSION = 1
SESSION_BYTES = 8
MAC_BYTES = 16
NO_SESSION = bytes(SESSION_BYTES)
_BODY_OFFSET = 1 + SESSION_BYTES + MAC_BYTES
_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Hello:
    """Request for a session of one link of one sender's incarnation."""

    sender: str
    incarnation: str
    link: int


@dataclass(frozen=True, slots=True)
class Batch:
    """Messages with a sequence number that counts from 1 in each session."""

    sequence: int
    heartbeat: Heartbeat | None
    messages: tuple[Message, ...]


@dataclass(frozen=True, slots=True)
class Welcome:
    """Reply to a hello with the opened session and the receiver's incarnation."""

    session: bytes
    incarnation: str


@dataclass(frozen=True, slots=True)
class Accepted:
    """Acknowledgement of a batch, whose messages are queued at the receiver."""

    heartbeat: Heartbeat | None


@dataclass(frozen=True, slots=True)
class Busy:
    """The batch was not accepted because the receiver's inbox is full."""


@dataclass(frozen=True, slots=True)
class UnknownSession:
    """The receiver does not know the session, for example after a restart."""


Reply = Welcome | Accepted | Busy | UnknownSession


@dataclass(frozen=True, slots=True)
class Frame:
    """Parts of a received frame."""

    session: bytes
    mac: bytes
    body: bytes


@dataclass(frozen=True, slots=True)
class EncodedMessage:
    """Message with its encoding, which waits to be sent."""

    message: Message
    payload: bytes


class _WireHello(Struct, array_like=True, frozen=True):
    sender: str
    incarnation: str
    link: int


class _WireBatch(Struct, array_like=True, frozen=True):
    sequence: int
    heartbeat: WireHeartbeat | None
    messages: tuple[tuple[int, WireMessage], ...]


class _RawBatch(Struct, array_like=True, frozen=True):
    sequence: int
    heartbeat: WireHeartbeat | None
    messages: tuple[tuple[int, Raw], ...]


class _WireWelcome(Struct, array_like=True, frozen=True, tag=0):
    session: bytes
    incarnation: str


class _WireAccepted(Struct, array_like=True, frozen=True, tag=1):
    heartbeat: WireHeartbeat | None


class _WireBusy(Struct, array_like=True, frozen=True, tag=2):
    pass


class _WireUnknownSession(Struct, array_like=True, frozen=True, tag=3):
    pass


_WireReply = _WireWelcome | _WireAccepted | _WireBusy | _WireUnknownSession

_encoder = msgspec.msgpack.Encoder()
_hello_decoder = msgspec.msgpack.Decoder(_WireHello)
_batch_decoder = msgspec.msgpack.Decoder(_WireBatch)
_reply_decoder: msgspec.msgpack.Decoder[_WireReply] = msgspec.msgpack.Decoder(_WireReply)


def encode_message(message: Message) -> EncodedMessage:
    """Return the message with its encoding."""
    return EncodedMessage(message, _encoder.encode(pack_message(message)))


def encode_hello(hello: Hello) -> bytes:
    """Return the body of a hello."""
    return _encoder.encode(_WireHello(hello.sender, hello.incarnation, hello.link))


def encode_batch(
    sequence: int, heartbeat: Heartbeat | None, messages: tuple[tuple[float, EncodedMessage], ...]
) -> bytes:
    """Return the body of a batch; each message has its age at the sender in seconds."""
    entries = tuple(
        (max(0, round(age_s * _MS_PER_S)), Raw(encoded.payload)) for age_s, encoded in messages
    )
    packed = None if heartbeat is None else pack_heartbeat(heartbeat)
    return _encoder.encode(_RawBatch(sequence, packed, entries))


def encode_reply(reply: Reply) -> bytes:
    """Return the body of a reply."""
    match reply:
        case Welcome(session, incarnation):
            return _encoder.encode(_WireWelcome(session, incarnation))
        case Accepted(heartbeat):
            packed = None if heartbeat is None else pack_heartbeat(heartbeat)
            return _encoder.encode(_WireAccepted(packed))
        case Busy():
            return _encoder.encode(_WireBusy())
        case UnknownSession():
            return _encoder.encode(_WireUnknownSession())


def decode_hello(body: bytes, peer: str) -> Result[Hello, StepError]:
    """Return the hello of a body; ``peer`` names its source in an error."""
    try:
        wire = _hello_decoder.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Err(StepError("peers.decode-hello", peer, str(error)))
    return Ok(Hello(wire.sender, wire.incarnation, wire.link))


def decode_batch(body: bytes, peer: str, incarnation: str) -> Result[Batch, StepError]:
    """Return the batch of a body that this incarnation of the peer sent."""
    try:
        wire = _batch_decoder.decode(body)
        heartbeat = _unpack_optional(wire.heartbeat, peer, incarnation)
        messages = tuple(
            age_message(unpack_message(message, peer, incarnation), age_ms / _MS_PER_S)
            for age_ms, message in wire.messages
        )
    except (msgspec.MsgspecError, ValueError, RecursionError, OverflowError) as error:
        return Err(StepError("peers.decode-batch", peer, str(error)))
    return Ok(Batch(wire.sequence, heartbeat, messages))


def decode_reply(body: bytes, peer: str, incarnation: str) -> Result[Reply, StepError]:
    """Return the reply of a body that this incarnation of the peer sent."""
    try:
        return Ok(_unpack_reply(_reply_decoder.decode(body), peer, incarnation))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Err(StepError("peers.decode-reply", peer, str(error)))


def build_request_context(
    sender: str, incarnation: str, receiver: str, receiver_incarnation: str
) -> bytes:
    """Return the context of a request: its sender and its receiver."""
    return "\0".join(("request", sender, incarnation, receiver, receiver_incarnation)).encode()


def build_reply_context(receiver: str, request_mac: bytes) -> bytes:
    """Return the context of the receiver's reply to the request with this MAC."""
    return b"\0".join((b"reply", receiver.encode(), request_mac))


def sign_frame(key: bytes | None, session: bytes, context: bytes, body: bytes) -> bytes:
    """Return a frame with its MAC, which is zero without a key."""
    head = bytes((PROTOCOL_VERSION,)) + session
    return head + _compute_mac(key, head, context, body) + body


def split_frame(data: bytes, peer: str) -> Result[Frame, StepError]:
    """Return the parts of a frame, without verifying its MAC."""
    if len(data) < _BODY_OFFSET:
        return Err(StepError("peers.split-frame", peer, f"frame of {len(data)} bytes is too short"))
    if data[0] != PROTOCOL_VERSION:
        detail = f"protocol version {data[0]}, this daemon speaks {PROTOCOL_VERSION}"
        return Err(StepError("peers.split-frame", peer, detail))
    mac_offset = 1 + SESSION_BYTES
    return Ok(Frame(data[1:mac_offset], data[mac_offset:_BODY_OFFSET], data[_BODY_OFFSET:]))


def extract_mac(frame: bytes) -> bytes:
    """Return the MAC of a frame that this daemon signed."""
    return frame[1 + SESSION_BYTES : _BODY_OFFSET]


def verify_frame(
    key: bytes | None, frame: Frame, context: bytes, peer: str
) -> Result[None, StepError]:
    """Check the MAC of a frame."""
    head = bytes((PROTOCOL_VERSION,)) + frame.session
    if hmac.compare_digest(frame.mac, _compute_mac(key, head, context, frame.body)):
        return Ok(None)
    return Err(StepError("peers.verify-frame", peer, "authentication code does not match"))


def _unpack_reply(wire: _WireReply, peer: str, incarnation: str) -> Reply:
    match wire:
        case _WireWelcome():
            return Welcome(wire.session, wire.incarnation)
        case _WireAccepted():
            return Accepted(_unpack_optional(wire.heartbeat, peer, incarnation))
        case _WireBusy():
            return Busy()
        case _WireUnknownSession():
            return UnknownSession()


def _unpack_optional(wire: WireHeartbeat | None, peer: str, incarnation: str) -> Heartbeat | None:
    return None if wire is None else unpack_heartbeat(wire, peer, incarnation)


def _compute_mac(key: bytes | None, head: bytes, context: bytes, body: bytes) -> bytes:
    if key is None:
        return bytes(MAC_BYTES)
    signed = b"".join((head, len(context).to_bytes(4), context, body))
    return hmac.digest(key, signed, hashlib.sha256)[:MAC_BYTES]
