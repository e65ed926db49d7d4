"""TCP echo: the lower bound of the cost of a start.

One exchange is one request and one response of raw bytes over a persistent connection.
"""

import time
from collections.abc import Iterator

import anyio
from anyio.abc import SocketAttribute, SocketStream

RECEIVE_BYTES = 65536
REQUEST_BYTES = 300


async def serve_echo() -> None:
    """Print the address as a ready line, then echo received bytes until killed."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    print(
        f'{{"ready": true, "address": "127.0.0.1:{listener.extra(SocketAttribute.local_port)}"}}',
        flush=True,
    )
    await listener.serve(_echo)


async def _echo(stream: SocketStream) -> None:
    async with stream:
        async for data in stream:
            await stream.send(data)


async def measure_echo(address: str, connections: int, count: int) -> float:
    """Return the CPU time of this process per exchange, in us.

    Each connection has its own coroutine.
    """
    host, _, port = address.rpartition(":")
    streams = [await anyio.connect_tcp(host, int(port)) for _ in range(connections)]
    remaining = iter(range(count))
    cpu_s = time.process_time()
    async with anyio.create_task_group() as group:
        for stream in streams:
            group.start_soon(_exchange, stream, remaining)
    cpu_s = time.process_time() - cpu_s
    for stream in streams:
        await stream.aclose()
    return cpu_s / count * 1e6


async def _exchange(stream: SocketStream, remaining: Iterator[int]) -> None:
    for _ in remaining:
        await stream.send(bytes(REQUEST_BYTES))
        await stream.receive(RECEIVE_BYTES)
