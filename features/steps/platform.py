"""Steps for the platform stand-in and the platform client."""

import socket
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, TypeVar

import anyio
from anyio.abc import SocketAttribute, SocketStream
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_any
from hypothesis import settings, strategies
from result import Result
from support import check_append, check_error, describe_append, run_log, send_control, wait_until

from fireflybridge_platform import Host, HttpHostList, HttpLog, Page

LONG_TIMEOUT_S = 30.0

Value = TypeVar("Value")


def run_hosts(address: str, **options: Any) -> Result[tuple[Host, ...], Any]:
    """List the hosts with a fresh client."""

    async def run() -> Result[tuple[Host, ...], Any]:
        async with HttpHostList(
            f"http://{address}", read_timeout_s=LONG_TIMEOUT_S, **options
        ) as hosts:
            return await hosts.list_hosts()

    return anyio.run(run)


def read_page(context: Context, stream: str, start: int = 0) -> Page:
    return run_log(context.platform.address, lambda log: log.read(stream, start)).unwrap()


async def serve_bytes(response: bytes, call: Callable[[str], Awaitable[Value]]) -> Value:
    """Run ``call`` against a server that sends ``response`` to every request and closes."""

    async def serve_connection(connection: SocketStream) -> None:
        async with connection:
            await connection.receive()
            await connection.send(response)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve_connection)
        value = await call(f"http://127.0.0.1:{listener.extra(SocketAttribute.local_port)}")
        group.cancel_scope.cancel()
    return value


def make_response(status: int, body: bytes) -> bytes:
    head = f"HTTP/1.1 {status} x\r\nlocation: http://[\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def append_once(url: str) -> Result[int, Any]:
    async with HttpLog(url, append_timeout_s=LONG_TIMEOUT_S) as log:
        return await log.append("s", b"a")


async def read_once(url: str, start: int = 0, **options: Any) -> Result[Page, Any]:
    async with HttpLog(url, read_timeout_s=LONG_TIMEOUT_S, **options) as log:
        return await log.read("s", start)


async def list_once(url: str) -> Result[tuple[Host, ...], Any]:
    async with HttpHostList(url, read_timeout_s=LONG_TIMEOUT_S) as hosts:
        return await hosts.list_hosts()


def set_fault(context: Context, **fault: Any) -> None:
    send_control(context.platform.address, "PUT", "/control/fault", fault)


@given("a platform stand-in")
def step_start(context: Context) -> None:
    step_start_with(context, "")


@given('a platform stand-in with "{flags}"')
def step_start_with(context: Context, flags: str) -> None:
    context.platform = context.processes.start("fireflybridge_standins.platform", *flags.split())


@given('the platform fault "{mode}"')
@when('the platform fault "{mode}" is set')
def step_fault(context: Context, mode: str) -> None:
    set_fault(context, mode=mode)


@given('the platform fault "{mode}" for {count:d} request')
def step_fault_count(context: Context, mode: str, count: int) -> None:
    set_fault(context, mode=mode, count=count)


@given('the platform fault "{mode}" with {latency:d} ms')
def step_fault_slow(context: Context, mode: str, latency: int) -> None:
    set_fault(context, mode=mode, latency_ms=latency)


@when("the platform stand-in is stopped")
def step_stop(context: Context) -> None:
    context.platform.terminate()
    assert context.platform.wait_exit() == 0


@when('the platform client appends "{payloads}" to "{stream}"')
def step_append(context: Context, payloads: str, stream: str) -> None:
    async def append_all(log: HttpLog) -> list[int]:
        return [(await log.append(stream, item.encode())).unwrap() for item in payloads.split()]

    offsets = run_log(context.platform.address, append_all)
    assert offsets == list(range(len(offsets))), offsets


@when('a platform read waits at offset 0 of "{stream}" and "{payload}" is appended')
def step_read_waiting(context: Context, stream: str, payload: str) -> None:
    async def append_when_read_waits(log: HttpLog) -> None:
        counters: dict[str, Any] = {}
        while counters.get(stream, {}).get("waiting") != 1:
            await anyio.sleep(0.01)
            report = await anyio.to_thread.run_sync(
                send_control, context.platform.address, "GET", "/control/counters"
            )
            counters = report["streams"]
        (await log.append(stream, payload.encode())).unwrap()

    async def read_and_append(log: HttpLog) -> Page:
        async with anyio.create_task_group() as group:
            group.start_soon(append_when_read_waits, log)
            result = await log.read(stream, 0, wait_s=30.0)
        return result.unwrap()

    context.page = run_log(context.platform.address, read_and_append)


@when('the platform truncates "{stream}" to offset {offset:d}')
def step_truncate(context: Context, stream: str, offset: int) -> None:
    path = f"/control/streams/{stream}/truncate"
    send_control(context.platform.address, "POST", path, {"first_offset": offset})


@when('the platform lists entry host "{name}" at "{address}" as {state}')
def step_set_hosts(context: Context, name: str, address: str, state: str) -> None:
    host = {"name": name, "role": "entry", "state": state, "failure_domain": "d"}
    body = {"hosts": [{**host, "address": address}]}
    send_control(context.platform.address, "PUT", "/control/hosts", body)


@when('half of a platform append to "{stream}" is sent and the connection is closed')
def step_append_half(context: Context, stream: str) -> None:
    host, port = context.platform.address.split(":")
    with socket.create_connection((host, int(port)), LONG_TIMEOUT_S) as connection:
        head = f"POST /v1/streams/{stream}/records HTTP/1.1\r\nhost: x\r\ncontent-length: 8\r\n\r\n"
        connection.sendall(head.encode() + b"half")
        connection.shutdown(socket.SHUT_WR)
        assert connection.recv(1) == b""


@then('the platform read that waited returned "{payload}"')
def step_read_waited(context: Context, payload: str) -> None:
    assert [record.payload for record in context.page.records] == [payload.encode()], context.page


@then('the platform client reads "{payloads}" from offset {start:d} of "{stream}"')
def step_read(context: Context, payloads: str, start: int, stream: str) -> None:
    page = read_page(context, stream, start)
    assert [record.payload.decode() for record in page.records] == payloads.split(), page
    assert page.next_offset == page.end_offset, page


@then('the platform client reads "" from offset {start:d} of "{stream}"')
def step_read_nothing(context: Context, start: int, stream: str) -> None:
    step_read(context, "", start, stream)


@then('the platform stream "{stream}" is eventually empty, from offset {offset:d}')
def step_stream_empty(context: Context, stream: str, offset: int) -> None:
    wait_until(lambda: read_page(context, stream).first_offset == offset)
    assert read_page(context, stream).records == ()


@then('the platform stream "{stream}" eventually holds {count:d} record')
def step_stream_holds(context: Context, stream: str, count: int) -> None:
    wait_until(lambda: len(read_page(context, stream).records) == count)


@then(
    'the platform counts {appends:d} appends, {size:d} append bytes and {reads:d} reads of "{name}"'
)
def step_counters(context: Context, appends: int, size: int, reads: int, name: str) -> None:
    counters = send_control(context.platform.address, "GET", "/control/counters")["streams"][name]
    seen = (counters["appends"], counters["append_bytes"], counters["reads"])
    assert seen == (appends, size, reads), counters


@then("{count:d} platform appends in parallel take at least {limit:g} s")
def step_append_duration(context: Context, count: int, limit: float) -> None:
    async def append_all(log: HttpLog) -> None:
        async with anyio.create_task_group() as group:
            for _ in range(count):
                group.start_soon(log.append, "s", b"a")

    started_at = time.monotonic()
    run_log(context.platform.address, append_all)
    assert time.monotonic() - started_at >= limit
    assert read_page(context, "s").end_offset == count


@then('the platform client lists "{name}" at "{address}" as {state}')
def step_list_hosts(context: Context, name: str, address: str, state: str) -> None:
    (host,) = run_hosts(context.platform.address).unwrap()
    seen = (host.name, host.role, host.address, host.state)
    assert seen == (name, "entry", address, state), host


@then('a platform append of "{payload}" to "{stream}" returns "{kind}" with detail "{detail}"')
def step_append_result(context: Context, payload: str, stream: str, kind: str, detail: str) -> None:
    check_append(context.platform.address, stream, payload, kind, detail)


@then('the platform read of "{stream}" fails with detail "{detail}"')
def step_read_fails(context: Context, stream: str, detail: str) -> None:
    check_error(run_log(context.platform.address, lambda log: log.read(stream, 0)), detail)


@then('the platform host list fails with detail "{detail}"')
def step_hosts_fail(context: Context, detail: str) -> None:
    check_error(run_hosts(context.platform.address), detail)


@then('a platform append answered {status:d} with {body} returns "{kind}"')
def step_classify(context: Context, status: int, body: str, kind: str) -> None:
    result = anyio.run(serve_bytes, make_response(status, body.encode()), append_once)
    assert describe_append(result)[0] == kind, result


@then('a platform read from {start:d} answered 200 with {body} fails with detail "{detail}"')
def step_bad_page(context: Context, start: int, body: str, detail: str) -> None:
    read = partial(read_once, start=start)
    check_error(anyio.run(serve_bytes, make_response(200, body.encode()), read), detail)


@then('a platform host list answered 200 with {body} fails with detail "{detail}"')
def step_bad_hosts(context: Context, body: str, detail: str) -> None:
    check_error(anyio.run(serve_bytes, make_response(200, body.encode()), list_once), detail)


@then("a platform client limited to {limit:d} bytes fails on a response of {size:d} bytes")
def step_oversized(context: Context, limit: int, size: int) -> None:
    read = partial(read_once, max_response_bytes=limit)
    check_error(anyio.run(serve_bytes, make_response(200, b" " * size), read), "exceeds")


@then("{count:d} arbitrary platform responses are each returned as an error")
def step_arbitrary(context: Context, count: int) -> None:
    """Guard against a response that makes the client raise, which would end the daemon's task."""
    statuses = strategies.sampled_from([200, 201, 204, 302, 503])
    responses = strategies.binary(max_size=200) | strategies.builds(
        make_response, statuses, strategies.binary(max_size=100)
    )

    @settings(derandomize=True, database=None, deadline=None, max_examples=count)
    @given_any(responses)
    def check(response: bytes) -> None:
        async def call_all() -> None:
            assert describe_append(await serve_bytes(response, append_once))[0] == "MayBeAppended"
            assert (await serve_bytes(response, read_once)).is_err()
            assert (await serve_bytes(response, list_once)).is_err()

        anyio.run(call_all)

    check()


def read_twice(address: str, between: Callable[[], None]) -> tuple[Any, Any]:
    """Read the host list twice with one client and call ``between`` in between."""

    async def run() -> tuple[Any, Any]:
        async with HttpHostList(f"http://{address}", read_timeout_s=LONG_TIMEOUT_S) as hosts:
            first = await hosts.list_hosts()
            between()
            return first.unwrap(), (await hosts.list_hosts()).unwrap()

    return anyio.run(run)


@then("a client that reads the platform's host list twice receives its body only once")
def step_hosts_unchanged(context: Context) -> None:
    first, second = read_twice(context.platform.address, lambda: None)
    assert first
    # A second body would have been decoded to another tuple, even with the same hosts.
    assert first is second


@then('a client that reads it before and after it is replaced by host "{name}" gets both lists')
def step_hosts_changed(context: Context, name: str) -> None:
    address = context.platform.address
    first, second = read_twice(
        address, lambda: step_set_hosts(context, name, "127.0.0.1:4001", "live")
    )
    assert [host.name for host in first] == ["e1"], first
    assert [host.name for host in second] == [name], second
