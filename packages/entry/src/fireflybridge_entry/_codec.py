"""Encoding of the messages between hosts: a submission, its answer, a heartbeat and terms."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from fireflybridge_http import Request, Response, check_address
from fireflybridge_jobs import (
    Answer,
    Crash,
    EarlierRuns,
    Failed,
    Job,
    Moved,
    NotRun,
    RefusalReason,
    Succeeded,
    TimedOut,
)
from fireflybridge_leadership import Holder, Term

SUBMIT_PATH = "/peer/jobs"
HEARTBEAT_PATH = "/peer/heartbeat"
TERMS_PATH = "/peer/terms"


class CodecError(Exception):
    """Signal a message from another host that can't be decoded."""


@dataclass(frozen=True, slots=True)
class LeaderStamp:
    """Hold a time on the monotonic clock of one incarnation of a leader, for that one to compare."""

    incarnation: str
    time_s: float


@dataclass(frozen=True, slots=True)
class Submission:
    """Hold a job sent to the leader; ``age_ms`` is the time since the sender received it.

    ``earlier`` is None if no other leader can have started any of the job's tasks.
    """

    sender: str
    job: Job
    age_ms: float
    earlier: EarlierRuns | None
    incarnation: str = ""
    """The sender's; hosts of earlier releases don't tell it."""
    number: int = 0
    """Identifies the submission among those of the sender's process; 0 in earlier releases."""
    stamp: LeaderStamp | None = None
    """The newest one that the sender has got from this leader; none in earlier releases."""
    max_age_ms: float | None = None
    """The longest time since the caller can have sent the job; unknown in earlier releases."""


@dataclass(frozen=True, slots=True)
class Peer:
    """Describe a host to other hosts."""

    holder: Holder
    failure_domain: str
    strength: float
    draining: bool = False


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Hold a heartbeat: its sender, the newest stamp that this got, and withdrawn submissions."""

    sender: Peer
    stamp: LeaderStamp | None = None
    withdrawn: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Hold the reply to a heartbeat: the replying host, the terms it knows, peers and crashes.

    The peers are the hosts that send it heartbeats from the failure domain of the requesting host;
    the crashes are those that it has learned of lately.
    """

    sender: Peer
    terms: tuple[Term, ...]
    peers: tuple[Peer, ...]
    crashes: tuple[Crash, ...] = ()
    stamp: LeaderStamp | None = None
    """When the reply was made; the sender of the heartbeat returns it in its next messages."""


@dataclass(frozen=True, slots=True)
class _HeartbeatMessage:
    """A heartbeat as encoded: earlier releases read the fields of a ``Peer`` only."""

    holder: Holder
    failure_domain: str
    strength: float
    draining: bool = False
    stamp: LeaderStamp | None = None
    withdrawn: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class _AnswerMessage:
    kind: str
    reason: str = ""
    retry_after_s: int = 0
    earlier: EarlierRuns | None = None


T = TypeVar("T")

_submission_decoder = msgspec.json.Decoder(Submission)
_heartbeat_decoder = msgspec.json.Decoder(_HeartbeatMessage)
_reply_decoder = msgspec.json.Decoder(HeartbeatReply)
_answer_decoder = msgspec.json.Decoder(_AnswerMessage)
_terms_decoder = msgspec.json.Decoder(tuple[Term, ...])
_encoder = msgspec.json.Encoder()


def encode_submission(submission: Submission) -> Request:
    """Return the request that submits a job to the leader."""
    return Request("POST", SUBMIT_PATH, body=_encoder.encode(submission))


def decode_submission(body: bytes) -> Submission:
    """Return the submission in a request's body; raise ``CodecError`` if it can't be decoded."""
    return decode(_submission_decoder, body)


def encode_heartbeat(
    sender: Peer, stamp: LeaderStamp | None = None, withdrawn: tuple[int, ...] = ()
) -> Request:
    """Return the request that reports this host to another one."""
    message = _HeartbeatMessage(
        sender.holder, sender.failure_domain, sender.strength, sender.draining, stamp, withdrawn
    )
    return Request("POST", HEARTBEAT_PATH, body=_encoder.encode(message))


def decode_heartbeat(body: bytes) -> Heartbeat:
    """Return the heartbeat in a request's body; raise ``CodecError`` if it can't be decoded."""
    message = decode(_heartbeat_decoder, body)
    check_holders((message.holder,))
    sender = Peer(message.holder, message.failure_domain, message.strength, message.draining)
    return Heartbeat(sender, message.stamp, message.withdrawn)


def encode_heartbeat_reply(reply: HeartbeatReply) -> Response:
    """Return the response to a heartbeat."""
    return Response(200, _encoder.encode(reply))


def decode_heartbeat_reply(response: Response) -> HeartbeatReply:
    """Return the reply in a response; raise ``CodecError`` if it can't be decoded."""
    if not response.succeeded:
        raise CodecError(f"status {response.status}")
    reply = decode(_reply_decoder, response.body)
    check_holders(peer.holder for peer in (reply.sender, *reply.peers))
    check_holders(term.holder for term in reply.terms)
    return reply


def encode_terms(terms: Iterable[Term]) -> Request:
    """Return the request that reports terms to another host."""
    return Request("POST", TERMS_PATH, body=_encoder.encode(tuple(terms)))


def decode_terms(body: bytes) -> tuple[Term, ...]:
    """Return the terms in a request's body; raise ``CodecError`` if they can't be decoded."""
    terms = decode(_terms_decoder, body)
    check_holders(term.holder for term in terms)
    return terms


def encode_answer(answer: Answer) -> Response:
    """Return the response that carries an answer."""
    match answer:
        case Succeeded():
            message = _AnswerMessage("succeeded")
        case Failed(reason=reason):
            message = _AnswerMessage("failed", reason)
        case NotRun(reason=refusal, retry_after_s=retry_after_s):
            message = _AnswerMessage("not-run", refusal, retry_after_s)
        case TimedOut(reason=reason):
            message = _AnswerMessage("timed-out", reason)
        case Moved(earlier=earlier):
            message = _AnswerMessage("moved", earlier=earlier)
    return Response(200, _encoder.encode(message))


def decode_answer(response: Response) -> Answer:
    """Return the answer in a response; raise ``CodecError`` if it can't be decoded."""
    if not response.succeeded:
        raise CodecError(f"status {response.status}")
    message = decode(_answer_decoder, response.body)
    match message:
        case _AnswerMessage(kind="succeeded"):
            return Succeeded()
        case _AnswerMessage(kind="failed", reason=reason):
            return Failed(reason)
        case _AnswerMessage(kind="not-run", reason=reason, retry_after_s=retry_after_s):
            return NotRun(_parse_refusal(reason), retry_after_s)
        case _AnswerMessage(kind="timed-out", reason=reason):
            return TimedOut(reason)
        case _AnswerMessage(kind="moved", earlier=earlier):
            return Moved(earlier)
        case _:
            raise CodecError(f"answer of unknown kind {message.kind!r}")


def _parse_refusal(reason: str) -> RefusalReason:
    try:
        return RefusalReason(reason)
    except ValueError as error:
        raise CodecError(f"unknown reason of a refusal {reason!r}") from error


def decode(decoder: "msgspec.json.Decoder[T]", body: bytes) -> T:
    """Return a decoded message; raise ``CodecError`` if it can't be decoded."""
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise CodecError(str(error)) from error


def check_holders(holders: Iterable[Holder]) -> None:
    """Raise ``CodecError`` if the address of a holder isn't one."""
    try:
        for holder in holders:
            check_address(holder.address)
    except ValueError as error:
        raise CodecError(str(error)) from error
