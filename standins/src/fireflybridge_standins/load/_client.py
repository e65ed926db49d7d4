"""HTTP/1.1 client with one persistent connection to a daemon's callers' port."""

from collections.abc import Mapping
from dataclasses import dataclass

import anyio
import h11
from anyio.abc import SocketStream

RECEIVE_BYTES = 1 << 18


@dataclass(frozen=True, slots=True)
class Response:
    """Status and body of a response."""

    status: int
    body: bytes


class Client:
    """Sends requests over one persistent connection, one at a time."""

    def __init__(self, address: str, stream: SocketStream) -> None:
        self._address = address
        self._stream = stream
        self._http = h11.Connection(our_role=h11.CLIENT)

    async def post(self, path: str, headers: Mapping[str, str], body: bytes) -> Response:
        """Send a POST request and return the response."""
        request = h11.Request(
            method="POST",
            target=path,
            headers=[("Host", self._address), ("Content-Length", str(len(body))), *headers.items()],
        )
        parts = (request, h11.Data(data=body), h11.EndOfMessage())
        await self._stream.send(b"".join(self._http.send(part) or b"" for part in parts))
        response = await self._receive()
        self._http.start_next_cycle()
        return response

    async def _receive(self) -> Response:
        status = 0
        chunks: list[bytes] = []
        while True:
            match self._http.next_event():
                case h11.NEED_DATA:
                    self._http.receive_data(await self._stream.receive(RECEIVE_BYTES))
                case h11.Response(status_code=status):
                    pass
                case h11.Data(data=data):
                    chunks.append(bytes(data))
                case h11.EndOfMessage():
                    return Response(status, b"".join(chunks))
                case _:
                    raise anyio.EndOfStream


async def connect(address: str) -> Client:
    """Return a client with an open connection to an ``ip:port``."""
    host, _, port = address.rpartition(":")
    return Client(address, await anyio.connect_tcp(host, int(port)))
