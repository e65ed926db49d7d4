"""Steps on the HTTP server and client over loopback connections."""

import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from itertools import pairwise

import anyio
from anyio.abc import SocketAttribute, SocketStream
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import strategies
from support.hypothesis_settings import deterministic_settings
from support.raw_http_examples import (
    DAMAGE_SOURCES,
    LARGE_BODY_BYTES,
    LARGE_HEAD_BYTES,
    PEER_RESPONSES,
    RAW_REQUESTS,
    SERIES,
    SERIES_RESPONSES,
    PeerResponse,
)

from fireflybridge_http import (
    Connection,
    ExchangeError,
    ExchangeStep,
    Request,
    Response,
    Server,
    ServerLimits,
)

LIMITS = ServerLimits(
    max_header_bytes=LARGE_HEAD_BYTES // 2,
    max_body_bytes=LARGE_BODY_BYTES // 2,
    request_timeout_s=0.3,
    idle_timeout_s=0.3,
)
QUIET_S = 0.1  # a connection without further bytes for this long is taken as kept open
DISCONNECT_LIMIT_S = 5.0
BYTE_INTERVAL_S = 0.05
MAX_SERIES_SEGMENTS = 12


@dataclass(slots=True)
class HandlerLog:
    """What a handler under test has seen."""

    started: anyio.Event = field(default_factory=anyio.Event)
    cancelled: anyio.Event = field(default_factory=anyio.Event)
    failures: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Received:
    """The bytes that a raw client received, and whether the server closed the connection."""

    data: bytes
    closed: bool

    @property
    def statuses(self) -> str:
        """Return the status codes in order, separated by spaces."""
        lines = self.data.split(b"HTTP/1.1 ")[1:]
        return " ".join(line[:3].decode() for line in lines)


async def echo(request: Request) -> Response:
    return Response(200, request.body)


@asynccontextmanager
async def run_server(
    handler: Callable[[Request], Awaitable[Response]],
    limits: ServerLimits = LIMITS,
    log: HandlerLog | None = None,
) -> AsyncIterator[tuple[Server, int]]:
    """Run a server and yield it with its port."""

    def report(action: str, error: Exception) -> None:
        assert log is not None, error
        log.failures.append(f"{action} {type(error).__name__}")

    server = Server("127.0.0.1:0", handler, limits, report)
    async with anyio.create_task_group() as group:
        address = await group.start(server.serve, group)
        yield server, int(address.rpartition(":")[2])
        group.cancel_scope.cancel()


async def receive_until_quiet(stream: SocketStream, quiet_s: float = QUIET_S) -> Received:
    chunks = []
    while True:
        try:
            with anyio.fail_after(quiet_s):
                chunks.append(await stream.receive())
        except TimeoutError:
            return Received(b"".join(chunks), closed=False)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return Received(b"".join(chunks), closed=True)


async def send_raw(port: int, *segments: bytes) -> Received:
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        stream.extra(SocketAttribute.raw_socket).setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        for segment in segments:
            try:
                await stream.send(segment)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                break
            await anyio.sleep(0)
        return await receive_until_quiet(stream)


async def is_answering(port: int) -> bool:
    connection = Connection(f"127.0.0.1:{port}")
    try:
        response = await connection.exchange(Request("POST", "/", body=b"ok"), 2.0)
    finally:
        await connection.close()
    return response == Response(200, b"ok", response.headers)


def split_at(data: bytes, points: list[int]) -> list[bytes]:
    bounds = [0, *sorted({point for point in points if 0 < point < len(data)}), len(data)]
    return [data[start:end] for start, end in pairwise(bounds)]


@given("an HTTP server that echoes bodies")
def given_echo_server(context: Context) -> None:
    context.http_handler = echo
    context.http_log = HandlerLog()


@given("an HTTP server that echoes the names of headers")
def given_header_echo(context: Context) -> None:
    async def echo_names(request: Request) -> Response:
        return Response(200, " ".join(name for name, _ in request.headers).encode())

    context.http_handler = echo_names
    context.http_log = HandlerLog()


@then('the response lists "{names}"')
def check_names(context: Context, names: str) -> None:
    assert context.received.data.endswith(names.encode()), context.received


@given("an HTTP server whose handler never returns")
def given_endless_handler(context: Context) -> None:
    log = context.http_log = HandlerLog()

    async def wait_forever(request: Request) -> Response:
        log.started.set()
        try:
            await anyio.sleep_forever()
        finally:
            log.cancelled.set()
        return Response(200)

    context.http_handler = wait_forever


@given("an HTTP server whose handler fails")
def given_failing_handler(context: Context) -> None:
    async def fail(request: Request) -> Response:
        raise LookupError("no such thing")

    context.http_handler = fail
    context.http_log = HandlerLog()


@when('the raw request "{name}" is sent')
def send_named_request(context: Context, name: str) -> None:
    async def send() -> None:
        async with run_server(context.http_handler, log=context.http_log) as (_, port):
            context.received = await send_raw(port, *RAW_REQUESTS[name])
            if context.http_handler is echo:
                context.answering = await is_answering(port)
            else:
                second = await send_raw(port, *RAW_REQUESTS[name])
                context.answering = bool(second.statuses)

    anyio.run(send)


@then('the responses have the statuses "{statuses}"')
def check_statuses(context: Context, statuses: str) -> None:
    assert context.received.statuses == statuses, context.received


@then("the server has {state:w} the connection")
def check_connection_state(context: Context, state: str) -> None:
    assert context.received.closed == (state == "closed"), context.received


@then("another connection is still answered")
@then("the server still listens")
def check_answering(context: Context) -> None:
    assert context.answering


@then("the failure is reported with the request's method and path")
def check_failure_report(context: Context) -> None:
    assert context.http_log.failures[0] == "POST /path LookupError", context.http_log


@then("a series of requests gets the same responses with any split points")
def check_request_splits(context: Context) -> None:
    points = strategies.lists(
        strategies.integers(1, len(SERIES) - 1), max_size=MAX_SERIES_SEGMENTS - 1
    )

    @deterministic_settings(60)
    @for_all(points)
    def check(points: list[int]) -> None:
        async def send() -> Received:
            async with run_server(echo) as (_, port):
                return await send_raw(port, *split_at(SERIES, points))

        received = anyio.run(send)
        assert received.data == SERIES_RESPONSES, received

    check()


@then("arbitrary bytes and damaged requests leave the server answering")
def check_arbitrary_bytes(context: Context) -> None:
    damaged = strategies.builds(
        lambda source, at, noise: source[: at % len(source)] + noise + source[at % len(source) :],
        strategies.sampled_from(DAMAGE_SOURCES),
        strategies.integers(0, 10_000),
        strategies.binary(max_size=8),
    )

    @deterministic_settings(100)
    @for_all(strategies.one_of(strategies.binary(max_size=200), damaged))
    def check(data: bytes) -> None:
        async def send() -> bool:
            async with run_server(echo) as (_, port):
                async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                    await stream.send(data)
                    await stream.send_eof()
                    await receive_until_quiet(stream, DISCONNECT_LIMIT_S)
                return await is_answering(port)

        assert anyio.run(send)

    check()


@when("a client {behaviour}")
def run_slow_client(context: Context, behaviour: str) -> None:
    async def run() -> None:
        log = context.http_log
        async with run_server(context.http_handler, log=log) as (server, port):
            match behaviour:
                case "sends nothing":
                    context.received = await drip(port, b"", b"")
                case "sends nothing after its response":
                    context.received = await drip(port, RAW_REQUESTS["with a length"][0], b"")
                case "sends a head byte by byte":
                    context.received = await drip(port, b"GET / HTTP/1.1\r\nhost: x\r\nx: ", b"y")
                case "sends a body byte by byte":
                    head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\n\r\n"
                    context.received = await drip(port, head, b"y")
                case "sends a request and disconnects":
                    await leave_early(port, log)
                    await anyio.sleep(0)
                    context.active = server.active

    anyio.run(run)


async def drip(port: int, first: bytes, repeated: bytes) -> Received:
    """Send bytes at intervals until the server closes the connection."""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        if first:
            await stream.send(first)
        deadline_s = anyio.current_time() + DISCONNECT_LIMIT_S
        received = Received(b"", closed=False)
        while not received.closed and anyio.current_time() < deadline_s:
            if repeated:
                try:
                    await stream.send(repeated)
                except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                    return Received(received.data, closed=True)
            received = await receive_until_quiet(stream, BYTE_INTERVAL_S)
        return received


async def leave_early(port: int, log: HandlerLog) -> None:
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await stream.send(RAW_REQUESTS["with a length"][0])
        with anyio.fail_after(DISCONNECT_LIMIT_S):
            await log.started.wait()
    with anyio.fail_after(DISCONNECT_LIMIT_S):
        await log.cancelled.wait()


@then("the server disconnects it within its limits")
def check_disconnected(context: Context) -> None:
    assert context.received.closed, context.received


@then("the handler is cancelled")
def check_cancelled(context: Context) -> None:
    assert context.http_log.cancelled.is_set()


@then("the server counts no active request")
def check_not_active(context: Context) -> None:
    assert context.active == 0


# A peer with a scripted response


@asynccontextmanager
async def run_peer(script: PeerResponse) -> AsyncIterator[tuple[str, list[int]]]:
    """Run a peer that sends a scripted response to each request; yield its address and visits."""
    visits: list[int] = []

    async def respond(stream: SocketStream) -> None:
        visits.append(len(visits))
        async with stream:
            try:
                while await stream.receive():
                    for segment in script.segments:
                        await stream.send(segment)
                        await anyio.sleep(0)
                    if script.disconnects:
                        return
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                return

    async with AsyncExitStack() as stack:
        listener = await stack.enter_async_context(
            await anyio.create_tcp_listener(local_host="127.0.0.1")
        )
        group = await stack.enter_async_context(anyio.create_task_group())
        group.start_soon(listener.serve, respond)
        port = listener.extra(SocketAttribute.local_port)
        yield f"127.0.0.1:{port}", visits
        group.cancel_scope.cancel()


@given('a peer that responds with "{name}"')
def given_peer(context: Context, name: str) -> None:
    context.peer_response = PEER_RESPONSES[name]


@when("two requests are sent to it")
def send_two_requests(context: Context) -> None:
    async def run() -> None:
        async with run_peer(context.peer_response) as (address, visits):
            connection = Connection(address)
            context.responses = []
            for _ in range(2):
                context.responses.append(await connection.exchange(Request("GET", "/"), 2.0))
                # The peer's end of the connection and bytes after its response arrive meanwhile.
                await anyio.sleep(QUIET_S)
            await connection.close()
            context.visits = len(visits)

    anyio.run(run)


@when("a request is sent to it")
def send_one_request(context: Context) -> None:
    async def run() -> None:
        async with run_peer(context.peer_response) as (address, _):
            connection = Connection(address)
            try:
                context.response = await connection.exchange(Request("GET", "/"), 0.5)
            except ExchangeError as error:
                context.error = error
            await connection.close()

    context.error = None
    anyio.run(run)


@then('both exchanges return status {status:d} with body "{body}"')
@then('both exchanges return status {status:d} with body ""')
def check_responses(context: Context, status: int, body: str = "") -> None:
    found = [(response.status, response.body) for response in context.responses]
    assert found == [(status, body.encode())] * 2, found


@then("the peer has seen {count:d} connections")
def check_visits(context: Context, count: int) -> None:
    assert context.visits == count, context.visits


@then('the exchange has failed at "receive" and may have run')
def check_receive_failure(context: Context) -> None:
    assert context.error is not None, context.response
    assert context.error.step is ExchangeStep.RECEIVE, context.error
    assert context.error.may_have_run


@then("a response gets through with any split points")
def check_response_splits(context: Context) -> None:
    data = b"".join(PEER_RESPONSES["chunks"].segments)

    @deterministic_settings(40)
    @for_all(strategies.lists(strategies.integers(1, len(data) - 1), max_size=10))
    def check(points: list[int]) -> None:
        async def exchange() -> Response:
            script = PeerResponse(tuple(split_at(data, points)))
            async with run_peer(script) as (address, _):
                connection = Connection(address)
                try:
                    return await connection.exchange(Request("GET", "/"), 2.0)
                finally:
                    await connection.close()

        assert anyio.run(exchange).body == b"hello"

    check()


@then('requests with a line break in target, header name or value fail at "connect"')
def check_unencodable(context: Context) -> None:
    requests = (
        Request("GET", "/a\r\nx: y"),
        Request("GET", "/a b"),
        Request("GET", "/", (("x\r\ny", "z"),)),
        Request("GET", "/", (("x", "y\r\nz: 1"),)),
        Request("GET", "/", (("x", "y\nz"),)),
        Request("GET", "/", (("x", "\u20ac"),)),
    )

    async def exchange(request: Request) -> ExchangeError | None:
        async with run_peer(PEER_RESPONSES["a length"]) as (address, _):
            try:
                await Connection(address).exchange(request, 1.0)
            except ExchangeError as error:
                return error
        return None

    for request in requests:
        error = anyio.run(exchange, request)
        assert error is not None, request
        assert error.step is ExchangeStep.CONNECT, error
        assert not error.may_have_run
