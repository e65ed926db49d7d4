"""HTTP/1.1 server with one task for each connection."""

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup, TaskStatus

from fireflybridge_http._server_connection import (
    FailureReporter,
    Handler,
    ServerConnection,
    ServerLimits,
)

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
        )
        self._connections.add(connection)
        try:
            await connection.serve()
        except Exception as error:
            self._report_failure("connection", error)
        finally:
            self._connections.discard(connection)
