"""HTTP/1.1 client and server over h11, with one task for each connection."""

from fireflybridge_http._client import Connection, ExchangeError, ExchangeStep
from fireflybridge_http._messages import Request, Response
from fireflybridge_http._pool import ConnectionPool
from fireflybridge_http._server import Handler, Server, ServerLimits
from fireflybridge_http._streams import OpenedStream, open_stream

__all__ = [
    "Connection",
    "ConnectionPool",
    "ExchangeError",
    "ExchangeStep",
    "Handler",
    "OpenedStream",
    "Request",
    "Response",
    "Server",
    "ServerLimits",
    "open_stream",
]
