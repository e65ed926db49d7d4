"""Opening of TCP connections to a peer."""

import socket
from dataclasses import dataclass

import anyio
from anyio.abc import SocketAttribute, SocketStream

RECEIVE_BYTES = 65536


@dataclass(frozen=True, slots=True)
class OpenedStream:
    """Hold an open connection and its socket."""

    stream: SocketStream
    raw: socket.socket


async def open_stream(host: str, port: int, timeout_s: float) -> OpenedStream:
    """Connect to a peer within ``timeout_s``; raise ``OSError`` or ``TimeoutError`` otherwise."""
    with anyio.fail_after(timeout_s):
        stream = await anyio.connect_tcp(host, port)
    try:
        return OpenedStream(stream, stream.extra(SocketAttribute.raw_socket))
    except (AttributeError, OSError) as error:
        # If the peer closed the connection immediately, the event loop has dropped the socket.
        await anyio.aclose_forcefully(stream)
        raise ConnectionResetError("closed by the peer immediately") from error


async def receive_some(stream: SocketStream) -> bytes:
    """Return the next bytes, or ``b""`` at the end of the stream."""
    try:
        return await stream.receive(RECEIVE_BYTES)
    except anyio.EndOfStream:
        return b""


def find_system_error(error: OSError) -> OSError:
    """Return the system's error, which anyio reports as the cause of a failed connection."""
    cause = error.__cause__
    return cause if isinstance(cause, OSError) else error
