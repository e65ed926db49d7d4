"""Link of the proxy: its listener, its target, its faults and its open connections."""

import socket
import struct
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import anyio
from anyio.abc import SocketAttribute, SocketStream

from fireflybridge_standins.proxy._faults import (
    Direction,
    Fault,
    LoseAnswer,
    Refuse,
    Truncate,
    decrement_count,
    get_kind,
    is_dropped,
)

BACKLOG = 1024
ACCEPT_RETRY_S = 0.05
# With a linger time of 0, close resets the connection.
LINGER_RESET = struct.pack("ii", 1, 0)


class Connection:
    """Relayed connection: its streams and the cancel scope of its relay.

    ``lossy_directions`` are the directions that lost data because of a fault.
    """

    def __init__(self, client: SocketStream) -> None:
        self.scope = anyio.CancelScope()
        self.lossy_directions: set[Direction] = set()
        self._streams = [client]

    def add_target(self, target: SocketStream) -> None:
        """Add the stream to the target, so that ``reset`` resets it too."""
        self._streams.append(target)

    def close(self) -> None:
        """End the connection with an orderly close on both sides."""
        self.scope.cancel()

    def reset(self) -> None:
        """End the connection with a TCP reset on both sides."""
        for stream in self._streams:
            # A stream that its peer has reset no longer has a socket.
            with suppress(AttributeError, OSError):
                raw = stream.extra(SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.scope.cancel()


class Link:
    """Relays connections from a listener to a target, subject to faults.

    ``version`` increases with each change of the faults. A second socket stays bound to the port
    without listening, so that no other process gets the port while the link refuses connections.
    """

    def __init__(self, name: str, listen: str, target: str) -> None:
        host, _, port = listen.rpartition(":")
        self.name = name
        self.target = target
        self.faults: tuple[Fault, ...] = ()
        self.version = 0
        self.counts: Counter[str] = Counter()
        self._connections: set[Connection] = set()
        self._changed = anyio.Event()
        self._reserved_socket = _bind_socket(host, int(port))
        self._listener: socket.socket | None = None
        self._open_listener()

    @property
    def address(self) -> str:
        """Address ``ip:port`` that the link listens on."""
        return "{}:{}".format(*self._reserved_socket.getsockname())

    def set_faults(self, faults: tuple[Fault, ...]) -> None:
        """Replace the faults; the new ones apply on return."""
        self.faults = faults
        self.version += 1
        if Refuse() in faults:
            self._close_listener()
        else:
            self._open_listener()
        self._reset_lossy_connections()
        self._changed.set()
        self._changed = anyio.Event()

    def reset_connections(self) -> int:
        """Reset the open connections and return their number."""
        for connection in self._connections:
            connection.reset()
        self.counts["reset"] += len(self._connections)
        return len(self._connections)

    def count_close(self, cause: Truncate | LoseAnswer) -> None:
        """Count one connection that ``cause`` closed and decrement the fault's own count."""
        self.counts[get_kind(cause)] += 1
        self.faults = decrement_count(self.faults, cause)

    def count_discard(self, size: int) -> None:
        """Count one chunk that was discarded."""
        self.counts["drop"] += 1
        self.counts["dropped_bytes"] += size

    def count_bytes(self, direction: Direction, size: int) -> None:
        """Count delivered bytes."""
        self.counts[f"{direction}_bytes"] += size

    @contextmanager
    def track(self, connection: Connection) -> Iterator[None]:
        """Count a connection as open for the time of the ``with`` block."""
        self._connections.add(connection)
        try:
            yield
        finally:
            self._connections.discard(connection)

    async def accept(self) -> socket.socket:
        """Wait for the next client and return its socket."""
        while True:
            listener = self._listener
            if listener is None:
                await self.wait_for_change()
                continue
            try:
                await anyio.wait_readable(listener)
                client, _ = listener.accept()
            except anyio.ClosedResourceError:
                continue
            except OSError:
                # The client closed the connection before it was accepted, or no descriptor is free.
                await anyio.sleep(ACCEPT_RETRY_S)
                continue
            client.setblocking(False)
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.counts["accepted"] += 1
            return client

    async def wait_for_change(self) -> None:
        """Wait until the faults are set again."""
        await self._changed.wait()

    def describe(self) -> dict[str, object]:
        """Return the link's state and counters for the control port."""
        return {
            "listen": self.address,
            "target": self.target,
            "open": len(self._connections),
            "faults": [str(fault) for fault in self.faults],
            "counters": dict(self.counts),
        }

    def _reset_lossy_connections(self) -> None:
        """Reset the connections that lost bytes in a direction that is no longer dropped."""
        for connection in self._connections:
            if not all(
                is_dropped(self.faults, direction) for direction in connection.lossy_directions
            ):
                connection.reset()

    def _open_listener(self) -> None:
        if self._listener is None:
            self._listener = _bind_socket(*self._reserved_socket.getsockname())
            self._listener.listen(BACKLOG)

    def _close_listener(self) -> None:
        if self._listener is not None:
            anyio.notify_closing(self._listener)
            self._listener.close()
            self._listener = None


def _bind_socket(host: str, port: int) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    bound.setblocking(False)
    bound.bind((host, port))
    return bound
