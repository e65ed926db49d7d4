"""A persistent HTTP/1.1 connection to an upstream, used for one request at a time."""

import select
import time
from dataclasses import dataclass
from functools import lru_cache

import anyio
import h11
from anyio.abc import SocketStream

from fireflybridge_core import Cause, Done, MayHaveRun, NotRun, Outcome, Task, parse_address
from fireflybridge_http import open_stream
from fireflybridge_upstream._requests import BODILESS_REQUEST, encode_request

CONNECT_TIMEOUT_S = 1.0
RECEIVE_BYTES = 65536
MAX_RESPONSE_BYTES = 1024 * 1024
CACHED_CONTENT_TYPES = 256
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVICE_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class Response:
    """Hold a complete response; ``retry_after`` states whether it has a Retry-After header."""

    status: int
    content_type: str
    retry_after: bool
    body: bytes


class ResponseTooLargeError(Exception):
    """Signal that a response body exceeds ``MAX_RESPONSE_BYTES``."""


class UpstreamConnection:
    """Send tasks to one upstream address, one at a time, over a persistent connection.

    The connection is opened on first use and replaced whenever its state is uncertain, so that a
    late answer to an abandoned request is never taken for the answer to another one. With
    ``guards``, a 429 or a 503 with Retry-After means that the upstream did not run the task.
    """

    def __init__(self, name: str, address: str, *, guards: bool) -> None:
        self._name = name
        self._address = parse_address(address)
        self._authority = address.encode()
        self._guards = guards
        self._stream: SocketStream | None = None
        self._poller = select.poll()
        self._http = h11.Connection(our_role=h11.CLIENT)

    async def exchange(self, task: Task) -> Outcome:
        """Send a task and return its outcome within the task's timeout in seconds."""
        limit_s = min(task.timeout_s, task.deadline - time.monotonic())
        if limit_s <= 0:
            return NotRun(Cause.DEADLINE_PASSED, self._name)
        connected = await self._connect(min(limit_s, CONNECT_TIMEOUT_S))
        if connected is None:
            return NotRun(Cause.CONNECT_FAILED, self._name)
        # The limit is outdated if connecting took long or the process was paused meanwhile.
        limit_s = min(task.timeout_s, task.deadline - time.monotonic())
        if limit_s <= 0:
            return NotRun(Cause.DEADLINE_PASSED, self._name)
        try:
            request = self._encode(task, limit_s)
        except h11.LocalProtocolError:
            # A value that is not allowed in a header can't be sent to any upstream.
            return NotRun(Cause.ATTEMPTS_EXHAUSTED, self._name)
        return await self._exchange_over(connected, request, limit_s)

    async def _exchange_over(self, stream: SocketStream, request: bytes, limit_s: float) -> Outcome:
        started = time.monotonic()
        finished = False
        try:
            with anyio.move_on_after(limit_s):
                await stream.send(request)
                response = await self._receive(stream)
                finished = True
                return self._classify_response(response, time.monotonic() - started)
            return MayHaveRun(Cause.TIMED_OUT, self._name)
        except (anyio.BrokenResourceError, anyio.EndOfStream, OSError):
            return MayHaveRun(Cause.CONNECTION_BROKEN, self._name)
        except (h11.RemoteProtocolError, ResponseTooLargeError):
            return MayHaveRun(Cause.CONNECTION_BROKEN, self._name)
        finally:
            if not finished or not self._start_next_cycle():
                await self.close()

    async def close(self) -> None:
        """Close the connection immediately; the next task opens a new one."""
        stream, self._stream = self._stream, None
        if stream is not None:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _connect(self, limit_s: float) -> SocketStream | None:
        if self._stream is not None:
            if not self._poller.poll(0):
                return self._stream
            # Readable without a pending request: the upstream has sent stray bytes or closed.
            await self.close()
        try:
            opened = await open_stream(self._address.ip, self._address.port, limit_s)
        except (OSError, TimeoutError):
            return None
        self._stream = opened.stream
        # Looking up the descriptor takes 30 us, so it is done once for each connection.
        self._poller = select.poll()
        self._poller.register(opened.raw, select.POLLIN)
        self._http = h11.Connection(our_role=h11.CLIENT)
        return opened.stream

    def _encode(self, task: Task, limit_s: float) -> bytes:
        request = encode_request(self._authority, task, limit_s)
        # h11 only tracks the state of the exchange here; the bytes that it returns are not sent.
        for event in BODILESS_REQUEST:
            self._http.send(event)
        return request

    async def _receive(self, stream: SocketStream) -> Response:
        head: h11.Response | None = None
        chunks: list[bytes] = []
        size = 0
        # No bytes are left over between requests, so there is nothing to parse before this.
        self._http.receive_data(await _receive_some(stream))
        while True:
            match self._http.next_event():
                case h11.NEED_DATA:
                    self._http.receive_data(await _receive_some(stream))
                case h11.Response() as head:
                    pass
                case h11.Data(data=data):
                    chunks.append(bytes(data))
                    size += len(data)
                    if size > MAX_RESPONSE_BYTES:
                        raise ResponseTooLargeError
                case h11.EndOfMessage() if head is not None:
                    return _make_response(head, b"".join(chunks))
                case h11.InformationalResponse():
                    pass
                case _:
                    raise anyio.EndOfStream

    def _classify_response(self, response: Response, run_s: float) -> Outcome:
        refused = response.status == HTTP_TOO_MANY_REQUESTS or (
            response.status == HTTP_SERVICE_UNAVAILABLE and response.retry_after
        )
        if refused and self._guards:
            return NotRun(Cause.GUARD_REFUSED, self._name)
        return Done(response.status, response.content_type, response.body, self._name, run_s)

    def _start_next_cycle(self) -> bool:
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return not self._http.trailing_data[0]


def _make_response(head: h11.Response, body: bytes) -> Response:
    headers = {name.lower(): value for name, value in head.headers.raw_items()}
    content_type = headers.get(b"content-type", b"application/octet-stream")
    return Response(
        head.status_code, _decode_content_type(content_type), b"retry-after" in headers, body
    )


@lru_cache(CACHED_CONTENT_TYPES)
def _decode_content_type(value: bytes) -> str:
    """Return one shared string for equal values, since answers are kept for minutes."""
    return value.decode("latin-1")


async def _receive_some(stream: SocketStream) -> bytes:
    try:
        return await stream.receive(RECEIVE_BYTES)
    except anyio.EndOfStream:
        return b""
