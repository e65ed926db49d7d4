"""A persistent connection to a peer, used for one request at a time."""

import select
import socket
from enum import StrEnum

import anyio
import h11
from anyio.abc import SocketStream

from fireflybridge_http._messages import Request, Response
from fireflybridge_http._streams import open_stream

CONNECT_TIMEOUT_S = 0.5  # several round trips on a loaded link
RECEIVE_BYTES = 65536
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


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


class Connection:
    """Send requests to one address; the connection is closed whenever its state is uncertain."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._host = host
        self._port = int(port)
        self._stream: SocketStream | None = None
        self._http = h11.Connection(our_role=h11.CLIENT)
        self._poller = select.poll()

    async def exchange(self, request: Request, timeout_s: float) -> Response:
        """Return the response within ``timeout_s``; raise ``ExchangeError`` otherwise."""
        step = ExchangeStep.CONNECT
        finished = False
        try:
            with anyio.fail_after(timeout_s):
                stream = await self._connect()
                step = ExchangeStep.SEND
                await stream.send(self._encode(request))
                step = ExchangeStep.RECEIVE
                response = await self._receive(stream)
                finished = True
                return response
        except TimeoutError as error:
            raise ExchangeError(step, self.address, "timed out") from error
        except ConnectionRefusedError as error:
            raise ExchangeError(step, self.address, "refused") from error
        except (OSError, anyio.BrokenResourceError, anyio.EndOfStream) as error:
            raise ExchangeError(step, self.address, str(error) or type(error).__name__) from error
        except h11.ProtocolError as error:
            raise ExchangeError(step, self.address, str(error)) from error
        finally:
            if not finished or not self._reset_cycle():
                await self.close()

    async def close(self) -> None:
        """Close the connection immediately; the next request opens a new one."""
        stream, self._stream = self._stream, None
        if stream is not None:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _connect(self) -> SocketStream:
        if self._stream is not None:
            if not self._poller.poll(0):
                return self._stream
            # Readable without a pending request: the peer has closed the connection.
            await self.close()
        try:
            opened = await open_stream(self._host, self._port, CONNECT_TIMEOUT_S)
        except OSError as error:
            raise _find_system_error(error) from error
        self._stream = opened.stream
        opened.raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._poller = select.poll()
        self._poller.register(opened.raw, select.POLLIN)
        self._http = h11.Connection(our_role=h11.CLIENT)
        return opened.stream

    def _encode(self, request: Request) -> bytes:
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=[
                ("host", self.address),
                *request.headers,
                ("content-length", str(len(request.body))),
            ],
        )
        parts = [self._http.send(head)]
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def _receive(self, stream: SocketStream) -> Response:
        head: h11.Response | None = None
        chunks: list[bytes] = []
        size = 0
        while True:
            match self._http.next_event():
                case h11.NEED_DATA:
                    self._http.receive_data(await receive_some(stream))
                case h11.Response() as head:
                    pass
                case h11.Data(data=data):
                    chunks.append(bytes(data))
                    size += len(data)
                    if size > MAX_RESPONSE_BYTES:
                        raise h11.RemoteProtocolError("response too large")
                case h11.EndOfMessage() if head is not None:
                    return Response(head.status_code, b"".join(chunks), decode_headers(head))
                case h11.InformationalResponse():
                    pass
                case _:
                    raise anyio.EndOfStream

    def _reset_cycle(self) -> bool:
        try:
            self._http.start_next_cycle()
        except h11.ProtocolError:
            return False
        return not self._http.trailing_data[0]


def decode_headers(event: h11.Request | h11.Response) -> tuple[tuple[str, str], ...]:
    """Return the headers of an h11 event as text; h11 lower-cases the names."""
    return tuple((name.decode("ascii"), value.decode("latin-1")) for name, value in event.headers)


async def receive_some(stream: SocketStream) -> bytes:
    """Return the next bytes, or ``b""`` at the end of the stream."""
    try:
        return await stream.receive(RECEIVE_BYTES)
    except anyio.EndOfStream:
        return b""


def _find_system_error(error: OSError) -> OSError:
    # anyio reports a failed connection as an OSError whose cause is the system's error.
    cause = error.__cause__
    return cause if isinstance(cause, OSError) else error
