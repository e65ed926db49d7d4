"""Serve the platform's protocol under ``/v1``."""

import re
import zlib
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

import anyio
import msgspec

from fireflybridge_standins.platform._faults import (
    Fault,
    FaultSwitch,
    Hang,
    LoseAnswers,
    NoFault,
    Operation,
    Refuse,
    Slow,
)
from fireflybridge_standins.platform._log import AppendPace, LogStore
from fireflybridge_standins.platform._messages import HostsBody, encode_page

MAX_RECORD_BYTES = 1 << 20
MAX_READ_RECORDS = 10_000
MAX_WAIT_S = 60.0
VIEW_PATH = re.compile(r"/view/([A-Za-z0-9_.-]{1,100})(/.*)")
RECORDS_PATH = re.compile(r"/v1/streams/([A-Za-z0-9_.-]{1,100})/records")


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold an HTTP status and a JSON body."""

    status: int
    body: bytes
    etag: str = ""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """Close the connection without an answer."""


Reply = Answer | NoAnswer


@dataclass(frozen=True, slots=True)
class Request:
    """Hold one HTTP request."""

    method: str
    path: str
    query: str
    body: bytes
    viewer: str = ""
    known_etag: str = ""


@dataclass(slots=True)
class Platform:
    """Own the state of the stand-in.

    A client whose base URL ends in ``/view/NAME`` reads the host list in ``views``, if it has one
    of its own. Tests give each daemon other addresses of its peers that way.
    """

    log: LogStore
    pace: AppendPace
    latency_s: float
    faults: FaultSwitch
    hosts: HostsBody = field(default_factory=HostsBody)
    views: dict[str, HostsBody] = field(default_factory=dict)
    host_reads: int = 0


def make_request(method: str, path: str, query: str, body: bytes, known_etag: str) -> Request:
    """Return the request with the name of its viewer taken out of the path."""
    viewed = VIEW_PATH.fullmatch(path)
    if viewed is None:
        return Request(method, path, query, body, known_etag=known_etag)
    return Request(method, viewed[2], query, body, viewed[1], known_etag)


def make_problem(status: int, detail: str) -> Answer:
    """Return an error answer for a request that had no effect."""
    return Answer(status, msgspec.json.encode({"error": detail, "appended": False}))


async def handle_request(platform: Platform, request: Request) -> Reply:
    """Serve one request of the protocol under the fault in force."""
    found = RECORDS_PATH.fullmatch(request.path)
    stream = found[1] if found else ""
    match request.method, request.path, stream:
        case "GET", "/v1/hosts", _:
            operation = Operation.HOSTS
        case "POST", _, _ if stream:
            operation = Operation.APPEND
        case "GET", _, _ if stream:
            operation = Operation.READ
        case _:
            return make_problem(404, "no such resource")
    fault = platform.faults.take_fault(operation)
    match fault:
        case Refuse():
            return make_problem(503, "refused by the fault mode")
        case Hang():
            await platform.faults.wait_change()
        case Slow(latency_s):
            await anyio.sleep(latency_s)
        case NoFault() | LoseAnswers():
            pass
    reply = await _perform(platform, operation, stream, request)
    return _lose_answer(fault, reply)


def _lose_answer(fault: Fault, reply: Answer) -> Reply:
    return NoAnswer() if isinstance(fault, LoseAnswers) else reply


async def _perform(
    platform: Platform, operation: Operation, stream: str, request: Request
) -> Answer:
    match operation:
        case Operation.APPEND:
            return await _append(platform, stream, request.body)
        case Operation.READ:
            return await _read(platform, stream, request.query)
        case Operation.HOSTS:
            platform.host_reads += 1
            hosts = platform.views.get(request.viewer, platform.hosts)
            return _answer_hosts(hosts, request.known_etag)


def _answer_hosts(hosts: HostsBody, known_etag: str) -> Answer:
    """Answer 304 to a client that has the list already (RFC 9110, section 13.1.2)."""
    body = msgspec.json.encode(hosts)
    etag = f'"{zlib.crc32(body):08x}"'
    return Answer(304, b"", etag) if etag == known_etag else Answer(200, body, etag)


async def _append(platform: Platform, stream: str, payload: bytes) -> Answer:
    if len(payload) > MAX_RECORD_BYTES:
        return make_problem(413, f"a record holds at most {MAX_RECORD_BYTES} bytes")
    await platform.pace.wait()
    await anyio.sleep(platform.latency_s)
    offset = platform.log.append(stream, payload)
    return Answer(201, msgspec.json.encode({"offset": offset}))


async def _read(platform: Platform, stream: str, query: str) -> Answer:
    try:
        values = {name: int(value) for name, value in parse_qsl(query)}
    except ValueError:
        return make_problem(400, "start, limit and wait_ms are whole numbers")
    start, limit = values.get("start", 0), values.get("limit", 1000)
    wait_s = values.get("wait_ms", 0) / 1000
    if start < 0 or not 0 < limit <= MAX_READ_RECORDS or not 0 <= wait_s <= MAX_WAIT_S:
        return make_problem(400, "start, limit or wait_ms is out of range")
    return Answer(200, encode_page(await platform.log.read(stream, start, limit, wait_s)))
