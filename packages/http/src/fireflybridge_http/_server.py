"""HTTP/1.1 server with one task for each connection."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream, TaskGroup, TaskStatus

from fireflybridge_http._client import decode_headers, receive_some
from fireflybridge_http._messages import Request, Response

Handler = Callable[[Request], Awaitable[Response]]
BACKLOG = 1024  # when the accept queue is full, a client's SYN is delayed by seconds


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limit the size of a request in bytes, and the waits for its head and body in seconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    request_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class _RequestRejected(Exception):  # noqa: N818 - it is turned into a response
    """Signal a request that gets an error status without reaching the handler."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class Server:
    """Serve requests on one address; the handler is cancelled when its client disconnects."""

    def __init__(self, address: str, handler: Handler, limits: ServerLimits) -> None:
        self.limits = limits
        self.active = 0
        self._address = address
        self._handler = handler
        self._draining = False
        self._listening = anyio.CancelScope()

    async def serve(
        self,
        connections: TaskGroup,
        *,
        task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until ``stop_listening``; each gets a task in ``connections``.

        Report the ``ip:port`` listened on, with the port that the system chose for port 0. Raise
        ``OSError`` if the address can't be bound.
        """
        host, _, port = self._address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=BACKLOG, reuse_port=False
        )
        bound = listener.extra(SocketAttribute.local_address)
        task_status.started("{}:{}".format(*bound))
        with self._listening:
            async with listener:
                await listener.serve(self._serve_connection, connections)

    def stop_listening(self) -> None:
        """Close the listening socket; open connections stay open."""
        self._listening.cancel()

    def start_draining(self) -> None:
        """Send ``connection: close`` with each response from now on."""
        self._draining = True

    async def _serve_connection(self, stream: SocketStream) -> None:
        http = h11.Connection(
            our_role=h11.SERVER, max_incomplete_event_size=self.limits.max_header_bytes
        )
        async with stream:
            try:
                await self._serve_requests(http, stream)
            except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                return
            except h11.ProtocolError:
                await _send_ignoring_errors(http, stream, Response(400))

    async def _serve_requests(self, http: h11.Connection, stream: SocketStream) -> None:
        while True:
            try:
                request = await self._receive(http, stream)
            except _RequestRejected as rejected:
                await _send_ignoring_errors(http, stream, Response(rejected.status))
                return
            if request is None:
                return
            self.active += 1
            try:
                response = await self._handle(http, stream, request)
                if response is None:
                    return
                await stream.send(_encode(http, response, close=self._draining))
            finally:
                self.active -= 1
            if http.our_state is h11.MUST_CLOSE:
                return
            http.start_next_cycle()

    async def _handle(
        self, http: h11.Connection, stream: SocketStream, request: Request
    ) -> Response | None:
        response: Response | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_on_disconnect, http, stream, group.cancel_scope)
            response = await self._handler(request)
            group.cancel_scope.cancel()
        return response

    async def _receive(self, http: h11.Connection, stream: SocketStream) -> Request | None:
        head: h11.Request | None = None
        chunks: list[bytes] = []
        size = 0
        while True:
            match http.next_event():
                case h11.NEED_DATA:
                    timeout_s = self._choose_timeout(head)
                    with anyio.move_on_after(timeout_s) as scope:
                        http.receive_data(await receive_some(stream))
                    if scope.cancelled_caught:
                        return None
                case h11.Request() as head:
                    if http.they_are_waiting_for_100_continue:
                        await stream.send(
                            http.send(h11.InformationalResponse(status_code=100, headers=[]))
                        )
                case h11.Data(data=data):
                    chunks.append(bytes(data))
                    size += len(data)
                    if size > self.limits.max_body_bytes:
                        raise _RequestRejected(413)
                case h11.EndOfMessage() if head is not None:
                    return Request(
                        head.method.decode("ascii"),
                        head.target.decode("latin-1"),
                        decode_headers(head),
                        b"".join(chunks),
                    )
                case _:
                    return None

    def _choose_timeout(self, head: h11.Request | None) -> float:
        return self.limits.idle_timeout_s if head is None else self.limits.request_timeout_s


async def _cancel_on_disconnect(
    http: h11.Connection, stream: SocketStream, scope: anyio.CancelScope
) -> None:
    """Cancel the handler of a request when its client closes the connection."""
    while True:
        try:
            data = await receive_some(stream)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            data = b""
        if not data:
            scope.cancel()
            return
        http.receive_data(data)


def _encode(http: h11.Connection, response: Response, *, close: bool) -> bytes:
    headers = [*response.headers, ("content-length", str(len(response.body)))]
    if close:
        headers.append(("connection", "close"))
    parts = [
        http.send(h11.Response(status_code=response.status, headers=headers)),
        http.send(h11.Data(data=response.body)),
        http.send(h11.EndOfMessage()),
    ]
    return b"".join(part for part in parts if part)


async def _send_ignoring_errors(
    http: h11.Connection, stream: SocketStream, response: Response
) -> None:
    """Send a last response; errors are ignored, since the connection is closed next."""
    try:
        await stream.send(_encode(http, response, close=True))
    except (h11.ProtocolError, OSError, anyio.BrokenResourceError):
        return
