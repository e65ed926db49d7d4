"""Platform's protocol under ``/v1``."""

import re
import zlib
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

import anyio
import msgspec

from fireflybridge_standins.platform._faults import (
    Fault,
    FaultInjector,
    Hang,
    LoseAnswers,
    NoFault,
    Operation,
    Refuse,
    Slow,
)
from fireflybridge_standins.platform._log import AppendRateLimiter, LogStore
from fireflybridge_standins.platform._messages import HostsBody, encode_page

MAX_RECORD_BYTES = 1 << 20
MAX_READ_RECORDS = 10_000
MAX_WAIT_S = 60.0
VIEW_PATH = re.compile(r"/view/([A-Za-z0-9_.-]{1,100})(/.*)")
RECORDS_PATH = re.compile(r"/v1/streams/([A-Za-z0-9_.-]{1,100})/records")


@dataclass(frozen=True, slots=True)
class Response:
    """HTTP response with a JSON body."""

    status: int
    body: bytes
    etag: str = ""


@dataclass(frozen=True, slots=True)
class ConnectionAbort:
    """Instruction to close the connection without a response."""


Outcome = Response | ConnectionAbort


@dataclass(frozen=True, slots=True)
class Request:
    """HTTP request; ``view`` is the name in the prefix ``/view/NAME`` of its path, if any."""

    method: str
    path: str
    query: str
    body: bytes
    view: str = ""
    known_etag: str = ""


@dataclass(slots=True)
class Platform:
    """State of the stand-in.

    A client whose base URL ends in ``/view/NAME`` reads the host list of that name in ``views``,
    or ``hosts`` if there is none. Tests use it to give each daemon different addresses of its
    peers.
    """

    log: LogStore
    append_limiter: AppendRateLimiter
    append_latency_s: float
    faults: FaultInjector
    hosts: HostsBody = field(default_factory=HostsBody)
    views: dict[str, HostsBody] = field(default_factory=dict)
    host_reads: int = 0


def make_request(method: str, path: str, query: str, body: bytes, known_etag: str) -> Request:
    """Return the request, with a ``/view/NAME`` prefix moved from its path to ``view``."""
    view_match = VIEW_PATH.fullmatch(path)
    if view_match is None:
        return Request(method, path, query, body, known_etag=known_etag)
    return Request(method, view_match[2], query, body, view_match[1], known_etag)


def make_error_response(status: int, detail: str) -> Response:
    """Return the error response to a request that had no effect."""
    return Response(status, msgspec.json.encode({"error": detail, "appended": False}))


async def handle_request(platform: Platform, request: Request) -> Outcome:
    """Serve one request of the protocol, subject to the current fault."""
    records_match = RECORDS_PATH.fullmatch(request.path)
    stream = records_match[1] if records_match else ""
    match request.method, request.path, stream:
        case "GET", "/v1/hosts", _:
            operation = Operation.HOSTS
        case "POST", _, _ if stream:
            operation = Operation.APPEND
        case "GET", _, _ if stream:
            operation = Operation.READ
        case _:
            return make_error_response(404, "no such resource")
    fault = platform.faults.take_fault(operation)
    match fault:
        case Refuse():
            return make_error_response(503, "refused by the fault mode")
        case Hang():
            await platform.faults.wait_for_change()
        case Slow(latency_s):
            await anyio.sleep(latency_s)
        case NoFault() | LoseAnswers():
            pass
    response = await _perform(platform, operation, stream, request)
    return _lose_response(fault, response)


def _lose_response(fault: Fault, response: Response) -> Outcome:
    return ConnectionAbort() if isinstance(fault, LoseAnswers) else response


async def _perform(
    platform: Platform, operation: Operation, stream: str, request: Request
) -> Response:
    match operation:
        case Operation.APPEND:
            return await _append(platform, stream, request.body)
        case Operation.READ:
            return await _read(platform, stream, request.query)
        case Operation.HOSTS:
            platform.host_reads += 1
            hosts = platform.views.get(request.view, platform.hosts)
            return _make_hosts_response(hosts, request.known_etag)


def _make_hosts_response(hosts: HostsBody, known_etag: str) -> Response:
    """Return the host list, or 304 if the client already has it (RFC 9110, section 13.1.2)."""
    body = msgspec.json.encode(hosts)
    etag = f'"{zlib.crc32(body):08x}"'
    return Response(304, b"", etag) if etag == known_etag else Response(200, body, etag)


async def _append(platform: Platform, stream: str, payload: bytes) -> Response:
    if len(payload) > MAX_RECORD_BYTES:
        return make_error_response(413, f"a record holds at most {MAX_RECORD_BYTES} bytes")
    await platform.append_limiter.wait()
    await anyio.sleep(platform.append_latency_s)
    offset = platform.log.append(stream, payload)
    return Response(201, msgspec.json.encode({"offset": offset}))


async def _read(platform: Platform, stream: str, query: str) -> Response:
    try:
        values = {name: int(value) for name, value in parse_qsl(query)}
    except ValueError:
        return make_error_response(400, "start, limit and wait_ms are whole numbers")
    start, limit = values.get("start", 0), values.get("limit", 1000)
    wait_s = values.get("wait_ms", 0) / 1000
    if start < 0 or not 0 < limit <= MAX_READ_RECORDS or not 0 <= wait_s <= MAX_WAIT_S:
        return make_error_response(400, "start, limit or wait_ms is out of range")
    return Response(200, encode_page(await platform.log.read(stream, start, limit, wait_s)))
