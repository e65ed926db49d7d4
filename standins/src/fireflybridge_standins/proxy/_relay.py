"""Relay the connections of a link: one task for each connection, with one for each direction."""

import socket
import time
from contextlib import suppress

import anyio
from anyio.abc import SocketStream, TaskGroup

from fireflybridge_standins.proxy._faults import (
    Cut,
    Direction,
    Pass,
    Swallow,
    decide_chunk,
    find_delay,
    is_dropped,
    is_held,
)
from fireflybridge_standins.proxy._line import Broken, Chunk, Data, DelayLine, End
from fireflybridge_standins.proxy._link import Connection, Link

CONNECT_LIMIT_S = 5.0
CHUNK_BYTES = 65536


async def serve_link(link: Link, group: TaskGroup) -> None:
    """Accept the connections of one link and start a task for each."""
    while True:
        client = await link.accept()
        group.start_soon(serve_connection, link, client)


async def serve_connection(link: Link, accepted: socket.socket) -> None:
    """Relay one connection until both directions have ended or a fault ends it.

    The client of a target that cannot be reached sees a reset after its connect succeeded.
    """
    try:
        client = await SocketStream.from_socket(accepted)
    except (OSError, ValueError):
        accepted.close()
        return
    async with client:
        connection = Connection(client)
        with link.track(connection), connection.scope:
            target = await _connect(link)
            if target is None:
                connection.reset()
                return
            connection.add_target(target)
            async with target, anyio.create_task_group() as group:
                group.start_soon(relay, link, connection, Direction.FORWARD, client, target)
                group.start_soon(relay, link, connection, Direction.BACKWARD, target, client)


async def relay(
    link: Link,
    connection: Connection,
    direction: Direction,
    source: SocketStream,
    sink: SocketStream,
) -> None:
    """Relay one direction of a connection to its end."""
    line = DelayLine()
    version, passed_bytes = link.version, 0
    chunk: Chunk = Data(b"")
    while isinstance(chunk, Data):
        await _receive_until_due(link, direction, source, line)
        while is_held(link.faults, direction):
            link.counts["hold"] += 1
            await link.wait_change()
        chunk = line.pop()
        if link.version != version:
            version, passed_bytes = link.version, 0
        match decide_chunk(link.faults, direction, len(chunk.data), passed_bytes):
            case Pass():
                passed_bytes += len(chunk.data)
                await _deliver(link, connection, direction, sink, chunk)
            case Swallow():
                connection.torn.add(direction)
                link.count_drop(len(chunk.data))
            case Cut(cause, kept_bytes):
                link.count_cut(cause)
                kept = Data(chunk.data[:kept_bytes])
                await _deliver(link, connection, direction, sink, kept)
                connection.close()
                return


async def _connect(link: Link) -> SocketStream | None:
    host, _, port = link.target.rpartition(":")
    try:
        with anyio.fail_after(CONNECT_LIMIT_S):
            return await anyio.connect_tcp(host, int(port))
    except (OSError, TimeoutError):
        link.counts["target_unreachable"] += 1
        return None


async def _receive_until_due(
    link: Link, direction: Direction, source: SocketStream, line: DelayLine
) -> None:
    """Receive until the oldest chunk is due."""
    while line.next_due > time.monotonic():
        wait_s = line.next_due - time.monotonic()
        if not line.accepts_more:
            await anyio.sleep(wait_s)
            continue
        with anyio.move_on_after(wait_s):
            chunk = await _receive(source)
            delay_s = find_delay(link.faults, direction)
            if delay_s > 0:
                link.counts["delay"] += 1
            line.push(time.monotonic() + delay_s, chunk)


async def _receive(source: SocketStream) -> Chunk:
    try:
        return Data(await source.receive(CHUNK_BYTES))
    except anyio.EndOfStream:
        return End()
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return Broken()


async def _deliver(
    link: Link, connection: Connection, direction: Direction, sink: SocketStream, chunk: Chunk
) -> None:
    """Pass a chunk on; a receiver that is gone resets the connection."""
    match chunk:
        case Data(data):
            try:
                await sink.send(data)
                link.count_bytes(direction, len(data))
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                _report_receiver_lost(link, connection, direction)
        case End():
            # uvloop raises RuntimeError if the receiver has already reset the connection.
            with suppress(RuntimeError):
                await sink.send_eof()
        case Broken():
            connection.reset()


def _report_receiver_lost(link: Link, connection: Connection, direction: Direction) -> None:
    link.counts["receiver_lost"] += 1
    opposite = Direction.BACKWARD if direction is Direction.FORWARD else Direction.FORWARD
    if is_dropped(link.faults, opposite):
        # The receiver's reset cannot get through either.
        connection.torn.add(direction)
        connection.torn.add(opposite)
    else:
        connection.reset()
