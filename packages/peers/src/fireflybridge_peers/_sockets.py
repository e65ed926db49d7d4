"""Frames over pynng sockets."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

import pynng
from anyio.lowlevel import checkpoint_if_cancelled

MAX_FRAME_BYTES = 2 * 1024 * 1024
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000
# Disables the resend timer of Req0, which takes 0.85 ms of CPU for each exchange at one exchange a
# second, more than the rest of the exchange, and resends the same bytes, whose remaining times are
# stale. Links repeat requests themselves instead.
NO_RESEND = -1

T = TypeVar("T")


def dial_peer(address: str) -> pynng.Req0:
    """Return a request socket that connects, and reconnects, to ``ip:port``."""
    socket = pynng.Req0(resend_time=NO_RESEND, recv_max_size=MAX_FRAME_BYTES)
    socket.reconnect_time_min = RECONNECT_MIN_MS
    socket.reconnect_time_max = RECONNECT_MAX_MS
    socket.dial(f"tcp://{address}", block=False)
    return socket


def listen_to_peers(address: str) -> pynng.Rep0:
    """Return a reply socket that listens on ``ip:port``, or raise ``OSError``."""
    try:
        return pynng.Rep0(listen=f"tcp://{address}", recv_max_size=MAX_FRAME_BYTES)
    except pynng.NNGException as error:
        raise OSError(f"peer links cannot listen on {address}: {error}") from error


async def exchange_frames(socket: pynng.Req0, frame: bytes) -> bytes:
    """Send a request, waiting for a connection if there is none, and return the reply."""
    try:
        # A completed asynchronous send would wake the event loop from another thread.
        socket.send(frame, block=False)
    except pynng.TryAgain:
        await _preserve_cancellation(socket.asend(frame))
    return await receive_frame(socket)


async def receive_frame(socket: pynng.Socket) -> bytes:
    """Return the next frame."""
    return await _preserve_cancellation(socket.arecv())


async def _preserve_cancellation(operation: Awaitable[T]) -> T:
    """Await an operation of pynng, which replaces anyio's cancellation by one of its own.

    Otherwise the cancelled scope would not catch the exception, and the whole program would end.
    """
    try:
        return await operation
    except asyncio.CancelledError:
        await checkpoint_if_cancelled()
        raise
