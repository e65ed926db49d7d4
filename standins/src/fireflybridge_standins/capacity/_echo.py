"""The floor of a start: one request and one answer of bare bytes over a kept connection."""

import time
from collections.abc import Iterator

import anyio
from anyio.abc import SocketAttribute, SocketStream

RECEIVE_BYTES = 65536
REQUEST_BYTES = 300


async def serve_echo() -> None:
    """Send back what arrives, until killed; print the address first."""
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
    """Return this process's CPU time per exchange in us, one task for each connection."""
    host, _, port = address.rpartition(":")
    streams = [await anyio.connect_tcp(host, int(port)) for _ in range(connections)]
    numbers = iter(range(count))
    cpu_s = time.process_time()
    async with anyio.create_task_group() as group:
        for stream in streams:
            group.start_soon(_exchange, stream, numbers)
    cpu_s = time.process_time() - cpu_s
    for stream in streams:
        await stream.aclose()
    return cpu_s / count * 1e6


async def _exchange(stream: SocketStream, numbers: Iterator[int]) -> None:
    for _ in numbers:
        await stream.send(bytes(REQUEST_BYTES))
        await stream.receive(RECEIVE_BYTES)
