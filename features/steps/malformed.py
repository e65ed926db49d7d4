"""Steps that feed damaged messages to each decoder of a host."""

import json
import struct
import tempfile
from collections.abc import Awaitable, Callable
from contextlib import suppress
from math import isfinite
from pathlib import Path
from typing import Any
from unittest import mock

import anyio
import anyio.lowlevel
import msgspec
from behave import then
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import strategies
from support.hypothesis_settings import deterministic_settings

from fireflybridge_adapter import _directory, _settings, _terms
from fireflybridge_adapter._callers import HttpFrontEnd
from fireflybridge_adapter._commands import HttpCommandConnection
from fireflybridge_adapter._configuration import LogConfigurationSource
from fireflybridge_adapter._store import LogClient, Record
from fireflybridge_entry import Configuration, Limits, Route, RouteTable
from fireflybridge_entry._codec import (
    CodecError,
    Heartbeat,
    HeartbeatReply,
    Peer,
    decode_answer,
    decode_heartbeat,
    decode_heartbeat_reply,
    decode_submission,
    decode_terms,
)
from fireflybridge_entry._question_codec import (
    Question,
    QuestionReply,
    decode_question,
    decode_question_reply,
)
from fireflybridge_execution import Hold, Start
from fireflybridge_http import Connection, ConnectionPool, ExchangeError, Request, Response
from fireflybridge_jobs import (
    Answer,
    Job,
    Resources,
    RoutePolicy,
    RunOutcome,
    RunReport,
    Succeeded,
    TaskId,
    UpstreamInfo,
    UpstreamState,
)
from fireflybridge_leadership import Holder, StoreError, Term

EXAMPLES = 400
READ_LIMIT_S = 2.0
JOB_ID = "5c0e7a21d94b36f8"
TASK = f"{JOB_ID}.0.0.1"
UPSTREAM = UpstreamInfo("u1", "desk", "10.0.0.1:80", "z1", UpstreamState.READY, Resources(1))
HOLDER = {"host": "h1", "incarnation": "i", "address": "10.0.0.1:7720"}
STEP: dict[str, Any] = {"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 50}
WIRE_JOB: dict[str, Any] = {
    "spec": "work",
    "best_effort": True,
    "steps": [STEP, {**STEP, "after": [0], "data_rack": "r1"}],
}
PEER_JOB = {
    "id": JOB_ID,
    "spec": "work",
    "steps": [{"count": 1, "needs": {"cpu_millicores": 1}, "estimate_ms": 50}],
    "policy": {
        "route": "r",
        "pool": "p",
        "priority": 0,
        "max_attempts": 1,
        "timeout_ms": 100,
        "target_latency_ms": 10,
        "stretch": 1,
    },
    "wait_ms": 100,
}
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "x",
            "path_prefix": "/",
            "timeout_ms": 100,
            "service": "p",
            "stretch": 1.5,
        }
    ],
    "limits": {"max_body_bytes": 1000},
}
ENTRY = {
    "service": "desk",
    "addr": "10.0.0.1:80",
    "zone": "z1",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 64},
    "labels": ["r1"],
    "born": 17,
}
SETTINGS = {
    "node_name": "h1",
    "ip": "10.0.0.1",
    "zone": "z1",
    "zones.z1": "region",
    "listen.front": "10.0.0.1:1",
    "listen.ready": "10.0.0.1:2",
    "port_range": "7720,7735",
    "limits.cpu_share": "0.5",
    "bounds.grace_s": "6",
    "platform.addr": "10.0.0.9:1",
}

JsonPath = tuple[str | int, ...]
# Values that no JSON encoder writes; a text of this form stands for each until it is encoded.
RAW_VALUES = {
    "raw-deep": b"[" * 100_000 + b"]" * 100_000,
    "raw-deep-objects": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "raw-5000-digits": b"9" * 5000,
    "raw-400-digits": b"9" * 400,
    "raw-1e400": b"1e400",
    "raw-nan": b"NaN",
    "raw-surrogate": b'"\\ud800"',
    "raw-bytes": b'"\xff\xfe"',
    "raw-port": b'"10.0.0.1:' + b"9" * 5000 + b'"',
}
_junk = strategies.one_of(
    strategies.sampled_from(tuple(RAW_VALUES)),
    strategies.sampled_from(
        (-(2**63), 2**63, 2**64, "1e999", "nan", "9" * 5000, "9" * 400, "10.0.0.1:99999", "a:b")
    ),
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(2**70), 2**70),
    strategies.sampled_from((-1, 0, 1.5, 1e308, "", "x", "a.b.c", "1", [], {}, [[]], [None])),
    strategies.text(max_size=5),
)


class RecordingSubmitter:
    """A submitter that records each job and answers it without running it."""

    def __init__(self) -> None:
        self.jobs: list[Job] = []

    async def submit(self, job: Job, sent_after_s: float, on_sent: object) -> Answer:
        """Keep the job and answer it."""
        self.jobs.append(job)
        return Succeeded()


def list_places(value: Any, path: JsonPath = ()) -> list[JsonPath]:
    """Return the paths of all values within a JSON value."""
    children = value.items() if isinstance(value, dict) else enumerate(value)
    nested = (
        place
        for key, child in children
        for place in (
            [(*path, key), *list_places(child, (*path, key))]
            if isinstance(child, dict | list)
            else [(*path, key)]
        )
    )
    return list(nested)


def damage(value: Any, path: JsonPath, junk: Any, remove: bool) -> Any:
    """Return a copy of a JSON value with one part replaced or removed."""
    copy = json.loads(json.dumps(value))
    target = copy
    for key in path[:-1]:
        target = target[key]
    if remove:
        del target[path[-1]]
    else:
        target[path[-1]] = junk
    return copy


def encode(value: Any) -> bytes:
    """Return the JSON encoding of a value, with raw values in their places."""
    encoded = json.dumps(value).encode()
    for name, raw in RAW_VALUES.items():
        encoded = encoded.replace(b'"%s"' % name.encode(), raw)
    return encoded


def check_encodable(value: object) -> None:
    """Check that what was decoded can go into log lines and messages to other hosts."""
    msgspec.json.encode(value)


def damaged_json(example: Any) -> strategies.SearchStrategy[bytes]:
    """Return encoded copies of a message with a damaged value or damaged bytes."""
    encoded = json.dumps(example).encode()
    structured = strategies.builds(
        lambda path, junk, remove: encode(damage(example, path, junk, remove)),
        strategies.sampled_from(list_places(example)),
        _junk,
        strategies.booleans(),
    )
    cut = strategies.builds(
        lambda at, noise: encoded[:at] + noise + encoded[at + len(noise) :],
        strategies.integers(0, len(encoded)),
        strategies.binary(max_size=4),
    )
    return strategies.one_of(structured, cut, strategies.binary(max_size=40))


def make_front_end(submitter: RecordingSubmitter) -> HttpFrontEnd:
    policy = RoutePolicy("r", "p", 0, 1, 100, 10, 1)
    routes = RouteTable()
    routes.put(Configuration(1, (Route("x", "/orders/", policy),), Limits()))
    return HttpFrontEnd(routes, submitter, lambda *_: None)  # type: ignore[arg-type]


async def submit(
    body: bytes, job_id: str = JOB_ID, deadline: str = "100"
) -> tuple[Response, list[Job]]:
    submitter = RecordingSubmitter()
    headers = (("host", "x"), ("x-deadline-ms", deadline))
    request = Request("POST", f"/orders/{job_id}", headers, body)
    return await make_front_end(submitter).handle(request), submitter.jobs


async def check_job(body: bytes) -> None:
    response, jobs = await submit(body)
    assert response.status in (200, 400, 503), response
    for job in jobs:
        assert all(step.count > 0 for step in job.steps), job
        assert all(0 <= i < n for n, step in enumerate(job.steps) for i in step.after), job
        check_encodable(job)


async def check_deadline(text: bytes) -> None:
    _, jobs = await submit(json.dumps(WIRE_JOB).encode(), deadline=text.decode("latin-1"))
    assert all(0 <= job.wait_ms < float("inf") for job in jobs), jobs


async def check_job_id(text: bytes) -> None:
    body = json.dumps(WIRE_JOB).encode()
    response, jobs = await submit(body, job_id=text.decode("latin-1"))
    assert response.status in (200, 400, 404, 405), response
    assert all(len(job.id) == 16 and job.id.isalnum() for job in jobs), jobs


async def check_report(body: bytes) -> None:
    connection = HttpCommandConnection(UPSTREAM)
    connection._connection.exchange = respond(body)  # type: ignore[method-assign]
    try:
        report = await connection.hold(Hold(1, 0, 0, None), 1.0)
    except ExchangeError:
        return
    assert isinstance(report, RunReport), report
    check_encodable(report)
    assert isfinite(report.clock_ms), report
    assert all(isfinite(run.percent) for run in report.running), report


async def check_start(body: bytes) -> None:
    connection = HttpCommandConnection(UPSTREAM)
    for status in (200, 409, 503, 421, 400):
        connection._connection.exchange = respond(body, status)  # type: ignore[method-assign]
        try:
            await connection.start(Start(TaskId(JOB_ID, 0, 0, 0), 1, "work", 1, 1), 1.0)
        except ExchangeError:
            continue


def respond(body: bytes, status: int = 200) -> Callable[..., Awaitable[Response]]:
    async def exchange(*_: object, **_options: object) -> Response:
        await anyio.lowlevel.checkpoint()
        return Response(status, body)

    return exchange


async def check_store_call(body: bytes, call: Callable[[LogClient], Awaitable[object]]) -> None:
    with mock.patch.object(ConnectionPool, "exchange", respond(body)):
        try:
            with anyio.fail_after(READ_LIMIT_S):
                result = await call(LogClient("10.0.0.1:1"))
        except StoreError:
            return
    check_encodable(result)


async def check_entry(value: bytes) -> None:
    upstream = _directory._translate(Record("u1", value, 0))
    assert upstream is None or isinstance(upstream, UpstreamInfo)
    check_encodable(upstream)


async def check_term(value: bytes) -> None:
    term = _terms._translate_record(Record("z1", value, 4))
    check_encodable(term)
    if term is not None:
        Connection(term.holder.address)


async def check_configuration(value: bytes) -> None:
    key = b"config"
    content = bytes([len(key)]) + key + value
    records = struct.pack(">QQI", 1, 0, len(content)) + content
    await check_store_call(records, lambda log: LogConfigurationSource(log).wait_for_change())


async def check_page(body: bytes) -> None:
    await check_store_call(body, lambda log: log.read_newest("keyed.op"))


async def check_records(body: bytes) -> None:
    await check_store_call(body, lambda log: log.read_since("keyed.op", 0, 0))


async def check_settings_file(text: bytes) -> None:
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory, "local.conf")
        path.write_bytes(text)
        try:
            _settings.read_settings(path, {})
        except (OSError, KeyError, ValueError):
            return


def check_codec(decode: Callable[[Any], object]) -> Callable[[Any], Awaitable[None]]:
    async def check(body: Any) -> None:
        try:
            message = decode(body)
        except CodecError:
            return
        check_encodable(message)
        for holder in list_holders(message):
            Connection(holder.address)

    return check


def list_holders(message: object) -> list[Holder]:
    """Return the holders named by a message of another host, to whose addresses this one connects."""
    match message:
        case Heartbeat(sender=Peer(holder=holder)):
            return [holder]
        case HeartbeatReply(sender=sender, terms=terms, peers=peers):
            return [term.holder for term in terms] + [peer.holder for peer in (sender, *peers)]
        case Question(asker=asker, terms=terms):
            return [asker, *(term.holder for term in terms)]
        case QuestionReply(terms=terms, report=report):
            return [report.leader, *(term.holder for term in terms)]
        case (Term(), *_):
            return [term.holder for term in message]
        case _:
            return []


async def check_response_codec(body: bytes, decode: Callable[[Response], object]) -> None:
    await check_codec(decode)(Response(200, body))


async def check_answer(body: bytes) -> None:
    await check_response_codec(body, decode_answer)


async def check_question_reply(body: bytes) -> None:
    await check_response_codec(body, decode_question_reply)


async def check_heartbeat_reply(body: bytes) -> None:
    await check_response_codec(body, decode_heartbeat_reply)


_term = {"domain": "z1", "holder": HOLDER, "fence": 2**30}
_peer = {"holder": HOLDER, "failure_domain": "z1", "strength": 1.0}
_stamp = {"incarnation": "i", "time_s": 1.5}
_heartbeat = {**_peer, "stamp": _stamp, "withdrawn": [1, 2]}
_settings_text = "\n".join(f"{name}={value}" for name, value in SETTINGS.items()).encode()
_damaged_settings = strategies.builds(
    lambda at, noise: _settings_text[:at] + noise + _settings_text[at + len(noise) :],
    strategies.integers(0, len(_settings_text)),
    strategies.binary(max_size=6),
)
_header_texts = strategies.sampled_from((b"nan", b"inf", b"-1", b"1e999", b"", b"1_0", b"0x1"))
_page = {"items": [{"key": "u1", "offset": 3, "value": "e30="}], "has_more": False, "end": 4}
_reply = {
    "sender": _peer,
    "terms": [{"domain": "z1", "holder": HOLDER, "fence": 1000}],
    "peers": [_peer],
    "stamp": _stamp,
}
_question = {
    "asker": HOLDER,
    "terms": [_term],
    "known": {"z1": 1},
    "jobs": [{"job": JOB_ID, "begun": True}],
}
_question_reply = {
    "leader": HOLDER,
    "terms": [_term],
    "fences": {"z1": 2**30},
    "listed": ["z1"],
    "holdings": {JOB_ID: {"kind": "failed", "reason": "a task failed"}},
}
_report = {
    "clock_ms": 482113,
    "born": 17,
    "running": [[TASK, 2, "", 41]],
    "ended": [[58, TASK, 1, "done", ""]],
}
_submission = {
    "sender": "h1",
    "job": PEER_JOB,
    "age_ms": 1,
    "number": 3,
    "stamp": _stamp,
    "earlier": {
        "upstreams": ["u"],
        "domains": [],
        "done": [{"job": JOB_ID, "occurrence": 0, "step": 0, "index": 0}],
    },
}

DECODERS: dict[str, tuple[strategies.SearchStrategy[bytes], Callable[[bytes], Awaitable[None]]]] = {
    "job": (damaged_json(WIRE_JOB), check_job),
    "deadline header": (
        strategies.one_of(strategies.binary(max_size=6), _header_texts),
        check_deadline,
    ),
    "job id": (strategies.binary(max_size=20), check_job_id),
    "report of an upstream": (damaged_json(_report), check_report),
    "reply to a start": (damaged_json({"clock_ms": 4, "reason": "fence"}), check_start),
    "directory entry": (damaged_json(ENTRY), check_entry),
    "term": (damaged_json(HOLDER), check_term),
    "configuration": (damaged_json(CONFIGURATION), check_configuration),
    "page of the store": (damaged_json(_page), check_page),
    "records of the store": (strategies.binary(max_size=60), check_records),
    "heartbeat": (damaged_json(_heartbeat), check_codec(decode_heartbeat)),
    "terms of another host": (damaged_json([_term]), check_codec(decode_terms)),
    "heartbeat reply": (damaged_json(_reply), check_heartbeat_reply),
    "question of a leader": (damaged_json(_question), check_codec(decode_question)),
    "reply to a question": (damaged_json(_question_reply), check_question_reply),
    "submission": (damaged_json(_submission), check_codec(decode_submission)),
    "answer": (damaged_json({"kind": "not-run", "reason": "no-room"}), check_answer),
    "settings": (_damaged_settings, check_settings_file),
}


@then('arbitrarily damaged examples of "{name}" are decoded or refused as declared')
def check_damaged(context: Context, name: str) -> None:
    strategy, check_one = DECODERS[name]

    @deterministic_settings(EXAMPLES)
    @for_all(strategy)
    def check(message: bytes) -> None:
        anyio.run(check_one, message)

    check()


def nest(depth: int) -> bytes:
    return b'{"spec":' + b"[" * depth + b"]" * depth + b"}"


FAULTY_JOBS: dict[str, tuple[dict[str, Any] | bytes, str]] = {
    "a billion tasks": ({**WIRE_JOB, "steps": [{**STEP, "count": 10**9}]}, JOB_ID),
    "no steps": ({**WIRE_JOB, "steps": []}, JOB_ID),
    "a step of no tasks": ({**WIRE_JOB, "steps": [{**STEP, "count": 0}]}, JOB_ID),
    "a negative need": ({**WIRE_JOB, "steps": [{**STEP, "cpu": -1}]}, JOB_ID),
    "a step after itself": ({**WIRE_JOB, "steps": [{**STEP, "after": [0]}]}, JOB_ID),
    "a step after a missing one": ({**WIRE_JOB, "steps": [STEP, {**STEP, "after": [7]}]}, JOB_ID),
    "a step after number -1": ({**WIRE_JOB, "steps": [STEP, {**STEP, "after": [-1]}]}, JOB_ID),
    "deep nesting": (nest(100_000), JOB_ID),
    "an id with a dot": (WIRE_JOB, "5c0e7a21.94b36f8"),
    "an id that is too short": (WIRE_JOB, "5c0e"),
}


@then('a job with "{fault}" is answered 400 without being submitted')
def check_faulty_job(context: Context, fault: str) -> None:
    content, job_id = FAULTY_JOBS[fault]
    body = content if isinstance(content, bytes) else json.dumps(content).encode()
    response, jobs = anyio.run(submit, body, job_id)
    assert response.status == 400, response
    assert not jobs


@then("a report with an unknown outcome is read as a failed run")
def check_unknown_outcome(context: Context) -> None:
    async def hold() -> None:
        connection = HttpCommandConnection(UPSTREAM)
        body = json.dumps({**_report, "ended": [[1, TASK, 1, "surprised", ""]]}).encode()
        connection._connection.exchange = respond(body)  # type: ignore[method-assign]
        report = await connection.hold(Hold(1, 0, 0, None), 1.0)
        assert report.ended[0].outcome is RunOutcome.FAILED, report  # type: ignore[union-attr]

    anyio.run(hold)


@then('a report with a percentage of "{text}" is refused as malformed')
def check_percentage(context: Context, text: str) -> None:
    async def hold() -> None:
        connection = HttpCommandConnection(UPSTREAM)
        body = json.dumps({**_report, "running": [[TASK, 2, "", text]]}).encode()
        connection._connection.exchange = respond(body)  # type: ignore[method-assign]
        report = await connection.hold(Hold(1, 0, 0, None), 1.0)
        raise AssertionError(f"the report was decoded: {report}")

    with suppress(ExchangeError):
        anyio.run(hold)


@then("an answer of a peer with an unknown reason is refused as malformed")
def check_unknown_reason(context: Context) -> None:
    try:
        decode_answer(Response(200, b'{"kind":"not-run","reason":"no-mood"}'))
    except CodecError:
        return
    raise AssertionError("the answer was decoded")
