"""A persistent connection to a peer, used for one request at a time."""

import select
import socket
from enum import StrEnum

import anyio
from anyio.abc import SocketStream

from fireflybridge_http._encoding import encode_request
from fireflybridge_http._messages import Request, Response
from fireflybridge_http._parsing import ParseError, ResponseParser
from fireflybridge_http._streams import find_system_error, open_stream, receive_some

CONNECT_TIMEOUT_S = 0.5  # several round trips on a loaded link


class ExchangeStep(StrEnum):
    """Name the step of an exchange at which it failed."""

    CONNECT = "connect"
    SEND = "send"
    RECEIVE = "receive"


class ExchangeError(Exception):
    """Signal that no complete response was received; holds the step, the peer and the reason."""

    def __init__(self, step: ExchangeStep, peer: str, reason: str) -> None:
        super().__init__(f"{step} failed at {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason

    @property
    def may_have_run(self) -> bool:
        """Return whether the peer may have received and processed the request."""
        return self.step is not ExchangeStep.CONNECT

    @property
    def refused(self) -> bool:
        """Return whether the connection was refused because nothing listens at the address."""
        return self.step is ExchangeStep.CONNECT and self.reason == "refused"

    @property
    def timed_out(self) -> bool:
        """Return whether the peer stayed silent, rather than ending the connection."""
        return self.reason == "timed out"


class Connection:
    """Send requests to one address; the connection is closed whenever its state is uncertain."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._host = host
        self._port = int(port)
        self._stream: SocketStream | None = None
        self._parser = ResponseParser()
        self._poller = select.poll()
        self.openings = 0
        """How often the connection was opened; it leads to one process until the next time."""

    @property
    def is_open(self) -> bool:
        """Return whether the connection is open, and the peer has not closed it."""
        return self._stream is not None and not self._poller.poll(0)

    async def exchange(
        self, request: Request, timeout_s: float, *, may_open: bool = True
    ) -> Response:
        """Return the response within ``timeout_s``; raise ``ExchangeError`` otherwise.

        Unless it ``may_open`` the connection, a request is only sent over one that is open already.
        """
        step = ExchangeStep.CONNECT
        finished = False
        try:
            encoded = encode_request(request, self.address)
        except ValueError as error:
            raise ExchangeError(step, self.address, str(error)) from error
        try:
            with anyio.fail_after(timeout_s):
                stream = await self._connect(may_open=may_open)
                step = ExchangeStep.SEND
                await stream.send(encoded)
                step = ExchangeStep.RECEIVE
                response = await self._receive(stream)
                finished = True
                return response
        except TimeoutError as error:
            raise ExchangeError(step, self.address, "timed out") from error
        except ConnectionRefusedError as error:
            raise ExchangeError(step, self.address, "refused") from error
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
        ) as error:
            raise ExchangeError(step, self.address, str(error) or type(error).__name__) from error
        except ParseError as error:
            raise ExchangeError(step, self.address, str(error)) from error
        finally:
            if not finished or not self._parser.keep_alive:
                await self.close()

    async def close(self) -> None:
        """Close the connection immediately; the next request opens a new one."""
        stream, self._stream = self._stream, None
        if stream is not None:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _connect(self, *, may_open: bool) -> SocketStream:
        if self._stream is not None:
            if self.is_open:
                return self._stream
            # Readable without a pending request: the peer has closed the connection.
            await self.close()
        if not may_open:
            raise ConnectionAbortedError("the connection has ended")
        try:
            opened = await open_stream(self._host, self._port, CONNECT_TIMEOUT_S)
        except OSError as error:
            raise find_system_error(error) from error
        self._stream = opened.stream
        self.openings += 1
        opened.raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._poller = select.poll()
        self._poller.register(opened.raw, select.POLLIN)
        self._parser = ResponseParser()
        return opened.stream

    async def _receive(self, stream: SocketStream) -> Response:
        parser = self._parser
        parser.start()
        while parser.response is None:
            data = await receive_some(stream)
            if data:
                parser.feed(data)
                continue
            parser.end()
            if parser.response is None:
                raise anyio.EndOfStream
        return parser.response
