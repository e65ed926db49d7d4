"""Pool of persistent connections to one address, opened on demand."""

from fireflybridge_http._client import Connection
from fireflybridge_http._messages import Request, Response


class ConnectionPool:
    """Use a separate connection for every concurrent exchange, and reuse idle ones."""

    def __init__(self, address: str, max_idle: int) -> None:
        """Keep up to ``max_idle`` idle connections to an address."""
        self.address = address
        self._max_idle = max_idle
        self._idle: list[Connection] = []
        self._closed = False

    async def exchange(self, request: Request, timeout_s: float) -> Response:
        """Return the response within ``timeout_s``; raise ``ExchangeError`` otherwise."""
        connection = self._idle.pop() if self._idle else Connection(self.address)
        try:
            return await connection.exchange(request, timeout_s)
        finally:
            await self._release(connection)

    async def close(self) -> None:
        """Close the idle connections now, and those in use when their exchange ends."""
        self._closed = True
        while self._idle:
            await self._idle.pop().close()

    async def _release(self, connection: Connection) -> None:
        if self._closed or len(self._idle) >= self._max_idle:
            await connection.close()
        else:
            self._idle.append(connection)
