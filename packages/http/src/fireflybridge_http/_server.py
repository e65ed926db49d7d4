"""HTTP/1.1 server with one task for each connection."""

import time

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup, TaskStatus

from fireflybridge_http._server_connection import (
    FailureReporter,
    Handler,
    ServerConnection,
    ServerLimits,
)
from fireflybridge_http._streams import find_system_error, open_stream

BACKLOG_TIMEOUT_S = 2.0
BACKLOG_RETRY_S = 0.1
BACKLOG = 1024  # when the accept queue is full, a client's SYN is delayed by seconds


def _ignore_failure(_action: str, _error: Exception) -> None:
    """Ignore a failure, of which the client has learned."""


class Server:
    """Serve requests on one address; the handler is cancelled when its client disconnects."""

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: ServerLimits,
        report_failure: FailureReporter = _ignore_failure,
    ) -> None:
        """Call ``report_failure`` with each unexpected exception and what it has interrupted.

        Such an exception ends one request or one connection, and no other.
        """
        self.limits = limits
        self._address = address
        self._handler = handler
        self._report_failure = report_failure
        self._draining = False
        self._listening = anyio.CancelScope()
        self._connections: set[ServerConnection] = set()
        self._opened_after_s = time.monotonic()
        """Time at which the connections that are accepted now had not been opened."""
        self._backlog_reads = 0
        self._accepted: set[object] = set()
        """Addresses of the clients that were accepted while the backlog is read."""
        self._newly_accepted = anyio.Event()

    @property
    def active(self) -> int:
        """Return the number of connections with an unanswered request."""
        return sum(connection.busy for connection in self._connections)

    async def serve(
        self,
        connections: TaskGroup,
        *,
        task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until ``stop_listening``; each gets a task in ``connections``.

        Report the ``ip:port`` listened on, with the port that the system chose for port 0. Raise
        ``OSError`` if the address can't be bound.
        """
        host, _, port = self._address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=BACKLOG, reuse_port=False
        )
        bound = listener.extra(SocketAttribute.local_address)
        task_status.started("{}:{}".format(*bound))
        with self._listening:
            async with listener:
                await listener.serve(self._serve_connection, connections)

    async def read_backlog(self) -> None:
        """Return once the connections that clients have opened before the call are accepted.

        They are accepted in the order in which they were opened, and a connection of the server's own
        shows how far that is. Requests on later ones have been sent after the call. If nothing
        listens, return at once.
        """
        opened_s = time.monotonic()
        self._backlog_reads += 1
        try:
            while not await self._is_accepted():
                await anyio.sleep(BACKLOG_RETRY_S)
        except ConnectionRefusedError:
            return
        finally:
            self._backlog_reads -= 1
            if not self._backlog_reads:
                self._accepted.clear()
        self._opened_after_s = max(self._opened_after_s, opened_s)

    async def _is_accepted(self) -> bool:
        """Return whether a connection of this server's own is accepted within a time limit."""
        host, _, port = self._address.rpartition(":")
        try:
            opened = await open_stream(host, int(port), BACKLOG_TIMEOUT_S)
        except OSError as error:
            cause = find_system_error(error)
            if isinstance(cause, ConnectionRefusedError):
                raise cause from error
            return False
        async with opened.stream as stream:
            with anyio.move_on_after(BACKLOG_TIMEOUT_S):
                while stream.extra(SocketAttribute.local_address) not in self._accepted:
                    await self._newly_accepted.wait()
                return True
        return False

    def trust_idle_connections(self, now_s: float) -> None:
        """Note that the clients of idle connections had not sent a request by now (monotonic)."""
        for connection in self._connections:
            connection.trust_if_idle(now_s)

    def stop_listening(self) -> None:
        """Close the listening socket; open connections stay open."""
        self._listening.cancel()

    def start_draining(self) -> None:
        """Send ``connection: close`` with each response from now on."""
        self._draining = True

    async def _serve_connection(self, stream: SocketStream) -> None:
        connection = ServerConnection(
            stream,
            self._handler,
            lambda: self.limits,
            lambda: self._draining,
            self._report_failure,
            self._opened_after_s,
        )
        self._connections.add(connection)
        if self._backlog_reads:
            self._accepted.add(stream.extra(SocketAttribute.remote_address))
            self._newly_accepted.set()
            self._newly_accepted = anyio.Event()
        try:
            await connection.serve()
        except Exception as error:
            self._report_failure("connection", error)
        finally:
            self._connections.discard(connection)
