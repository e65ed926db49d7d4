"""Steps for the fault-injecting proxy."""

import socket
import struct
import time
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream
from behave import given, then, when
from behave.runner import Context
from support import (
    Proxy,
    check_append,
    check_error,
    choose_timeout,
    run_log,
    start_proxy,
    wait_until,
)

TIMEOUT_S = 30.0
OPPOSITE = {"client": "server", "server": "client"}
SENDER = {"forward": "client", "backward": "server"}


def split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def format_address(listener: socket.socket) -> str:
    return "{}:{}".format(*listener.getsockname())


def listen(context: Context) -> socket.socket:
    listener = socket.create_server(("127.0.0.1", 0))
    listener.settimeout(TIMEOUT_S)
    context.add_cleanup(listener.close)
    return listener


def connect(context: Context, address: str) -> socket.socket:
    client = socket.create_connection(split_address(address), TIMEOUT_S)
    context.add_cleanup(client.close)
    return client


def connect_pair(context: Context, listener: socket.socket) -> dict[str, socket.socket]:
    client = connect(context, context.link_address)
    server, _ = listener.accept()
    server.settimeout(TIMEOUT_S)
    context.add_cleanup(server.close)
    return {"client": client, "server": server}


def receive_exactly(receiver: socket.socket, size: int) -> str:
    return receiver.recv(size, socket.MSG_WAITALL).decode()


def send_and_receive(context: Context, text: str, direction: str) -> None:
    sender = SENDER[direction]
    context.pair[sender].sendall(text.encode())
    received = receive_exactly(context.pair[OPPOSITE[sender]], len(text))
    assert received == text, received


def set_fault(context: Context, link: str, kind: str, **options: Any) -> None:
    context.proxy.set_faults(link, faults=[{"kind": kind, **options}])


def wait_count(context: Context, counter: str, count: int) -> None:
    proxy: Proxy = context.proxy
    wait_until(lambda: proxy.get_count("first", counter) >= count, TIMEOUT_S, counter)
    assert proxy.get_count("first", counter) == count, proxy.describe("first")


def is_reset(receiver: socket.socket) -> bool:
    try:
        receiver.recv(1)
    except ConnectionResetError:
        return True
    return False


def is_connect_reset(context: Context) -> bool:
    """Return whether a new connection is reset, before or after connect returns."""
    try:
        return is_reset(connect(context, context.link_address))
    except ConnectionResetError:
        return True


@given("a proxied pair of sockets")
def step_pair(context: Context) -> None:
    context.listener = listen(context)
    context.proxy = start_proxy(context.processes, first=format_address(context.listener))
    context.link_address = context.proxy.get_address("first")
    context.pair = connect_pair(context, context.listener)


@given("a platform stand-in behind the proxy")
def step_platform(context: Context) -> None:
    context.platform = context.processes.start("fireflybridge_standins.platform")
    context.platform_link = context.proxy.add_link("platform", context.platform.address)


@when('the proxy fault "{kind}" acts "{direction}" with {delay:d} ms')
def step_delay(context: Context, kind: str, direction: str, delay: int) -> None:
    set_fault(context, "first", kind, direction=direction, delay_ms=delay)


@when('the proxy fault "{kind}" acts "{direction}"')
def step_fault(context: Context, kind: str, direction: str) -> None:
    set_fault(context, "first", kind, direction=direction)


@when('the proxy fault "{kind}" acts "{direction}" after {size:d} bytes')
def step_truncate(context: Context, kind: str, direction: str, size: int) -> None:
    set_fault(context, "first", kind, direction=direction, after_bytes=size)


@when('the proxy fault "{kind}" acts once on the platform link')
def step_platform_once(context: Context, kind: str) -> None:
    set_fault(context, "platform", kind, count=1)


@when('the proxy fault "{kind}" acts "{direction}" on the platform link after {size:d} bytes')
def step_platform_fault(context: Context, kind: str, direction: str, size: int) -> None:
    set_fault(context, "platform", kind, direction=direction, after_bytes=size)


@when("the proxy faults are cleared")
def step_clear(context: Context) -> None:
    context.proxy.clear_faults("first")


@when("the proxied client shuts down its sending direction")
def step_shut_down(context: Context) -> None:
    context.pair["client"].shutdown(socket.SHUT_WR)


@when('the proxied client sends "{text}" and the proxy counts {count:d} "{counter}"')
def step_send_client(context: Context, text: str, count: int, counter: str) -> None:
    step_send(context, text, "forward", count, counter)


@when('"{text}" is sent through the proxy {direction} and the proxy counts {count:d} "{counter}"')
def step_send(context: Context, text: str, direction: str, count: int, counter: str) -> None:
    context.pair[SENDER[direction]].sendall(text.encode())
    wait_count(context, counter, count)


@when('"{text}" passes through the proxy {direction} first')
@then('"{text}" passes the proxy {direction}')
def step_pass(context: Context, text: str, direction: str) -> None:
    send_and_receive(context, text, direction)


@when('the proxied client closes and the proxy counts {count:d} "{counter}"')
def step_close_client(context: Context, count: int, counter: str) -> None:
    context.pair["client"].close()
    wait_count(context, counter, count)


@when("the proxy resets {count:d} connection")
def step_reset(context: Context, count: int) -> None:
    assert context.proxy.reset("first") == count


@when('the proxied server resets and the proxy counts {count:d} "{counter}"')
def step_server_reset(context: Context, count: int, counter: str) -> None:
    linger = struct.pack("ii", 1, 0)
    context.pair["server"].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    context.pair["server"].close()
    wait_count(context, counter, count)


@when("the proxied server stops listening")
def step_stop_listening(context: Context) -> None:
    context.listener.close()


@when("a second proxied server is reached over an added link")
def step_add_link(context: Context) -> None:
    context.second = listen(context)
    client = connect(context, context.proxy.add_link("second", format_address(context.second)))
    context.second.accept()[0].close()
    assert client.recv(1) == b""


@when("the first proxy link is retargeted to the second server")
def step_retarget(context: Context) -> None:
    context.proxy.retarget("first", format_address(context.second))


@then("a proxied connect reaches the second server")
def step_reach_second(context: Context) -> None:
    context.pair = connect_pair(context, context.second)
    send_and_receive(context, "question", "forward")


@then("{count:d} proxied connections each echo {size:d} bytes")
def step_echo(context: Context, count: int, size: int) -> None:
    """Guard against bytes that are lost, repeated or sent to another connection."""

    async def echo(connection: SocketStream) -> None:
        async with connection:
            async for chunk in connection:
                await connection.send(chunk)
            await connection.send_eof()

    async def exchange(index: int) -> None:
        sent = bytes([index]) * 1000 + b"0123456789" * ((size - 1000) // 10)
        received = bytearray()
        async with await anyio.connect_tcp(*split_address(address)) as connection:
            async with anyio.create_task_group() as group:
                group.start_soon(connection.send, sent)
                while len(received) < len(sent):
                    received += await connection.receive()
        assert received == sent, f"connection {index} echoed other bytes"

    async def run() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        context.proxy.retarget(
            "first", "{}:{}".format(*listener.extra(SocketAttribute.local_address))
        )
        async with listener, anyio.create_task_group() as servers:
            servers.start_soon(listener.serve, echo)
            async with anyio.create_task_group() as clients:
                for index in range(count):
                    clients.start_soon(exchange, index)
            servers.cancel_scope.cancel()

    address = context.link_address
    anyio.run(run)


@then('"{text}" takes at least {limit:g} s through the proxy {direction}')
def step_takes_at_least(context: Context, text: str, limit: float, direction: str) -> None:
    started_at = time.monotonic()
    send_and_receive(context, text, direction)
    assert time.monotonic() - started_at >= limit


@then("the proxied {receiver} has received nothing")
def step_received_nothing(context: Context, receiver: str) -> None:
    context.pair[receiver].setblocking(False)
    try:
        received = context.pair[receiver].recv(1)
    except BlockingIOError:
        context.pair[receiver].settimeout(TIMEOUT_S)
        return
    raise AssertionError(f"{receiver} received {received!r}")


@then('the proxied {receiver} receives "{text}" and the end of stream')
def step_receive_and_eof(context: Context, receiver: str, text: str) -> None:
    received = receive_exactly(context.pair[receiver], len(text) + 1)
    assert received == text, received


@then('the proxied {receiver} receives "{text}"')
def step_receive(context: Context, receiver: str, text: str) -> None:
    assert receive_exactly(context.pair[receiver], len(text)) == text


@then("the proxied {receiver} receives the end of stream")
def step_receive_eof(context: Context, receiver: str) -> None:
    assert context.pair[receiver].recv(1) == b""


@then("the proxied {receiver} receives a reset")
def step_receive_reset(context: Context, receiver: str) -> None:
    assert is_reset(context.pair[receiver])


@then("the proxied {receiver} receives the end of stream or a reset")
def step_receive_eof_or_reset(context: Context, receiver: str) -> None:
    """Accept a reset too: the kernel sends one if the closing side has unread bytes."""
    try:
        received = context.pair[receiver].recv(1)
    except ConnectionResetError:
        return
    assert received == b"", received


@then("a proxied connect is refused")
def step_refused(context: Context) -> None:
    try:
        connect(context, context.link_address)
    except ConnectionRefusedError:
        return
    raise AssertionError("the connect succeeded, which should be refused")


@then("a proxied connect succeeds")
def step_connect_succeeds(context: Context) -> None:
    context.pair = connect_pair(context, context.listener)
    send_and_receive(context, "question", "forward")


@then("the proxy ends with exit code {code:d}")
def step_exit(context: Context, code: int) -> None:
    context.proxy.program.terminate()
    assert context.proxy.program.wait_exit() == code, context.proxy.program.read_stderr()


@then("a proxied connect ends in a reset")
def step_connect_reset(context: Context) -> None:
    assert is_connect_reset(context)
    assert context.proxy.get_count("first", "target_unreachable") == 1


@then('a proxied platform append ends "{end}" naming "{detail}"')
def step_append(context: Context, end: str, detail: str) -> None:
    check_append(context.platform_link, "s", "a", end, detail)


@then('a proxied platform read fails naming "{detail}"')
def step_read(context: Context, detail: str) -> None:
    limit_s = choose_timeout(detail)
    result = run_log(context.platform_link, lambda log: log.read("s", 0), limit_s)
    check_error(result, detail)


@then("the platform behind the proxy holds {count:d} records")
def step_records(context: Context, count: int) -> None:
    def count_records() -> int:
        address = context.platform.address
        return run_log(address, lambda log: log.read("s", 0)).unwrap().end_offset

    wait_until(lambda: count_records() >= count)
    assert count_records() == count
