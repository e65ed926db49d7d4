"""Relay connections of a link: one task for each connection and one for each of its directions."""

import socket
import time
from contextlib import suppress

import anyio
from anyio.abc import SocketStream, TaskGroup

from fireflybridge_standins.proxy._delay_queue import (
    Chunk,
    ConnectionLost,
    Data,
    DelayQueue,
    EndOfStream,
)
from fireflybridge_standins.proxy._faults import (
    Deliver,
    DeliverAndClose,
    Direction,
    Discard,
    choose_action,
    is_dropped,
    is_held,
    sum_delays,
)
from fireflybridge_standins.proxy._link import Connection, Link

CONNECT_TIMEOUT_S = 5.0
CHUNK_BYTES = 65536


async def serve_link(link: Link, group: TaskGroup) -> None:
    """Accept the connections of one link and start a task for each."""
    while True:
        client = await link.accept()
        group.start_soon(serve_connection, link, client)


async def serve_connection(link: Link, accepted: socket.socket) -> None:
    """Relay one connection until both directions have ended or a fault ends it.

    If the target cannot be reached, the client's connect succeeds and is followed by a reset.
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
    """Relay one direction of a connection until its end of stream, a loss or a fault."""
    queue = DelayQueue()
    version, delivered_bytes = link.version, 0
    chunk: Chunk = Data(b"")
    while isinstance(chunk, Data):
        await _receive_until_due(link, direction, source, queue)
        while is_held(link.faults, direction):
            link.counts["hold"] += 1
            await link.wait_for_change()
        chunk = queue.pop()
        if link.version != version:
            version, delivered_bytes = link.version, 0
        match choose_action(link.faults, direction, len(chunk.data), delivered_bytes):
            case Deliver():
                delivered_bytes += len(chunk.data)
                await _deliver(link, connection, direction, sink, chunk)
            case Discard():
                connection.lossy_directions.add(direction)
                link.count_discard(len(chunk.data))
            case DeliverAndClose(cause, size):
                link.count_close(cause)
                delivered = Data(chunk.data[:size])
                await _deliver(link, connection, direction, sink, delivered)
                connection.close()
                return


async def _connect(link: Link) -> SocketStream | None:
    host, _, port = link.target.rpartition(":")
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            return await anyio.connect_tcp(host, int(port))
    except (OSError, TimeoutError):
        link.counts["target_unreachable"] += 1
        return None


async def _receive_until_due(
    link: Link, direction: Direction, source: SocketStream, queue: DelayQueue
) -> None:
    """Receive into the queue until its oldest chunk is due."""
    while queue.next_due > time.monotonic():
        wait_s = max(queue.next_due - time.monotonic(), 0.0)
        if not queue.accepts_data:
            await anyio.sleep(wait_s)
            continue
        with anyio.move_on_after(wait_s):
            chunk = await _receive(source)
            delay_s = sum_delays(link.faults, direction)
            if delay_s > 0:
                link.counts["delay"] += 1
            queue.push(time.monotonic() + delay_s, chunk)


async def _receive(source: SocketStream) -> Chunk:
    try:
        return Data(await source.receive(CHUNK_BYTES))
    except anyio.EndOfStream:
        return EndOfStream()
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return ConnectionLost()


async def _deliver(
    link: Link, connection: Connection, direction: Direction, sink: SocketStream, chunk: Chunk
) -> None:
    """Pass a chunk on to the receiver, or reset the connection if that is not possible."""
    match chunk:
        case Data(data):
            try:
                await sink.send(data)
                link.count_bytes(direction, len(data))
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                _handle_lost_receiver(link, connection, direction)
        case EndOfStream():
            # uvloop raises RuntimeError if the receiver has already reset the connection.
            with suppress(RuntimeError):
                await sink.send_eof()
        case ConnectionLost():
            connection.reset()


def _handle_lost_receiver(link: Link, connection: Connection, direction: Direction) -> None:
    link.counts["receiver_lost"] += 1
    opposite = Direction.BACKWARD if direction is Direction.FORWARD else Direction.FORWARD
    if is_dropped(link.faults, opposite):
        # The receiver's reset travels in the dropped direction, so the sender must not see it yet.
        connection.lossy_directions.add(direction)
        connection.lossy_directions.add(opposite)
    else:
        connection.reset()
