"""Encoding of the questions of leaders about jobs, and of the replies."""

from dataclasses import dataclass, field

import msgspec

from fireflybridge_clearances import (
    Answered,
    Held,
    Holding,
    JobQuestion,
    LeaderReport,
    LedgerPart,
    MayRun,
    NotHeld,
)
from fireflybridge_entry._codec import CodecError, check_holders, decode
from fireflybridge_http import Request, Response
from fireflybridge_jobs import Failed, Succeeded
from fireflybridge_leadership import Holder, Term

QUESTION_PATH = "/peer/questions"
MAX_QUESTIONS = 1000  # of one message


@dataclass(frozen=True, slots=True)
class Question:
    """Ask another leader about jobs, and for those that it has taken.

    ``terms`` are those of the asking leader, ``known`` the fencing tokens of the newest terms that
    it knows, by failure domain. ``taken_since`` is the number of the last job that it was told of.
    """

    asker: Holder
    terms: tuple[Term, ...]
    known: dict[str, int]
    jobs: tuple[JobQuestion, ...]
    taken_since: int = 0


@dataclass(frozen=True, slots=True)
class QuestionReply:
    """Hold what a leader says of jobs, and the terms that the asking one doesn't know."""

    terms: tuple[Term, ...]
    report: LeaderReport


@dataclass(frozen=True, slots=True)
class _HoldingMessage:
    kind: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class _ReplyMessage:
    leader: Holder
    terms: tuple[Term, ...]
    fences: dict[str, int]
    listed: frozenset[str]
    holdings: dict[str, _HoldingMessage]
    taken: dict[str, float] = field(default_factory=dict)
    last_taken: int = 0
    is_last: bool = True
    knows_runs: bool = False
    """Leaders of earlier releases tell no jobs, so that they are asked about each."""


_question_decoder = msgspec.json.Decoder(Question)
_reply_decoder = msgspec.json.Decoder(_ReplyMessage)
_encoder = msgspec.json.Encoder()


def encode_question(question: Question) -> Request:
    """Return the request that asks another leader about jobs."""
    return Request("POST", QUESTION_PATH, body=_encoder.encode(question))


def decode_question(body: bytes) -> Question:
    """Return the question in a request's body; raise ``CodecError`` if it can't be decoded."""
    question = decode(_question_decoder, body)
    if len(question.jobs) > MAX_QUESTIONS:
        raise CodecError(f"{len(question.jobs)} questions in one message")
    check_holders((question.asker, *(term.holder for term in question.terms)))
    return question


def encode_question_reply(reply: QuestionReply) -> Response:
    """Return the response to a question."""
    report = reply.report
    holdings = {job: _encode_holding(holding) for job, holding in report.holdings.items()}
    message = _ReplyMessage(
        report.leader,
        reply.terms,
        dict(report.fences),
        report.listed,
        holdings,
        {job: round(keep_s, 1) for job, keep_s in report.taken.jobs.items()},
        report.taken.last_number,
        report.taken.is_last,
        report.knows_runs,
    )
    return Response(200, _encoder.encode(message))


def decode_question_reply(response: Response) -> QuestionReply:
    """Return the reply in a response; raise ``CodecError`` if it can't be decoded."""
    if not response.succeeded:
        raise CodecError(f"status {response.status}")
    message = decode(_reply_decoder, response.body)
    check_holders((message.leader, *(term.holder for term in message.terms)))
    holdings = {job: _decode_holding(holding) for job, holding in message.holdings.items()}
    if not message.listed <= message.fences.keys():
        raise CodecError("a failure domain without a fencing token")
    taken = LedgerPart(message.taken, message.last_taken, message.is_last)
    report = LeaderReport(
        message.leader, message.fences, message.listed, holdings, taken, message.knows_runs
    )
    return QuestionReply(message.terms, report)


def _encode_holding(holding: Holding) -> _HoldingMessage:
    match holding:
        case NotHeld():
            return _HoldingMessage("not-held")
        case MayRun():
            return _HoldingMessage("may-run")
        case Held():
            return _HoldingMessage("held")
        case Answered(answer=answer):
            return _encode_result(answer)


def _encode_result(answer: Succeeded | Failed) -> _HoldingMessage:
    match answer:
        case Succeeded():
            return _HoldingMessage("succeeded")
        case Failed(reason=reason):
            return _HoldingMessage("failed", reason)


def _decode_holding(message: _HoldingMessage) -> Holding:
    match message:
        case _HoldingMessage(kind="not-held"):
            return NotHeld()
        case _HoldingMessage(kind="may-run"):
            return MayRun()
        case _HoldingMessage(kind="held"):
            return Held()
        case _HoldingMessage(kind="succeeded"):
            return Answered(Succeeded())
        case _HoldingMessage(kind="failed", reason=reason):
            return Answered(Failed(reason))
        case _:
            raise CodecError(f"unknown holding {message.kind!r}")
