"""HTTP/1.1 client and server over llhttp, with one task for each connection."""

from fireflybridge_http._addresses import check_address
from fireflybridge_http._client import Connection, ExchangeError, ExchangeStep
from fireflybridge_http._messages import Request, Response
from fireflybridge_http._pool import ConnectionPool
from fireflybridge_http._server import Server
from fireflybridge_http._server_connection import FailureReporter, Handler, ServerLimits
from fireflybridge_http._streams import OpenedStream, open_stream

__all__ = [
    "Connection",
    "ConnectionPool",
    "ExchangeError",
    "ExchangeStep",
    "FailureReporter",
    "Handler",
    "OpenedStream",
    "Request",
    "Response",
    "Server",
    "ServerLimits",
    "check_address",
    "open_stream",
]
