"""One connection of a client to a server."""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import anyio
from anyio.abc import SocketStream

from fireflybridge_http._encoding import CONTINUE, encode_response
from fireflybridge_http._messages import Request, Response
from fireflybridge_http._parsing import ParseError, RequestParser
from fireflybridge_http._streams import receive_some

Handler = Callable[[Request], Awaitable[Response]]
FailureReporter = Callable[[str, Exception], None]
CONNECTION_ERRORS = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limit the size of a request in bytes, and the waits for its head and body in seconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    request_timeout_s: float = 10.0
    """From the first byte of a request to its last."""
    idle_timeout_s: float = 60.0
    """From a response to the first byte of the next request."""


class ServerConnection:
    """Read ahead while the handler works, so that it is cancelled when its client disconnects."""

    def __init__(
        self,
        stream: SocketStream,
        handler: Handler,
        get_limits: Callable[[], ServerLimits],
        is_draining: Callable[[], bool],
        report_failure: FailureReporter,
        opened_after_s: float,
    ) -> None:
        """Serve a connection that the client had not opened before a monotonic time."""
        self.busy = False
        """Whether a request was received and its response is not yet sent."""
        self._stream = stream
        self._handler = handler
        self._get_limits = get_limits
        self._is_draining = is_draining
        self._report_failure = report_failure
        self._sent_after_s = opened_after_s
        limits = get_limits()
        self._parser = RequestParser(limits.max_header_bytes, limits.max_body_bytes)
        self._error: ParseError | None = None
        self._received = anyio.Event()
        self._taken = anyio.Event()
        self._waiting_since_s = time.monotonic()
        self._reading = anyio.CancelScope()

    def trust_if_idle(self, now_s: float) -> None:
        """Note that the client had not sent the next request by now, unless it has begun."""
        if not self.busy and not self._parser.in_request:
            self._sent_after_s = now_s

    async def serve(self) -> None:
        """Answer requests until the connection ends."""
        async with self._stream, anyio.create_task_group() as group:
            group.start_soon(self._read, group.cancel_scope)
            try:
                await self._respond()
            except CONNECTION_ERRORS:
                pass
            finally:
                self.busy = False
            group.cancel_scope.cancel()

    # Reading

    async def _read(self, connection: anyio.CancelScope) -> None:
        """Parse what the client sends, and end the connection when it disconnects or is too slow."""
        try:
            while not self._is_late() and not await self._read_until_end():
                pass
        except CONNECTION_ERRORS:
            pass
        connection.cancel()

    async def _read_until_end(self) -> bool:
        """Read until the client disconnects; return False if a time limit may have passed before.

        The limit is only checked again when the one of the last check has passed, so that reading a
        request sets no timer.
        """
        deadline_s = anyio.current_time() + self._compute_time_left_s()
        with anyio.CancelScope(deadline=deadline_s) as self._reading:
            while data := await receive_some(self._stream):
                if self._error is None:
                    await self._parse(data)
                await self._wait_until_taken()
            return True
        return False

    async def _parse(self, data: bytes) -> None:
        if not self._parser.in_request:
            self._waiting_since_s = time.monotonic()
        limits = self._get_limits()
        self._parser.set_limits(limits.max_header_bytes, limits.max_body_bytes)
        try:
            self._parser.feed(data)
        except ParseError as error:
            self._error = error
        if self._parser.requests or self._error is not None:
            self.busy = True
            self._received.set()
            return
        if self._parser.take_continue():
            await self._stream.send(CONTINUE)
        deadline_s = anyio.current_time() + self._compute_time_left_s()
        self._reading.deadline = min(self._reading.deadline, deadline_s)

    async def _wait_until_taken(self) -> None:
        """Read no further while complete requests wait, which bounds their memory."""
        while len(self._parser.requests) > 1:
            self._taken = anyio.Event()
            await self._taken.wait()

    def _is_late(self) -> bool:
        return self._compute_time_left_s() <= 0

    def _compute_time_left_s(self) -> float:
        """Return how long the client may take to send the rest of a request, or the next one."""
        limits = self._get_limits()
        if self.busy:
            return limits.idle_timeout_s
        in_request = self._parser.in_request
        limit_s = limits.request_timeout_s if in_request else limits.idle_timeout_s
        return self._waiting_since_s + limit_s - time.monotonic()

    # Responding

    async def _respond(self) -> None:
        while True:
            while not self._parser.requests and self._error is None:
                self._received = anyio.Event()
                await self._received.wait()
            if not self._parser.requests:
                assert self._error is not None
                await self._send(Response(self._error.status), close=True)
                return
            request = replace(self._parser.requests.popleft(), sent_after_s=self._sent_after_s)
            self._taken.set()
            response = await self._handle(request)
            last = not (self._parser.requests or self._error)
            close = self._is_draining() or (last and not self._parser.keep_alive)
            answered_s = time.monotonic()
            await self._send(response, close=close)
            if close:
                return
            self.busy = not last
            if last and not self._parser.in_request:
                # The client may have the response long before this task goes on.
                self._sent_after_s = answered_s
                self._waiting_since_s = time.monotonic()

    async def _handle(self, request: Request) -> Response:
        try:
            return await self._handler(request)
        except Exception as error:  # one request must not end the connections of all others
            self._report_failure(f"{request.method} {request.path}", error)
            return Response(500)

    async def _send(self, response: Response, *, close: bool) -> None:
        await self._stream.send(encode_response(response, close=close))
